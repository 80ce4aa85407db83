#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Token bucket that paces reassignments and failovers.
class TokenBucket
{
public:
  TokenBucket(int aPerSecond, int aBurst);

  /// Takes one token, or returns false if none is left at this time.
  bool TryTake(Instant aNow);

private:
  double perSecond;
  double burst;
  double tokens;
  Instant refilledAt{};
};

} // namespace oleanderledge
