#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <string>

namespace oleanderledge {

/// Options of a daemon from the command line.
struct DaemonOptions
{
  std::string metricsLog;   ///< Empty: no metrics log.
  std::string settingsPath; ///< Reloaded when its content changes; SIGHUP checks it at once.
};

/// Runs a proxy in the calling thread until SIGTERM or SIGINT stops it. Requires a
/// QCoreApplication. Returns the error if the proxy cannot start, for example ListenFailed.
Result<void> RunProxy(const Settings& aSettings, const DaemonOptions& aOptions);

/// Runs a control instance under the same conditions. Also returns the error that stopped it.
Result<void> RunControl(const Settings& aSettings, const DaemonOptions& aOptions);

} // namespace oleanderledge
