#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Counters of one class at one instance since the instance started.
struct ClassCounters
{
  std::int64_t targetMs = 0;
  std::uint64_t served = 0;
  std::uint64_t servedInTarget = 0;
  std::uint64_t refused = 0;
};

/// One completed failover with the durations of its phases as the control leader measured them.
struct FailoverRecord
{
  std::string database;
  std::int64_t time = 0; ///< End of the failover, seconds since 1970.
  std::int64_t detectMs = 0;
  std::int64_t leaseMs = 0;
  std::int64_t promoteMs = 0;
  std::int64_t publishMs = 0;

  /// Total duration of the failover.
  std::int64_t GapMs() const
  {
    return this->detectMs + this->leaseMs + this->promoteMs + this->publishMs;
  }
};

/// The counters of one instance at one time: one line of a metrics log.
struct MetricsSample
{
  std::int64_t time = 0; ///< Seconds since 1970.
  std::string instance;
  std::uint64_t incarnation = 0; ///< Counters restart from zero with each incarnation.
  std::map<std::string, ClassCounters> classes;
  std::map<std::uint16_t, std::uint64_t> refusals; ///< By result code.
  std::uint64_t replicaReads = 0;
  std::uint64_t primaryReads = 0;
  std::vector<FailoverRecord> failovers; ///< Those finished since the previous sample.
};

/// Encodes a sample as JSON on one line, without a line break.
std::string EncodeSample(const MetricsSample& aSample);

/// Decodes one line. Fails with MalformedFrame if it is not a JSON object with a time and instance.
Result<MetricsSample> DecodeSample(std::string_view aLine);

} // namespace oleanderledge
