#include "oleanderledge/control/internal/TokenRequestRelay.hpp"

namespace oleanderledge {

namespace {

/// An operation of a caller waits for the reply, so the delay is short compared with the 12 ms to
/// another region. 82 proxies that make 800 requests/s, of which a follower relays a fifth, fill a
/// batch with one request on average; under a flood it holds more.
constexpr std::chrono::milliseconds kBatchInterval(2);

} // namespace

TokenRequestRelay::TokenRequestRelay(std::function<void(const Message&)> aSend, QObject* aParent)
  : QObject(aParent)
  , send(std::move(aSend))
{
  this->flushTimer.setSingleShot(true);
  this->flushTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->flushTimer, &QTimer::timeout, this, &TokenRequestRelay::Flush);
}

void TokenRequestRelay::Add(const TokenRequest& aRequest)
{
  this->batch.push_back(aRequest);
  if (!this->flushTimer.isActive()) {
    this->flushTimer.start(kBatchInterval);
  }
}

void TokenRequestRelay::Flush()
{
  RelayedTokenRequests relayed{ std::move(this->batch) };
  this->batch.clear();
  this->send(relayed);
}

} // namespace oleanderledge
