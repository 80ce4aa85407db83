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
  double arrivalsPerSecond = 0;
  std::int64_t serviceUs = 0; ///< Mean; service times of single units vary by +-50 %.
  std::int64_t startUs = 0;
  std::int64_t endUs = 0;
};

/// Load and capacity from which a trace is generated.
struct TraceScenario
{
  std::string name;         ///< File name without extension.
  std::string floodedClass; ///< Empty: no flood.
  std::uint32_t connections = 1;
  std::uint64_t seed = 0;
  std::vector<TraceStream> streams;
};

/// The scenarios of the committed traces. For each deployment: normal load, a flood of the least
/// urgent class, and a flood of the most urgent class.
std::vector<TraceScenario> CommittedScenarios();

/// Generates the trace of a scenario in the format of ReplayTrace(). Units are served as the
/// deadline scheduler decides.
std::string GenerateTrace(const TraceScenario& aScenario);

} // namespace oleanderledge
