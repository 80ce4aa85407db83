#include "oleanderledge/control/TokenBucket.hpp"

#include <algorithm>

namespace oleanderledge {

TokenBucket::TokenBucket(int aPerSecond, int aBurst)
  : perSecond(aPerSecond)
  , burst(aBurst)
  , tokens(aBurst)
{
}

bool TokenBucket::TryTake(Instant aNow)
{
  if (aNow > this->refilledAt) {
    const std::chrono::duration<double> elapsed = aNow - this->refilledAt;
    this->tokens = std::min(this->burst, this->tokens + elapsed.count() * this->perSecond);
    this->refilledAt = aNow;
  }
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

} // namespace oleanderledge
