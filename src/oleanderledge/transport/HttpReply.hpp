#pragma once

#include <QByteArray>
#include <QPointer>
#include <QTcpSocket>

namespace oleanderledge {

/// Asynchronous answer to one HTTP request.
///
/// If the client disconnects before the answer, the answer is dropped. QHttpServerResponder and
/// futures of QHttpServerResponse in Qt 6.4 crash then, because they write to the deleted socket.
class HttpReply
{
public:
  explicit HttpReply(QTcpSocket* aSocket)
    : socket(aSocket)
  {
  }

  /// Sends status and body. Call at most one of the methods, once.
  void Send(int aStatus, const QByteArray& aContentType, const QByteArray& aBody) const;

  /// Redirects the client to another URL with status 307, which keeps method and body.
  void SendRedirect(const QByteArray& aLocation) const;

private:
  bool CanSend() const;

  QPointer<QTcpSocket> socket;
};

} // namespace oleanderledge
