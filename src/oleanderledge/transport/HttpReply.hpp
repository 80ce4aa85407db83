#pragma once

#include "oleanderledge/transport/HttpConnection.hpp"

#include <QByteArray>
#include <QPointer>

namespace oleanderledge {

/// Answer to one HTTP request, which may be sent later. If the client disconnects before, the
/// answer is dropped.
class HttpReply
{
public:
  explicit HttpReply(HttpConnection* aConnection)
    : connection(aConnection)
  {
  }

  /// Sends status and body. Call at most one of the methods, once.
  void Send(int aStatus, const QByteArray& aContentType, const QByteArray& aBody) const;

  /// Redirects the client to another URL with status 307, which keeps method and body.
  void SendRedirect(const QByteArray& aLocation) const;

private:
  QPointer<HttpConnection> connection;
};

} // namespace oleanderledge
