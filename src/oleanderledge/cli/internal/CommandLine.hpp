#pragma once

#include "oleanderledge/cli/Commands.hpp"

#include <gflags/gflags.h>

#include <string>

DECLARE_string(address);
DECLARE_string(output);
DECLARE_string(request_id);
DECLARE_int64(base_version);
DECLARE_string(html);
DECLARE_string(settings);
DECLARE_string(log_level);
DECLARE_string(metrics_log);
DECLARE_string(expect);

namespace oleanderledge {

/// Prints "oleanderledge: MESSAGE" and, if not empty, the next step to standard error. Returns
/// `aCode`.
ExitCode ReportFailure(ExitCode aCode, const std::string& aMessage, const std::string& aNextStep);

/// True if standard output is a terminal, so that colour may be used.
bool IsTerminal();

} // namespace oleanderledge
