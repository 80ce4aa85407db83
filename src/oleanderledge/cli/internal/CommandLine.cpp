#include "oleanderledge/cli/internal/CommandLine.hpp"

#include <cstdio>
#include <unistd.h>

DEFINE_string(address, "127.0.0.1:7201", "HTTP addresses of instances, IP:PORT[,IP:PORT...]");
DEFINE_string(output, "text", "output format of ctl: text or json");
DEFINE_string(request_id, "", "id of a configuration change; repeat it when resending");
DEFINE_int64(base_version,
             -1,
             "version that a configuration change builds on; -1: the present one");
DEFINE_string(html, "", "file for the HTML report");
DEFINE_string(settings, "", "settings file of a daemon");
DEFINE_string(log_level, "info", "least level that is logged: info, warning or error");
DEFINE_string(metrics_log, "", "file to which a daemon appends its counters for the report");
DEFINE_string(expect, "", "file with the expected outcomes of a replay");

namespace oleanderledge {

ExitCode ReportFailure(ExitCode aCode, const std::string& aMessage, const std::string& aNextStep)
{
  std::fprintf(stderr, "oleanderledge: %s\n", aMessage.c_str());
  if (!aNextStep.empty()) {
    std::fprintf(stderr, "  %s\n", aNextStep.c_str());
  }
  return aCode;
}

bool IsTerminal()
{
  return isatty(STDOUT_FILENO) == 1;
}

namespace {

constexpr std::string_view kGeneralHelp = R"(usage: oleanderledge SUBCOMMAND [FLAGS] [ARGUMENTS]

  proxy           run a proxy:            oleanderledge proxy --settings=entry-1.yaml
  control         run a control instance: oleanderledge control --settings=control-1.yaml
  ctl             state classes and targets, show the status of the fleet
  report          service levels and error budgets from metrics logs
  replay          run recorded decision events again and check their outcomes
  check-settings  check settings files and do nothing else

Add --help to a subcommand for its flags and an example. --version prints the version.
)";

constexpr std::string_view kCtlHelp =
  R"(usage: oleanderledge ctl [--address=IP:PORT,...] [--output=text|json] COMMAND

  class create NAME TARGET   create a class; TARGET is like 50ms, 10s or 2m
  class set NAME TARGET      change the target of a class
  class delete NAME          delete a class
  class list                 show the classes and the configuration version
  status                     show instances, databases and what is in force
  config history             show all accepted changes

  --address       HTTP address of any proxy or control instance; several are tried in turn
  --base_version  refuse the change if the configuration has another version by now
  --request_id    repeat the id of a change whose answer was lost; it is then applied once

Example: oleanderledge ctl --address=127.0.0.1:7201 class create bookings 50ms
)";

constexpr std::string_view kReportHelp = R"(usage: oleanderledge report [--html=FILE] METRICS_LOG...

Reads metrics logs that daemons wrote with --metrics_log and shows, for each class, its target, the
share served in time, the burn of the error budget over 1 h, 6 h, 1 d and 3 d, refusals, the share of
reads on replicas, and failovers. --html also writes one self-contained page.

Example: oleanderledge report --html=report.html run/norrsten/*.metrics
)";

constexpr std::string_view kCheckSettingsHelp =
  R"(usage: oleanderledge check-settings proxy|control FILE...

Checks settings files. Prints each problem with file and line; exits with 2 if there is any.

Example: oleanderledge check-settings proxy deploy/norrsten/proxy-mora-1.yaml
)";

constexpr std::string_view kDaemonHelp =
  R"(usage: oleanderledge proxy|control --settings=FILE [--log_level=info|warning|error]
       [--metrics_log=FILE]

SIGTERM starts a graceful shutdown of at most 10 s; a second SIGTERM stops at once.

Example: oleanderledge proxy --settings=deploy/norrsten/proxy-mora-1.yaml
)";

constexpr std::string_view kReplayHelp = R"(usage: oleanderledge replay TRACE --expect=OUTCOMES.yaml

Feeds recorded scheduling events to the deadline scheduler and checks the stated outcomes. Prints the
first event where the decisions part and exits with 1 if an outcome differs, and with 2 if a file is
damaged.

Example: oleanderledge replay tests/traces/norrsten-normal.trace --expect=tests/traces/norrsten-normal.yaml
)";

} // namespace

std::string_view HelpOf(std::string_view aSubcommand)
{
  if (aSubcommand == "ctl") {
    return kCtlHelp;
  }
  if (aSubcommand == "report") {
    return kReportHelp;
  }
  if (aSubcommand == "check-settings") {
    return kCheckSettingsHelp;
  }
  if (aSubcommand == "proxy" || aSubcommand == "control") {
    return kDaemonHelp;
  }
  return aSubcommand == "replay" ? kReplayHelp : kGeneralHelp;
}

} // namespace oleanderledge
