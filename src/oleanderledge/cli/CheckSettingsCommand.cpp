#include "oleanderledge/cli/Commands.hpp"
#include "oleanderledge/cli/internal/CommandLine.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <cstdio>

namespace oleanderledge {

ExitCode RunCheckSettings(Arguments aArguments)
{
  if (aArguments.size() < 2 || (aArguments[0] != "proxy" && aArguments[0] != "control")) {
    return ReportFailure(ExitCode::Usage,
                         "check-settings needs proxy or control, and a file",
                         "See oleanderledge check-settings --help.");
  }
  const DaemonKind kind = aArguments[0] == "proxy" ? DaemonKind::Proxy : DaemonKind::Control;
  ExitCode exitCode = ExitCode::Ok;
  for (const std::string& path : aArguments.subspan(1)) {
    const auto settings = LoadSettings(path, kind);
    if (settings) {
      std::printf("%s: ok\n", path.c_str());
      continue;
    }
    std::fprintf(stderr, "%s\n", settings.error().message.c_str());
    exitCode = ExitCode::Usage;
  }
  return exitCode;
}

} // namespace oleanderledge
