#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/StatementService.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace oleanderledge {

/// Counters that the traffic thread hands to the control thread, for /metrics and the metrics log.
struct TrafficCounters
{
  std::size_t sessions = 0;
  std::size_t waitingUnits = 0;
  std::uint64_t unitsForwarded = 0;
  std::uint64_t unitsAnswered = 0;
  std::uint64_t resends = 0;
  std::uint64_t repliesIgnored = 0;
  std::uint64_t replicaReads = 0;
  std::uint64_t primaryReads = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::map<ResultCode, std::uint64_t> errors;
  std::vector<ClassService> service;
  // Statements to registered backend servers.
  std::map<std::uint32_t, PriorityTotals> statements; ///< By priority.
  std::uint64_t connectionsOpened = 0;
  std::uint64_t relayedUses = 0; ///< Uses of connections by other proxies.
};

} // namespace oleanderledge
