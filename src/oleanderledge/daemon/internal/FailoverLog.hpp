#pragma once

#include "oleanderledge/control/FailoverTimeline.hpp"
#include "oleanderledge/link/link.hpp"

#include <fstream>
#include <string>

namespace oleanderledge {

/// Appends completed failovers to the metrics log of a control instance.
class FailoverLog
{
public:
  /// With an empty path nothing is written.
  FailoverLog(InstanceInfo aSelf, const std::string& aPath);

  /// Appends one failover as one line.
  void Append(const FailoverDurations& aDurations);

private:
  InstanceInfo self;
  std::ofstream log;
};

} // namespace oleanderledge
