#pragma once

#include "oleanderledge/transport/LinkConnection.hpp"

#include <QTcpServer>

#include <string>

namespace oleanderledge {

/// Listens for links of peers. Each accepted link is a child of the server until `accepted` hands
/// it to a slot that may re-parent it.
class LinkServer : public QObject
{
  Q_OBJECT

public:
  LinkServer(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent);

  /// Opens "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

  /// Stops accepting links; accepted ones stay open.
  void Stop();

Q_SIGNALS:
  /// The peer's Hello was valid. The receiver connects to `received` and `closed` of the link.
  void Accepted(oleanderledge::LinkConnection* aLink);

private:
  void AcceptPending();

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  QTcpServer server;
};

} // namespace oleanderledge
