#include "oleanderledge/cli/Commands.hpp"
#include "oleanderledge/cli/internal/CommandLine.hpp"
#include "oleanderledge/daemon/daemon.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <cstdlib>

namespace oleanderledge {

namespace {

using RunFunction = Result<void> (*)(const Settings&, const DaemonOptions&);

ExitCode RunDaemonCommand(DaemonKind aKind, RunFunction aRun)
{
  const char* fromEnvironment = std::getenv("OLEANDERLEDGE_CONFIG");
  const std::string path =
    FLAGS_settings.empty() && fromEnvironment != nullptr ? fromEnvironment : FLAGS_settings;
  if (path.empty()) {
    return ReportFailure(ExitCode::Usage,
                         "--settings is missing and OLEANDERLEDGE_CONFIG is not set",
                         "See oleanderledge proxy --help.");
  }
  const auto settings = LoadSettings(path, aKind);
  if (!settings) {
    WriteLog(LogEvent::SettingsRejected, "file=" + path);
    return ReportFailure(ExitCode::Usage, settings.error().message, "");
  }
  const auto finished = aRun(settings.value(), { FLAGS_metrics_log, path });
  WriteLog(LogEvent::DaemonStopped, "instance=" + settings.value().instance + " step=objects");
  if (finished) {
    return ExitCode::Ok;
  }
  if (finished.error().code == ResultCode::ListenFailed) {
    WriteLog(LogEvent::ListenFailed, finished.error().message);
  }
  return ReportFailure(ExitCode::Failed,
                       "[" + std::to_string(static_cast<unsigned>(finished.error().code)) + "] " +
                         finished.error().message,
                       "docs/result-codes.md explains the code.");
}

} // namespace

ExitCode RunProxyCommand()
{
  return RunDaemonCommand(DaemonKind::Proxy, &RunProxy);
}

ExitCode RunControlCommand()
{
  return RunDaemonCommand(DaemonKind::Control, &RunControl);
}

} // namespace oleanderledge
