#pragma once

#include "oleanderledge/daemon/TrafficCounters.hpp"
#include "oleanderledge/link/link.hpp"

#include <fstream>
#include <string>

namespace oleanderledge {

class MetricsRegistry;

/// Copies the counters of a proxy to its metrics registry and appends them to its metrics log.
class MetricsPublisher
{
public:
  /// With an empty path no metrics log is written.
  MetricsPublisher(InstanceInfo aSelf, MetricsRegistry& aRegistry, const std::string& aLogPath);

  void Publish(const TrafficCounters& aCounters, const Directory& aDirectory, bool aIsReady);
  /// Appends one line to the metrics log.
  void AppendToLog(const TrafficCounters& aCounters, const Directory& aDirectory);

private:
  /// Publishes the counters of statements to registered backend servers.
  void PublishStatements(const TrafficCounters& aCounters);

  InstanceInfo self;
  MetricsRegistry& registry;
  std::ofstream log;
};

} // namespace oleanderledge
