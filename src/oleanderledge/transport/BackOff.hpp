#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <random>

namespace oleanderledge {

/// Exponential back-off from 20 ms to 500 ms with jitter, which spreads the retries after many
/// attempts that failed at the same moment. Equal seeds give equal delays.
class BackOff
{
public:
  explicit BackOff(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Delay before the next attempt after `aFailures` (at least 1) consecutive failures: a random
  /// time between one half of the exponential delay and all of it, at least 20 ms.
  Duration Next(std::uint32_t aFailures);

private:
  std::mt19937_64 random;
};

} // namespace oleanderledge
