#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Token bucket that limits the rate of reassignments and failovers.
class TokenBucket
{
public:
  /// Refills with `aPerSecond` tokens per second up to `aBurst` tokens; starts full.
  TokenBucket(int aPerSecond, int aBurst);

  /// Takes one token. Returns false if none is left.
  bool TryTake(Instant aNow);

private:
  double perSecond;
  double burst;
  double tokens;
  Instant refilledAt{};
};

} // namespace oleanderledge
