#include "oleanderledge/cli/Commands.hpp"
#include "oleanderledge/cli/internal/CommandLine.hpp"
#include "oleanderledge/replay/replay.hpp"

#include <cstdio>

namespace oleanderledge {

ExitCode RunReplay(Arguments aArguments)
{
  if (aArguments.size() != 1 || FLAGS_expect.empty()) {
    return ReportFailure(
      ExitCode::Usage, "replay needs one trace and --expect", "See oleanderledge replay --help.");
  }
  const auto expected = LoadExpectedOutcome(FLAGS_expect);
  if (!expected) {
    return ReportFailure(ExitCode::Usage, expected.error().message, "");
  }
  const auto actual = ReplayTrace(aArguments.front());
  if (!actual) {
    return ReportFailure(ExitCode::Usage, actual.error().message, "");
  }
  if (const auto difference = FindDifference(expected.value(), actual.value())) {
    std::printf("%s: %s\n", aArguments.front().c_str(), difference->c_str());
    return ExitCode::Failed;
  }
  std::printf(
    "%s: ok, %zu decisions\n", aArguments.front().c_str(), actual.value().decisions.size());
  return ExitCode::Ok;
}

} // namespace oleanderledge
