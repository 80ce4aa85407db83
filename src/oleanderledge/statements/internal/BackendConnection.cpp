#include "oleanderledge/statements/internal/BackendConnection.hpp"

#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oleanderledge {

namespace {

/// Limit of connecting and starting up: a round trip of 24 ms between regions, 12 ms at the server,
/// and its queue.
constexpr std::chrono::milliseconds kOpenTimeout(1000);
/// Unacknowledged bytes end a connection after this time, in ms. Longer than a short packet loss.
constexpr int kUserTimeoutMs = 3000;

} // namespace

BackendConnection::BackendConnection(const StatementProtocol& aProtocol,
                                     std::string aBackend,
                                     QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , backend(std::move(aBackend))
  , decoder(aProtocol.NewBackendDecoder())
{
  QObject::connect(&this->socket, &QTcpSocket::connected, this, [this] {
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const int timeout = kUserTimeoutMs;
    setsockopt(static_cast<int>(this->socket.socketDescriptor()),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &timeout,
               sizeof(timeout));
    this->socket.write(this->startUp.data(), static_cast<qint64>(this->startUp.size()));
  });
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this, &BackendConnection::ReadAvailable);
  QObject::connect(
    &this->socket, &QTcpSocket::disconnected, this, [this] { this->Finish("disconnected"); });
  QObject::connect(&this->socket, &QTcpSocket::errorOccurred, this, [this] {
    if (this->socket.state() != QAbstractSocket::ConnectedState) {
      this->Finish("socket_error");
    }
  });
  this->openTimer.setSingleShot(true);
  QObject::connect(
    &this->openTimer, &QTimer::timeout, this, [this] { this->Finish("open_timeout"); });
}

BackendConnection::~BackendConnection()
{
  // The socket signals once more when it is destroyed.
  this->isClosed = true;
  this->socket.disconnect(this);
}

void BackendConnection::Open(const std::string& aAddress, std::string_view aService)
{
  const auto [host, port] = SplitAddress(aAddress);
  this->startUp = this->protocol.StartUpFor(aService, this->backend);
  this->openedAt = MonotonicNow();
  this->openTimer.start(kOpenTimeout);
  this->socket.connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

void BackendConnection::Run(const std::string& aRequest, Callback aCallback)
{
  this->callback = std::move(aCallback);
  this->result = StatementResult{};
  this->result.sentAt = MonotonicNow();
  this->socket.write(aRequest.data(), static_cast<qint64>(aRequest.size()));
}

void BackendConnection::Close()
{
  if (this->isClosed) {
    return;
  }
  this->isClosed = true;
  this->isOpen = false;
  this->callback = nullptr;
  this->openTimer.stop();
  this->socket.disconnect(this);
  this->socket.abort();
  this->deleteLater();
}

void BackendConnection::ReadAvailable()
{
  const QByteArray bytes = this->socket.readAll();
  this->decoder->Append({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  while (!this->isClosed) {
    auto next = this->decoder->Next();
    if (!next) {
      return;
    }
    if (!*next || !this->HandleAnswer(std::move(next->value()))) {
      this->Finish("malformed_answer");
      return;
    }
  }
}

bool BackendConnection::HandleAnswer(BackendAnswer aAnswer)
{
  if (auto* error = std::get_if<ErrorAnswer>(&aAnswer)) {
    if (!this->isOpen) {
      this->startUpError = std::move(*error);
      this->Finish("refused");
      return true;
    }
    this->result.error = std::move(*error);
    return this->callback != nullptr;
  }
  const auto* ready = std::get_if<ReadyAnswer>(&aAnswer);
  if (ready != nullptr && !this->isOpen) {
    this->isOpen = true;
    this->openTimer.stop();
    this->idleSince = MonotonicNow();
    Q_EMIT this->Opened();
    return true;
  }
  if (this->callback == nullptr) {
    return false;
  }
  if (auto* row = std::get_if<RowAnswer>(&aAnswer)) {
    this->result.rows += row->raw;
    return true;
  }
  if (auto* completed = std::get_if<CompletedAnswer>(&aAnswer)) {
    this->result.completed = std::move(completed->raw);
    return true;
  }
  if (!this->result.error && this->result.completed.empty()) {
    return false;
  }
  this->result.ready = *ready;
  this->idleSince = MonotonicNow();
  this->result.took = this->idleSince - this->result.sentAt;
  const Callback done = std::exchange(this->callback, nullptr);
  done(std::move(this->result));
  return true;
}

void BackendConnection::Finish(const char* aReason)
{
  if (this->isClosed) {
    return;
  }
  const bool wasOpen = this->isOpen;
  const Callback done = std::exchange(this->callback, nullptr);
  const auto holder = std::exchange(this->lostWhileIdle, nullptr);
  this->Close();
  WriteLog(wasOpen ? LogEvent::BackendConnectionLost : LogEvent::BackendRefusedConnection,
           "backend=" + this->backend + " reason=" + aReason + " error=" +
             (this->startUpError ? std::string(ToString(this->startUpError->error)) : "none") +
             " busy=" + (done ? "yes" : "no"));
  // The pool forgets the connection before the statement is tried elsewhere.
  Q_EMIT this->Closed();
  if (done) {
    StatementResult lost;
    lost.lost = true;
    lost.sentAt = this->result.sentAt;
    lost.took = MonotonicNow() - this->result.sentAt;
    done(std::move(lost));
  } else if (holder) {
    holder();
  }
}

} // namespace oleanderledge
