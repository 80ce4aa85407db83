#include "oleanderledge/quotas/TokenBucketLevel.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Bounds the result for a rate of zero.
constexpr std::chrono::duration<double> kLongestWait = std::chrono::hours(1);

} // namespace

TokenBucketLevel::TokenBucketLevel(double aPerSecond,
                                   double aCapacity,
                                   double aTokens,
                                   Instant aNow)
  : perSecond(aPerSecond)
  , capacity(aCapacity)
  , tokens(std::min(aTokens, aCapacity))
  , refilledAt(aNow)
{
}

void TokenBucketLevel::Refill(double aPerSecond, double aCapacity, Instant aNow)
{
  if (aNow > this->refilledAt) {
    const std::chrono::duration<double> elapsed = aNow - this->refilledAt;
    this->tokens =
      std::min(this->tokens + this->perSecond * elapsed.count(), std::max(this->capacity, 0.0));
    this->refilledAt = aNow;
  }
  this->perSecond = aPerSecond;
  this->capacity = aCapacity;
  this->tokens = std::min(this->tokens, aCapacity);
}

void TokenBucketLevel::Return(double aTokens)
{
  this->tokens = std::min(this->tokens + aTokens, this->capacity);
}

Duration TokenBucketLevel::TimeUntil(double aTokens) const
{
  const double missing = std::max(aTokens - this->tokens, 0.0);
  if (missing >= this->perSecond * kLongestWait.count()) {
    return missing > 0 ? std::chrono::duration_cast<Duration>(kLongestWait) : Duration{ 0 };
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / this->perSecond));
}

} // namespace oleanderledge
