#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <string>

namespace oleanderledge {

/// Options of a daemon from the command line.
struct DaemonOptions
{
  std::string metricsLog;   ///< Empty: no metrics log.
  std::string settingsPath; ///< Read again when it changes.
};

/// Runs a proxy in the calling thread until it is stopped by SIGTERM or SIGINT. Needs a
/// QCoreApplication. Fails if it cannot start.
Result<void> RunProxy(const Settings& aSettings, const DaemonOptions& aOptions);

/// Runs a control instance likewise.
Result<void> RunControl(const Settings& aSettings, const DaemonOptions& aOptions);

} // namespace oleanderledge
