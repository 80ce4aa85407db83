#pragma once

#include "oleanderledge/base/LogEvent.hpp"
#include "oleanderledge/base/Time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace oleanderledge {

/// Bounds the lines of each log event, so that a flood of one event neither costs much nor hides
/// others. Pure.
class LogLimiter
{
public:
  /// Lines of one event that may be written at once, and that many more each second.
  static constexpr double kBurst = 60;
  static constexpr double kPerSecond = 20;

  /// The number of lines of the event left out since the last one that was written, or nothing if
  /// this line is to be left out too.
  std::optional<std::uint64_t> Admit(LogEvent aEvent, Instant aNow);

private:
  struct Bucket
  {
    double tokens = kBurst;
    Instant filledAt{};
    std::uint64_t leftOut = 0;
  };

  std::map<LogEvent, Bucket> buckets;
};

} // namespace oleanderledge
