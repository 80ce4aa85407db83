#pragma once

#include "oleanderledge/base/LogEvent.hpp"
#include "oleanderledge/base/Time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace oleanderledge {

/// Rate limiter for log lines with one token bucket for each event, so that a flood of one event
/// neither slows the process down nor hides other events. Does no I/O and reads no clock. Not
/// thread-safe.
class LogLimiter
{
public:
  /// Capacity of the bucket: lines of one event that may be written in a burst.
  static constexpr double kBurstLines = 60;
  /// Refill rate of the bucket.
  static constexpr double kLinesPerSecond = 20;

  /// Decides on one line of the event. Returns the number of lines of the event that were dropped
  /// since the last admitted one, or nothing if this line must be dropped too.
  std::optional<std::uint64_t> Admit(LogEvent aEvent, Instant aNow);

private:
  struct TokenBucket
  {
    double tokens = kBurstLines;
    Instant refilledAt{};
    std::uint64_t droppedLines = 0;
  };

  std::map<LogEvent, TokenBucket> buckets;
};

} // namespace oleanderledge
