#pragma once

#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/control/RelayAssignment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Lengths of time that govern the division of connections.
struct AllocationTimings
{
  /// Connections are divided anew at this interval, that of the proxies' heartbeats.
  Duration allocationInterval = std::chrono::milliseconds(200);
  /// Unchanged grants are repeated after this time, in case a reply was lost.
  Duration grantRepeatInterval = std::chrono::milliseconds(2000);
  /// A proxy that did not report for this time is no relay any more: five heartbeats.
  Duration proxyLostAfter = std::chrono::milliseconds(1000);
  /// It holds no connections any more after this time. As long as a backend server keeps the
  /// connections of a proxy that lost power.
  Duration proxyForgottenAfter = std::chrono::milliseconds(3000);
  /// A new leader first waits for the reports of all proxies: three heartbeats.
  Duration firstAllocationDelay = std::chrono::milliseconds(600);
};

/// Divides the connections that backend servers accept among proxies, at the leader. Volatile: a
/// new leader learns the demand from the next reports, and proxies keep their grants meanwhile.
/// Pure.
class ConnectionAllocator
{
public:
  ConnectionAllocator(const ControlState& aState, AllocationTimings aTimings);

  void OnLeadershipGained(Instant aNow);
  /// A proxy reported its demand.
  void OnBackendReports(const InstanceInfo& aProxy,
                        const std::vector<BackendReport>& aReports,
                        Instant aNow);
  void OnTick(Instant aNow);
  /// Connections that a proxy may hold; empty if nothing changed since the last call for it.
  std::vector<ConnectionGrant> TakeChangedGrants(const std::string& aProxy, Instant aNow);

private:
  struct ProxyState
  {
    InstanceInfo instance;
    Instant heardAt{};
    /// Recent demand by backend server; falls slowly.
    std::map<std::string, double, std::less<>> demand;
    /// Connections that it was granted while it was a relay, by backend server.
    std::map<std::string, std::uint32_t, std::less<>> relayConnections;
    std::uint32_t relayedBackends = 0; ///< Backend servers that it is a relay for.
    std::vector<ConnectionGrant> grants;
    std::vector<ConnectionGrant> sent;
    Instant sentAt{};

    std::uint32_t DemandFor(std::string_view aBackend) const;
  };

  void AllocateAll(Instant aNow);
  /// Each proxy opens its own connections.
  void AllocateDirect(const std::string& aBackend, std::uint32_t aLimit);
  /// Some proxies hold the connections for all.
  void AllocateRelayed(const std::string& aBackend, std::uint32_t aLimit, Instant aNow);

  const ControlState& state;
  AllocationTimings timings;
  Instant leaderSince{};
  Instant allocatedAt{};
  std::map<std::string, ProxyState, std::less<>> proxies; ///< By id.
  std::map<std::string, RelayPlan, std::less<>> plans;    ///< By backend server.
};

} // namespace oleanderledge
