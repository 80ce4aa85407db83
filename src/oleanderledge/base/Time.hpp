#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace oleanderledge {

/// Duration in microseconds, the resolution of all decision logic.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process. Never compare instants of different processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. Only code that does I/O calls this; decision logic receives the time
/// as an argument.
///
/// Uses CLOCK_BOOTTIME, which also advances while the instance is suspended: with CLOCK_MONOTONIC
/// a lease that ran out during a suspension would still look valid afterwards.
inline Instant MonotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant{ Duration{ std::int64_t{ now.tv_sec } * 1'000'000 + now.tv_nsec / 1000 } };
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
