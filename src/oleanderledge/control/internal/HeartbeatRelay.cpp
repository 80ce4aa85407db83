#include "oleanderledge/control/internal/HeartbeatRelay.hpp"

namespace oleanderledge {

namespace {

/// Heartbeats of up to 120 proxies come every 200 ms; this collects about six in one message and
/// costs little of the lease.
constexpr std::chrono::milliseconds kBatchPause(10);

} // namespace

HeartbeatRelay::HeartbeatRelay(std::function<void(const Message&)> aSend, QObject* aParent)
  : QObject(aParent)
  , send(std::move(aSend))
{
  this->flushTimer.setSingleShot(true);
  this->flushTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->flushTimer, &QTimer::timeout, this, &HeartbeatRelay::Flush);
}

void HeartbeatRelay::Add(const Heartbeat& aHeartbeat)
{
  this->batch.push_back(aHeartbeat);
  if (!this->flushTimer.isActive()) {
    this->flushTimer.start(kBatchPause);
  }
}

void HeartbeatRelay::Flush()
{
  RelayedHeartbeats relayed{ std::move(this->batch) };
  this->batch.clear();
  this->send(relayed);
}

} // namespace oleanderledge
