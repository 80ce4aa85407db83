#include "oleanderledge/transport/LinkServer.hpp"

#include "oleanderledge/transport/AcceptRetry.hpp"

#include <QHostAddress>

namespace oleanderledge {

LinkServer::LinkServer(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent)
  : QObject(aParent)
  , selfInfo(std::move(aSelf))
  , latency(aLatency)
{
  QObject::connect(&this->server, &QTcpServer::newConnection, this, &LinkServer::AcceptPending);
  RetryAcceptingAfterErrors(this->server);
}

Result<void> LinkServer::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  if (!this->server.listen(QHostAddress(QString::fromStdString(host)), port)) {
    return Fail(ResultCode::ListenFailed,
                aAddress + ": " + this->server.errorString().toStdString());
  }
  return boost::outcome_v2::success();
}

void LinkServer::Stop()
{
  this->server.close();
}

void LinkServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    auto* link = new LinkConnection(this->selfInfo, socket, this->latency, this);
    QObject::connect(
      link, &LinkConnection::Ready, this, [this, link] { Q_EMIT this->Accepted(link); });
    // No receiver of Accepted() learns of a link that closes before the Hello, so links are deleted
    // here.
    QObject::connect(link, &LinkConnection::Closed, link, &QObject::deleteLater);
  }
}

} // namespace oleanderledge
