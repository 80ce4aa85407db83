#include "oleanderledge/control/internal/HeartbeatRelay.hpp"

namespace oleanderledge {

namespace {

/// Up to 120 proxies send a heartbeat every 200 ms, so a batch holds about six. The delay counts
/// against the leases of owners and is short compared with them.
constexpr std::chrono::milliseconds kBatchInterval(10);
/// Even if each heartbeat has the largest size that a link takes from a proxy (512 KiB by default),
/// the batch is smaller than the largest frame.
constexpr std::size_t kMaxBatch = 16;

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
  if (this->batch.size() >= kMaxBatch) {
    this->flushTimer.stop();
    this->Flush();
    return;
  }
  if (!this->flushTimer.isActive()) {
    this->flushTimer.start(kBatchInterval);
  }
}

void HeartbeatRelay::Flush()
{
  RelayedHeartbeats relayed{ std::move(this->batch) };
  this->batch.clear();
  this->send(relayed);
}

} // namespace oleanderledge
