#pragma once

#include "oleanderledge/link/Messages.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <vector>

namespace oleanderledge {

/// Collects heartbeats at a follower and forwards them to the leader in batches.
class HeartbeatRelay : public QObject
{
  Q_OBJECT

public:
  /// `aSend` sends to the present leader, or drops the message if there is none.
  HeartbeatRelay(std::function<void(const Message&)> aSend, QObject* aParent);

  /// Queues a heartbeat for the next batch.
  void Add(const Heartbeat& aHeartbeat);

private:
  void Flush();

  std::function<void(const Message&)> send;
  std::vector<Heartbeat> batch;
  QTimer flushTimer;
};

} // namespace oleanderledge
