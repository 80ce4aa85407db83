#pragma once

#include "oleanderledge/transport/LinkConnection.hpp"

#include <QTcpServer>

#include <string>

namespace oleanderledge {

/// Listens for links of peers. Each accepted link is a child of the server, and a receiver of
/// Accepted() may re-parent it. A link is deleted once it has closed.
class LinkServer : public QObject
{
  Q_OBJECT

public:
  LinkServer(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent);

  /// Starts to listen on "ip:port". Fails with ListenFailed.
  Result<void> Listen(const std::string& aAddress);

  /// Stops accepting links; accepted ones stay open.
  void Stop();

Q_SIGNALS:
  /// Emitted when a valid Hello of the peer has arrived. The receiver connects to Received() and
  /// Closed() of the link.
  void Accepted(oleanderledge::LinkConnection* aLink);

private:
  void AcceptPending();

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  QTcpServer server;
};

} // namespace oleanderledge
