#pragma once

#include "oleanderledge/control/FailoverTimeline.hpp"
#include "oleanderledge/link/link.hpp"

#include <fstream>
#include <string>

namespace oleanderledge {

/// Appends complete failovers to the metrics log of a control instance.
class FailoverLog
{
public:
  /// An empty path writes no log.
  FailoverLog(InstanceInfo aSelf, const std::string& aPath);

  /// Appends one line with one failover.
  void Append(const FailoverDurations& aDurations);

private:
  InstanceInfo self;
  std::ofstream log;
};

} // namespace oleanderledge
