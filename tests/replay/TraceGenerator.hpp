#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

/// Load of one class by one caller in a generated trace; times in microseconds.
struct TraceStream
{
  std::string workClass;
  std::string caller;
  double perSecond = 0;
  std::int64_t serviceUs = 0; ///< Mean; single service times vary by +-50 %.
  std::int64_t fromUs = 0;
  std::int64_t untilUs = 0;
};

struct TraceScenario
{
  std::string name;         ///< File name without extension.
  std::string floodedClass; ///< Empty: no flood.
  std::uint32_t connections = 1;
  std::uint64_t seed = 0;
  std::vector<TraceStream> streams;
};

/// The scenarios of the committed traces: a normal day, and a flood of the least and of the most
/// urgent class, for each user.
std::vector<TraceScenario> CommittedScenarios();

/// The trace of a scenario in the format of ReplayTrace(). Service follows the decisions of the
/// deadline scheduler.
std::string GenerateTrace(const TraceScenario& aScenario);

} // namespace oleanderledge
