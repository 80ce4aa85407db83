#pragma once

#include "oleanderledge/transport/transport.hpp"

#include <QObject>
#include <QTimer>

#include <string>
#include <vector>

namespace oleanderledge {

/// Passes heartbeats from a follower on to the leader in batches.
class HeartbeatRelay : public QObject
{
  Q_OBJECT

public:
  HeartbeatRelay(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent);

  /// Directs the relay to the leader's link address; empty for none.
  void SetLeader(const std::string& aAddress);

  /// Queues a heartbeat for the next batch. Dropped if there is no leader.
  void Add(const Heartbeat& aHeartbeat);

Q_SIGNALS:
  void RepliesReceived(const oleanderledge::RelayedReplies& aReplies);

private:
  void Connect();
  void Flush();

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  std::string address;
  LinkConnection* link = nullptr;
  std::vector<Heartbeat> batch;
  QTimer flushTimer;
  QTimer reconnectTimer;
};

} // namespace oleanderledge
