#pragma once

#include <span>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Exit codes of all subcommands. docs/operators.md lists them.
enum class ExitCode : int
{
  Ok = 0,
  Failed = 1,      ///< The operation was refused or failed; the message says why.
  Usage = 2,       ///< The command line or the settings are invalid.
  Unreachable = 3, ///< No instance answered.
  Conflict = 4,    ///< Another operator changed the configuration first.
};

/// Positional arguments after the subcommand.
using Arguments = std::span<const std::string>;

/// `proxy --settings=FILE`
ExitCode RunProxyCommand();
/// `control --settings=FILE`
ExitCode RunControlCommand();
/// `check-settings proxy|control FILE...`
ExitCode RunCheckSettings(Arguments aArguments);
/// `ctl class|status|config ...`
ExitCode RunCtl(Arguments aArguments);
/// `report FILE...`
ExitCode RunReport(Arguments aArguments);
/// `replay TRACE --expect=FILE`
ExitCode RunReplay(Arguments aArguments);

/// Returns the help text of a subcommand; the general help for an unknown name.
std::string_view HelpOf(std::string_view aSubcommand);

} // namespace oleanderledge
