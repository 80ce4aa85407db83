#pragma once

#include <chrono>
#include <cstdint>

namespace oleanderledge {

/// Resolution of all durations in decision logic: microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process. Never compare instants of different processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. Only adapters call this; decision logic receives the time as an
/// argument.
inline Instant MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Microseconds since the epoch of the monotonic clock, for messages.
inline std::int64_t ToMicroseconds(Instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

/// Inverse of ToMicroseconds().
inline Instant FromMicroseconds(std::int64_t aMicroseconds)
{
  return Instant{ Duration{ aMicroseconds } };
}

} // namespace oleanderledge
