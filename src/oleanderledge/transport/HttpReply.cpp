#include "oleanderledge/transport/HttpReply.hpp"

namespace oleanderledge {

void HttpReply::Send(int aStatus, const QByteArray& aContentType, const QByteArray& aBody) const
{
  if (!this->connection.isNull()) {
    this->connection->Answer(aStatus, "Content-Type: " + aContentType + "\r\n", aBody);
  }
}

void HttpReply::SendRedirect(const QByteArray& aLocation) const
{
  constexpr int kTemporaryRedirect = 307;
  if (!this->connection.isNull()) {
    this->connection->Answer(kTemporaryRedirect, "Location: " + aLocation + "\r\n", {});
  }
}

} // namespace oleanderledge
