#include "oleanderledge/owner/internal/BackendSocket.hpp"

#include "oleanderledge/transport/LinkConnection.hpp"

#include <QHostAddress>

#include <array>

namespace oleanderledge {

namespace {

/// Largest message of a server. It must fit into one link frame together with the other fields of
/// the reply.
constexpr std::size_t kMaxBackendMessageBytes = std::size_t{ 15 } * 1024 * 1024;

/// Time limit for the start-up of a connection, after which the server counts as unreachable.
constexpr int kOpenTimeoutMs = 2000;

/// Time limit for a server to process a cancellation.
constexpr int kCancelTimeoutMs = 2000;

/// Size of Qt's read buffer. While reading is paused, TCP flow control keeps the rest at the
/// server.
constexpr qint64 kReadBufferBytes = qint64{ 1024 } * 1024;

} // namespace

BackendSocket::BackendSocket(BackendEndpoint aEndpoint, QObject* aParent)
  : QObject(aParent)
  , endpoint(std::move(aEndpoint))
  , outgoing(
      this->endpoint.latency,
      [this](const std::string& aBytes) {
        this->socket.write(aBytes.data(), static_cast<qint64>(aBytes.size()));
      },
      this)
  , incoming(
      this->endpoint.latency,
      [this](const std::string& aBytes) {
        this->reader.Feed(aBytes);
        this->DeliverMessages();
      },
      this)
  , reader(kMaxBackendMessageBytes)
{
  this->socket.setReadBufferSize(kReadBufferBytes);
  QObject::connect(&this->socket, &QTcpSocket::connected, this, [this] {
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const std::array<std::pair<std::string, std::string>, 2> parameters{
      { { "user", this->endpoint.user }, { "database", this->endpoint.database } }
    };
    this->outgoing.Push(BuildStartup(parameters));
  });
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this, &BackendSocket::ReadAvailable);
  const auto finishWithError = [this] { this->Finish(this->socket.errorString().toStdString()); };
  QObject::connect(&this->socket, &QTcpSocket::errorOccurred, this, finishWithError);
  QObject::connect(&this->socket, &QTcpSocket::disconnected, this, finishWithError);
  QTimer::singleShot(kOpenTimeoutMs, this, [this] {
    if (!this->ready) {
      this->Finish("the server did not complete the start-up in time");
    }
  });
  const auto [host, port] = SplitAddress(this->endpoint.address);
  this->socket.connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

void BackendSocket::Send(std::string aBytes)
{
  if (!this->closed) {
    this->outgoing.Push(std::move(aBytes));
  }
}

void BackendSocket::SetPaused(bool aPaused)
{
  this->paused = aPaused;
  if (!aPaused) {
    // Deferred, because this function may be called from a handler of this socket's signals.
    QMetaObject::invokeMethod(
      this,
      [this] {
        this->DeliverMessages();
        this->ReadAvailable();
      },
      Qt::QueuedConnection);
  }
}

void BackendSocket::ReadAvailable()
{
  if (this->paused || this->closed) {
    return;
  }
  const QByteArray bytes = this->socket.readAll();
  if (!bytes.isEmpty()) {
    this->incoming.Push({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  }
}

void BackendSocket::DeliverMessages()
{
  if (this->delivering) {
    return;
  }
  this->delivering = true;
  while (!this->paused && !this->closed) {
    auto next = this->reader.NextTyped();
    if (!next) {
      this->Finish(next.error().message);
      break;
    }
    if (!next.value()) {
      break;
    }
    const std::string& message = *next.value();
    if (this->ready) {
      Q_EMIT this->Received(message);
      continue;
    }
    const auto views = SplitMessages(message);
    if (!views.empty()) {
      this->HandleStartupMessage(views.front());
    }
  }
  this->delivering = false;
}

void BackendSocket::HandleStartupMessage(const MessageView& aMessage)
{
  FieldReader fields(aMessage.body);
  switch (aMessage.type) {
    case 'R':
      if (fields.ReadInt32() != 0) {
        this->Finish("the server asks for an authentication method that is not supported");
      }
      break;
    case 'K':
      this->processId = static_cast<std::uint32_t>(fields.ReadInt32());
      this->secretKey = static_cast<std::uint32_t>(fields.ReadInt32());
      break;
    case 'E': {
      const ErrorFields error = ReadErrorFields(aMessage.body);
      WriteLog(LogEvent::BackendRefusedConnection,
               "address=" + this->endpoint.address + " sqlstate=" + error.sqlstate +
                 " message=" + error.message);
      this->Finish(error.message);
      break;
    }
    case 'Z':
      this->ready = true;
      Q_EMIT this->Ready();
      break;
    default:
      break;
  }
}

void BackendSocket::RequestCancel()
{
  auto* cancelSocket = new QTcpSocket(this);
  const std::string packet = BuildCancelRequest(this->processId, this->secretKey);
  QObject::connect(cancelSocket, &QTcpSocket::connected, this, [cancelSocket, packet] {
    cancelSocket->write(packet.data(), static_cast<qint64>(packet.size()));
  });
  // The server closes the connection after it has processed the request. More than one of the two
  // signals and the timeout can occur; only the first one deletes the socket and emits the signal.
  const auto finish = [this, cancelSocket] {
    if (cancelSocket->property("finished").toBool()) {
      return;
    }
    cancelSocket->setProperty("finished", true);
    cancelSocket->deleteLater();
    Q_EMIT this->CancelFinished();
  };
  QObject::connect(cancelSocket, &QTcpSocket::disconnected, this, finish, Qt::QueuedConnection);
  QObject::connect(cancelSocket, &QTcpSocket::errorOccurred, this, finish, Qt::QueuedConnection);
  QTimer::singleShot(kCancelTimeoutMs, cancelSocket, finish);
  const auto [host, port] = SplitAddress(this->endpoint.address);
  cancelSocket->connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

void BackendSocket::Finish(const std::string& aReason)
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->socket.abort();
  Q_EMIT this->Closed(aReason);
}

} // namespace oleanderledge
