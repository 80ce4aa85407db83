#include "oleanderledge/transport/HttpReply.hpp"

namespace oleanderledge {

void HttpReply::Send(int aStatus, const QByteArray& aContentType, const QByteArray& aBody) const
{
  if (!this->CanSend()) {
    return;
  }
  // The reason phrase may be empty: clients use the status code alone (RFC 9112, status line).
  this->socket->write(
    "HTTP/1.1 " + QByteArray::number(aStatus) + " \r\nContent-Type: " + aContentType +
    "\r\nContent-Length: " + QByteArray::number(aBody.size()) + "\r\n\r\n" + aBody);
}

void HttpReply::SendRedirect(const QByteArray& aLocation) const
{
  if (!this->CanSend()) {
    return;
  }
  this->socket->write("HTTP/1.1 307 \r\nLocation: " + aLocation + "\r\nContent-Length: 0\r\n\r\n");
}

bool HttpReply::CanSend() const
{
  return !this->socket.isNull() && this->socket->state() == QAbstractSocket::ConnectedState;
}

} // namespace oleanderledge
