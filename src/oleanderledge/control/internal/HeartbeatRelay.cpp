#include "oleanderledge/control/internal/HeartbeatRelay.hpp"

namespace oleanderledge {

namespace {

/// Heartbeats of up to 120 proxies come every 200 ms; this collects about six in one message and
/// costs little of the lease.
constexpr std::chrono::milliseconds kBatchPause(10);
constexpr std::chrono::milliseconds kReconnectPause(100);

} // namespace

HeartbeatRelay::HeartbeatRelay(InstanceInfo aSelf,
                               const EmulatedLatency& aLatency,
                               QObject* aParent)
  : QObject(aParent)
  , selfInfo(std::move(aSelf))
  , latency(aLatency)
{
  this->flushTimer.setSingleShot(true);
  QObject::connect(&this->flushTimer, &QTimer::timeout, this, &HeartbeatRelay::Flush);
  this->reconnectTimer.setSingleShot(true);
  QObject::connect(&this->reconnectTimer, &QTimer::timeout, this, &HeartbeatRelay::Connect);
}

void HeartbeatRelay::SetLeader(const std::string& aAddress)
{
  if (this->address == aAddress) {
    return;
  }
  this->address = aAddress;
  this->batch.clear();
  if (this->link != nullptr) {
    this->link->disconnect(this);
    this->link->Close();
    this->link->deleteLater();
    this->link = nullptr;
  }
  this->Connect();
}

void HeartbeatRelay::Connect()
{
  if (this->address.empty() || this->link != nullptr) {
    return;
  }
  this->link = new LinkConnection(this->selfInfo, this->address, this->latency, this);
  QObject::connect(this->link, &LinkConnection::Received, this, [this](const Message& aMessage) {
    if (const auto* replies = std::get_if<RelayedReplies>(&aMessage)) {
      Q_EMIT this->RepliesReceived(*replies);
    }
  });
  QObject::connect(this->link, &LinkConnection::Closed, this, [this] {
    this->link->deleteLater();
    this->link = nullptr;
    this->reconnectTimer.start(kReconnectPause);
  });
}

void HeartbeatRelay::Add(const Heartbeat& aHeartbeat)
{
  if (this->link == nullptr) {
    return;
  }
  this->batch.push_back(aHeartbeat);
  if (!this->flushTimer.isActive()) {
    this->flushTimer.start(kBatchPause);
  }
}

void HeartbeatRelay::Flush()
{
  // A link that is still connecting gets no heartbeats: they would arrive late.
  if (this->link != nullptr && this->link->IsReady() && !this->batch.empty()) {
    this->link->Send(RelayedHeartbeats{ std::move(this->batch) });
  }
  this->batch.clear();
}

} // namespace oleanderledge
