#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// A proxy that may hold connections to a backend server.
struct RelayCandidate
{
  std::string_view id;
  std::string_view zone;    ///< "region/zone".
  std::uint32_t demand = 0; ///< Connections in use or waited for, with those for other proxies.
  std::uint32_t relayedBackends = 0; ///< Other backend servers that it is a relay for.
};

/// Which proxies hold the connections to one backend server, by availability zone.
struct RelayPlan
{
  struct Zone
  {
    std::uint32_t connections = 0;
    std::vector<std::string> relays; ///< Ids of proxies, which share the connections.
  };

  std::map<std::string, Zone, std::less<>> zones;

  /// Connections that a proxy holds.
  std::uint32_t ConnectionsOf(std::string_view aId, std::string_view aZone) const;
  /// Ids of the relays for a proxy of the zone: those of the nearest zone that has any.
  const std::vector<std::string>& RelaysFor(std::string_view aZone) const;
};

/// Gives each zone a part of the connections that a backend server accepts, by its demand, and has
/// one or two proxies of the zone hold them for all. Keeps what `aPrevious` says where it still
/// fits, since each move costs new connections.
///
/// Answers the load of more proxies than connections, and of bursts that a proxy's own few
/// connections could not carry: a zone's proxies share a queue that serves by priority. Pure.
RelayPlan AssignRelays(std::string_view aBackend,
                       std::uint32_t aLimit,
                       std::span<const RelayCandidate> aCandidates,
                       const RelayPlan& aPrevious);

} // namespace oleanderledge
