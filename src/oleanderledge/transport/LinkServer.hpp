#pragma once

#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/transport/LinkConnection.hpp"

#include <QTcpServer>
#include <QTimer>

#include <map>
#include <memory>
#include <string>

namespace oleanderledge {

/// Listens for links of peers. Each accepted link is a child of the server, and a receiver of
/// Accepted() may re-parent it. A link is deleted once it has closed.
class LinkServer : public QObject
{
  Q_OBJECT

public:
  LinkServer(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent);

  /// Sets limits on the peers, and the budget of the process that what is held for them is charged
  /// to. Without this call, the limits are the default ones and the budget is the server's own.
  /// Call before Listen().
  void SetLimits(const LinkLimits& aLimits, std::shared_ptr<ResourceBudget> aBudget);

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
  void Adopt(LinkConnection* aLink, ResourceBudget::ClientId aId);
  /// Closes a link that has not sent a Hello, or else one that is silent, to make room for another.
  bool CloseOneWaiting();
  /// Reports to the budget what is held for a link, and closes links if that is too much.
  void UpdateHeld(LinkConnection* aLink);
  void CheckAll();
  void CloseSelected();
  void CloseForReason(LinkConnection* aLink, ClosingReason aReason);

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  LinkLimits limits;
  std::shared_ptr<ResourceBudget> budget;
  std::map<LinkConnection*, ResourceBudget::ClientId> links; ///< Accepted and not closed.
  QTimer checkTimer;
  Instant checkedAt{};
  QTcpServer server;
};

} // namespace oleanderledge
