#include "oleanderledge/transport/HttpConnection.hpp"

#include <QHostAddress>

#include <utility>

namespace oleanderledge {

namespace {

/// Bytes of a connection that are read ahead of the request reader. The kernel holds the others
/// back.
constexpr qint64 kReadBufferBytes = qint64{ 64 } * 1024;
/// The next request is not read while more of the previous answer is unread. The kernel holds as
/// much for a client that reads.
constexpr qint64 kMaxUnreadBytes = qint64{ 64 } * 1024;

} // namespace

HttpConnection::HttpConnection(QTcpSocket* aSocket,
                               ResourceBudget::ClientId aId,
                               std::shared_ptr<HttpClients> aClients,
                               RequestHandler aHandler,
                               QObject* aParent)
  : QObject(aParent)
  , socket(aSocket)
  , id(aId)
  , clients(std::move(aClients))
  , handler(std::move(aHandler))
  , reader(this->clients->Limits().headBytes, this->clients->Limits().bodyBytes)
  , address(aSocket->peerAddress().toString().toStdString())
  , since(MonotonicNow())
  , readAt(this->since)
{
  this->socket->setParent(this);
  this->socket->setReadBufferSize(kReadBufferBytes);
  this->clients->Add(this->id, this);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &HttpConnection::ReadAvailable);
  QObject::connect(this->socket, &QTcpSocket::bytesWritten, this, &HttpConnection::HandleWritten);
  QObject::connect(this->socket, &QTcpSocket::disconnected, this, &HttpConnection::Finish);
  QObject::connect(this->socket, &QTcpSocket::errorOccurred, this, &HttpConnection::Finish);
}

HttpConnection::~HttpConnection()
{
  if (!this->isClosed) {
    this->clients->Remove(this->id);
  }
}

void HttpConnection::ReadAvailable()
{
  // A handler that answers at once would call this again.
  if (std::exchange(this->isReading, true)) {
    return;
  }
  while (!this->isClosed && !this->isClosing && !this->isHandling &&
         this->socket->bytesToWrite() <= kMaxUnreadBytes) {
    const QByteArray bytes = this->socket->peek(kReadBufferBytes);
    if (bytes.isEmpty()) {
      break;
    }
    if (!this->reader.IsBegun()) {
      this->since = MonotonicNow();
    }
    const std::size_t taken =
      this->reader.Feed({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
    this->socket->skip(static_cast<qint64>(taken));
    if (this->reader.ReadError() != HttpReadError::None) {
      this->RejectRequest(this->reader.ReadError());
      break;
    }
    if (this->reader.TakeContinueRequest()) {
      this->socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (this->reader.IsComplete()) {
      const HttpRequest request = this->reader.Take();
      this->heldBody = static_cast<std::size_t>(request.body.capacity());
      this->keepsConnection = request.keepsConnection;
      this->isHandling = true;
      this->clients->Budget().MarkStarted(this->id);
      this->UpdateHeld();
      if (!this->isClosed) {
        this->handler(*this, request);
      }
    }
  }
  this->isReading = false;
  this->UpdateHeld();
}

void HttpConnection::RejectRequest(HttpReadError aError)
{
  constexpr int kBadRequest = 400;
  constexpr int kTooLarge = 413;
  constexpr int kHeadTooLong = 431;
  const bool isTooLarge = aError != HttpReadError::Malformed;
  this->clients->Budget().RecordClosing(ClientPort::Http,
                                        isTooLarge ? ClosingReason::MessageTooLarge
                                                   : ClosingReason::MalformedMessage,
                                        this->address,
                                        this->reader.HeldBytes());
  this->reader.Take();
  this->isHandling = true;
  this->keepsConnection = false;
  this->Answer(!isTooLarge                            ? kBadRequest
               : aError == HttpReadError::BodyTooLong ? kTooLarge
                                                      : kHeadTooLong,
               "Connection: close\r\n",
               {});
}

void HttpConnection::Answer(int aStatus, const QByteArray& aHeaders, const QByteArray& aBody)
{
  if (this->isClosed || !std::exchange(this->isHandling, false)) {
    return;
  }
  this->heldBody = 0;
  this->since = MonotonicNow();
  this->readAt = this->since;
  // The reason phrase may be empty: clients use the status code alone (RFC 9112, status line).
  this->socket->write("HTTP/1.1 " + QByteArray::number(aStatus) + " \r\n" + aHeaders +
                      "Content-Length: " + QByteArray::number(aBody.size()) + "\r\n\r\n" + aBody);
  if (!this->keepsConnection) {
    this->CloseAfterAnswer();
  }
  this->UpdateHeld();
  if (!this->isReading) {
    // Deferred, because the caller may be in the middle of changes.
    QMetaObject::invokeMethod(this, &HttpConnection::ReadAvailable, Qt::QueuedConnection);
  }
}

void HttpConnection::CloseAfterAnswer()
{
  this->isClosing = true;
  this->socket->disconnectFromHost();
}

void HttpConnection::HandleWritten()
{
  this->readAt = MonotonicNow();
  this->UpdateHeld();
  // A request may wait in the read buffer, of which there is no further signal.
  this->ReadAvailable();
}

std::optional<Instant> HttpConnection::WaitingSince() const
{
  const bool isWaiting = !this->isHandling && !this->isClosing && this->socket->bytesToWrite() == 0;
  return isWaiting ? std::optional(this->since) : std::nullopt;
}

void HttpConnection::CheckTime(Instant aNow)
{
  if (this->isClosed || this->isHandling) {
    return;
  }
  const HttpLimits& limits = this->clients->Limits();
  if (this->socket->bytesToWrite() > 0 || this->isClosing) {
    if (aNow - this->readAt > limits.requestTime) {
      this->Abort(ClosingReason::ResponseTime);
    }
    return;
  }
  if (this->reader.IsBegun()) {
    if (aNow - this->since > limits.requestTime) {
      this->Abort(ClosingReason::MessageTime);
    }
    return;
  }
  // Clients need not close a connection, so this is no fault of theirs and not logged.
  if (aNow - this->since > limits.idleTime) {
    this->Finish();
  }
}

void HttpConnection::Abort(ClosingReason aReason)
{
  if (this->isClosed) {
    return;
  }
  this->clients->Budget().RecordClosing(ClientPort::Http,
                                        aReason,
                                        this->address,
                                        this->reader.HeldBytes() +
                                          static_cast<std::uint64_t>(this->socket->bytesToWrite()));
  this->Finish();
}

void HttpConnection::Finish()
{
  if (std::exchange(this->isClosed, true)) {
    return;
  }
  this->clients->Remove(this->id);
  this->socket->abort();
  this->deleteLater();
  Q_EMIT this->Closed();
}

void HttpConnection::UpdateHeld()
{
  if (this->isClosed) {
    return;
  }
  const qint64 unread = this->socket->bytesToWrite() + this->socket->bytesAvailable();
  this->clients->Budget().SetHeld(
    this->id, this->reader.HeldBytes() + this->heldBody + static_cast<std::uint64_t>(unread));
  this->clients->CloseSelected();
}

} // namespace oleanderledge
