#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <random>

namespace oleanderledge {

/// Jittered exponential delays from 20 ms to 500 ms. The jitter spreads retries of many callers
/// that failed at the same moment.
class BackOff
{
public:
  explicit BackOff(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Delay before the next attempt after `aFailures` failures in a row (from 1): between half of
  /// the step and the whole step, never under the shortest delay.
  Duration Next(std::uint32_t aFailures);

private:
  std::mt19937_64 random;
};

} // namespace oleanderledge
