#include "oleanderledge/statements/internal/SocketConnection.hpp"

#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oleanderledge {

namespace {

/// Time limit of connect and start-up: a round trip of 24 ms between regions, 12 ms of start-up at
/// the server, and the wait in its queue.
constexpr std::chrono::milliseconds kOpenTimeout(1000);
/// TCP_USER_TIMEOUT: a connection is closed after this time without acknowledgement of sent data.
/// Tolerates short packet loss.
constexpr int kUserTimeoutMs = 3000;

} // namespace

SocketConnection::SocketConnection(const StatementProtocol& aProtocol,
                                   std::string aBackend,
                                   QObject* aParent)
  : BackendConnection(std::move(aBackend), aParent)
  , protocol(aProtocol)
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
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this, &SocketConnection::ReadAvailable);
  QObject::connect(&this->socket, &QTcpSocket::disconnected, this, [this] {
    this->EndConnection(ConnectionEnd::BackendFailed, "disconnected");
  });
  QObject::connect(&this->socket, &QTcpSocket::errorOccurred, this, [this] {
    if (this->socket.state() != QAbstractSocket::ConnectedState) {
      this->EndConnection(ConnectionEnd::BackendFailed, "socket_error");
    }
  });
  this->openTimer.setSingleShot(true);
  QObject::connect(&this->openTimer, &QTimer::timeout, this, [this] {
    this->EndConnection(ConnectionEnd::BackendFailed, "open_timeout");
  });
}

SocketConnection::~SocketConnection()
{
  // The destructor of the socket emits signals.
  this->socket.disconnect(this);
}

void SocketConnection::Open(const std::string& aAddress, std::string_view aService)
{
  const auto [host, port] = SplitAddress(aAddress);
  this->startUp = this->protocol.StartUpFor(aService, this->organisation, this->Backend());
  this->MarkOpening();
  this->openTimer.start(kOpenTimeout);
  this->socket.connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

void SocketConnection::Send(const std::string& aRequest)
{
  this->socket.write(aRequest.data(), static_cast<qint64>(aRequest.size()));
}

void SocketConnection::CloseTransport()
{
  this->openTimer.stop();
  this->socket.disconnect(this);
  this->socket.abort();
}

void SocketConnection::ReadAvailable()
{
  const QByteArray bytes = this->socket.readAll();
  this->decoder->Append({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  while (!this->IsClosed()) {
    auto next = this->decoder->Next();
    if (!next) {
      return;
    }
    if (!*next || !this->HandleAnswer(std::move(next->value()))) {
      this->EndConnection(ConnectionEnd::BackendFailed, "malformed_answer");
      return;
    }
  }
}

/// Returns false if the answer violates the protocol.
bool SocketConnection::HandleAnswer(BackendAnswer aAnswer)
{
  if (auto* error = std::get_if<ErrorAnswer>(&aAnswer)) {
    if (!this->IsOpen()) {
      this->EndConnection(error->error == StatementError::Overloaded ? ConnectionEnd::BackendFull
                                                                     : ConnectionEnd::BackendFailed,
                          "refused:" + std::string(ToString(error->error)));
      return true;
    }
    this->result.error = std::move(*error);
    return this->IsBusy();
  }
  const auto* ready = std::get_if<ReadyAnswer>(&aAnswer);
  if (ready != nullptr && !this->IsOpen()) {
    this->openTimer.stop();
    this->MarkOpened();
    return true;
  }
  if (!this->IsBusy()) {
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
  this->CompleteStatement(*ready);
  return true;
}

} // namespace oleanderledge
