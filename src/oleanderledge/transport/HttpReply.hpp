#pragma once

#include <QByteArray>
#include <QPointer>
#include <QTcpSocket>

namespace oleanderledge {

/// Answer to one HTTP request, given at any later time.
///
/// QHttpServerResponder and futures of responses of Qt 6.4 write to a deleted socket, and crash, if
/// the client disconnects before the answer. This one drops the answer then.
class HttpReply
{
public:
  explicit HttpReply(QTcpSocket* aSocket)
    : socket(aSocket)
  {
  }

  /// Sends status and body. Call once.
  void Send(int aStatus, const QByteArray& aContentType, const QByteArray& aBody) const;

  /// Sends the caller on to another URL, to be asked with the same method and body.
  void SendRedirect(const QByteArray& aLocation) const;

private:
  bool CanSend() const;

  QPointer<QTcpSocket> socket;
};

} // namespace oleanderledge
