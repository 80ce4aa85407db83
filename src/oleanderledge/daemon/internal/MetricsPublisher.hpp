#pragma once

#include "oleanderledge/daemon/TrafficCounters.hpp"
#include "oleanderledge/link/link.hpp"

#include <fstream>
#include <string>

namespace oleanderledge {

class MetricsRegistry;

/// Puts the counters of a proxy into its metrics and appends them to its metrics log.
class MetricsPublisher
{
public:
  /// An empty path writes no metrics log.
  MetricsPublisher(InstanceInfo aSelf, MetricsRegistry& aRegistry, const std::string& aLogPath);

  void Publish(const TrafficCounters& aCounters, const Directory& aDirectory, bool aIsReady);
  /// Appends one line to the metrics log.
  void AppendToLog(const TrafficCounters& aCounters, const Directory& aDirectory);

private:
  /// Statements to registered backend servers.
  void PublishStatements(const TrafficCounters& aCounters);

  InstanceInfo self;
  MetricsRegistry& registry;
  std::ofstream log;
};

} // namespace oleanderledge
