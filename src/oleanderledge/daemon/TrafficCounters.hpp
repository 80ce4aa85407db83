#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/StatementService.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace oleanderledge {

/// Snapshot of the counters of the traffic thread, for /metrics and the metrics log. Totals count
/// since the start of the process.
struct TrafficCounters
{
  std::size_t sessions = 0;         ///< Connected callers.
  std::size_t waitingUnits = 0;     ///< Units that wait at present.
  std::uint64_t unitsForwarded = 0; ///< Forwarded to owners, without resends.
  /// Answered by an owner with code Ok. With routes: all answered statements, also with an error.
  std::uint64_t unitsAnswered = 0;
  std::uint64_t resends = 0;        ///< Retries of units that may have run before.
  std::uint64_t repliesIgnored = 0; ///< Late, duplicate or unknown replies.
  std::uint64_t replicaReads = 0;   ///< Read-only units that a replica answered.
  std::uint64_t primaryReads = 0;   ///< Read-only units that the primary answered.
  std::uint64_t notRun = 0;         ///< Errors after which the unit is known not to have run.
  std::uint64_t unknown = 0;        ///< Errors after which the outcome of the unit is unknown.
  std::map<ResultCode, std::uint64_t> errors;
  std::vector<ClassService> service;
  // Statements to registered backend servers.
  std::map<std::uint32_t, PriorityTotals> statements; ///< By priority.
  std::uint64_t connectionsOpened = 0;
  std::uint64_t relayedUses = 0; ///< Times that another proxy used a connection of this one.
  /// Times that a statement or transaction got a connection to a draining server.
  std::uint64_t drainingUses = 0;
  // Clients of all ports; see ResourceBudget.
  std::map<ClosingReason, std::uint64_t> clientsClosed; ///< Because of a limit.
  std::uint64_t clientBytes = 0;
  std::uint64_t clientConnections = 0;
};

} // namespace oleanderledge
