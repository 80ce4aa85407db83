#include "oleanderledge/cli/cli.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <string>
#include <vector>

DECLARE_string(log_level);

using namespace oleanderledge;

namespace {

constexpr char kVersion[] = "0.1.0";

/// Log lines that are queued for standard output. If it is not read, the oldest lines are dropped.
constexpr std::size_t kLogQueueLines = 512;

bool IsDaemon(const std::string& aSubcommand)
{
  return aSubcommand == "proxy" || aSubcommand == "control";
}

/// Daemons log to standard output asynchronously, so that a slow reader cannot block them. Other
/// subcommands log to standard error, so that their output can be piped.
void SetUpLogging(bool aIsDaemon)
{
  if (aIsDaemon) {
    spdlog::init_thread_pool(kLogQueueLines, 1);
    spdlog::set_default_logger(
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("oleanderledge"));
  } else {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("oleanderledge"));
  }
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_level(spdlog::level::from_str(FLAGS_log_level));
  spdlog::flush_on(spdlog::level::info);
}

bool HasHelpFlag(const std::vector<std::string>& aArguments)
{
  for (const std::string& argument : aArguments) {
    if (argument == "--help" || argument == "-h") {
      return true;
    }
  }
  return false;
}

ExitCode RunSubcommand(const std::string& aName, Arguments aArguments)
{
  if (aName == "ctl") {
    return RunCtl(aArguments);
  }
  if (aName == "proxy") {
    return RunProxyCommand();
  }
  if (aName == "control") {
    return RunControlCommand();
  }
  if (aName == "report") {
    return RunReport(aArguments);
  }
  if (aName == "replay") {
    return RunReplay(aArguments);
  }
  if (aName == "check-settings") {
    return RunCheckSettings(aArguments);
  }
  std::fputs(HelpOf("").data(), stderr);
  return ExitCode::Usage;
}

} // namespace

int main(int aCount, char** aValues)
{
  const std::vector<std::string> rawArguments(aValues + 1, aValues + aCount);
  if (HasHelpFlag(rawArguments)) {
    std::fputs(HelpOf(rawArguments.front()).data(), stdout);
    return 0;
  }
  gflags::SetVersionString(kVersion);
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  if (arguments.empty()) {
    std::fputs(HelpOf("").data(), stderr);
    return static_cast<int>(ExitCode::Usage);
  }
  SetUpLogging(IsDaemon(arguments.front()));
  const QCoreApplication application(aCount, aValues);
  const ExitCode code = RunSubcommand(arguments.front(), Arguments(arguments).subspan(1));
  // Writes the queued log lines, as far as standard output is read.
  spdlog::shutdown();
  return static_cast<int>(code);
}
