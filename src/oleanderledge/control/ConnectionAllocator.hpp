#pragma once

#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/control/RelayAssignment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Timeouts and intervals for the allocation of connections.
struct AllocationTimings
{
  /// Interval of the allocation; that of the heartbeats of proxies.
  Duration allocationInterval = std::chrono::milliseconds(200);
  /// Interval at which unchanged grants are repeated, in case a reply was lost.
  Duration grantRepeatInterval = std::chrono::milliseconds(2000);
  /// A proxy that did not report for this time is not used as a relay: five heartbeats.
  Duration relayExclusionTimeout = std::chrono::milliseconds(1000);
  /// The connections of a proxy that did not report for this time are allocated to others. A
  /// backend server keeps the connections of a proxy that lost power for as long.
  Duration proxyRemovalTimeout = std::chrono::milliseconds(3000);
  /// Longest time between the election of a leader and its first allocation, for which it waits
  /// until all registered proxies have reported: three heartbeats.
  Duration firstAllocationDelay = std::chrono::milliseconds(600);
};

/// Allocates the connections that backend servers accept to proxies; runs at the leader. Performs
/// no I/O.
///
/// The state is kept in memory only: a new leader learns the demand from the next reports, and
/// proxies keep their grants until then.
class ConnectionAllocator
{
public:
  ConnectionAllocator(const ControlState& aState, AllocationTimings aTimings);

  void OnLeadershipGained(Instant aNow);
  /// A proxy reported its demand for connections.
  void OnBackendReports(const InstanceInfo& aProxy,
                        const std::vector<BackendReport>& aReports,
                        Instant aNow);
  void OnTick(Instant aNow);
  /// Grants of a proxy that changed since the last call for it, or all of them if a repetition is
  /// due. Marks them as sent.
  std::vector<ConnectionGrant> TakeChangedGrants(const std::string& aProxy, Instant aNow);

private:
  struct ProxyState
  {
    InstanceInfo instance;
    Instant lastReportAt{};
    /// Demand by backend server, in connections. Follows an increase at once and decays after it.
    std::map<std::string, double, std::less<>> demand;
    /// Connections granted by the last relayed allocation at which it was not lost, by backend
    /// server.
    std::map<std::string, std::uint32_t, std::less<>> relayConnections;
    std::uint32_t relayedBackends = 0;   ///< Number of backend servers that it is a relay for.
    std::vector<ConnectionGrant> grants; ///< Of the last allocation.
    std::vector<ConnectionGrant> sent;   ///< Grants as last sent.
    Instant sentAt{};                    ///< Last time that all grants were sent.

    /// Demand for connections to a backend server, rounded; 0 if none was reported.
    std::uint32_t DemandFor(std::string_view aBackend) const;
  };

  /// True if every proxy that was registered when this leader was elected has reported since. False
  /// if there was none, as in a fleet that is started for the first time.
  bool HaveAllReported() const;
  void AllocateAll(Instant aNow);
  /// Grants each proxy connections of its own.
  void AllocateDirect(const std::string& aBackend, std::uint32_t aLimit);
  /// Grants the connections to some proxies, which relay statements for the others.
  void AllocateRelayed(const std::string& aBackend, std::uint32_t aLimit, Instant aNow);

  const ControlState& state;
  AllocationTimings timings;
  Instant leaderSince{};
  Instant allocatedAt{};
  std::vector<std::string> expectedProxies; ///< Ids registered when this leader was elected.
  std::map<std::string, ProxyState, std::less<>> proxies; ///< By id.
  std::map<std::string, RelayPlan, std::less<>> plans;    ///< By backend server.
};

} // namespace oleanderledge
