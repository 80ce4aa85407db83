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
  std::string_view zone; ///< "region/zone".
  /// Connections in use or waited for, including those for other proxies.
  std::uint32_t demand = 0;
  std::uint32_t relayedBackends = 0; ///< Number of other backend servers that it is a relay for.
};

/// Which proxies hold the connections to one backend server, by availability zone.
struct RelayPlan
{
  struct Zone
  {
    std::uint32_t connections = 0;
    std::vector<std::string> relays; ///< Ids of the proxies among which they are divided.
  };

  std::map<std::string, Zone, std::less<>> zones;

  /// Number of connections that a proxy of the zone may hold; 0 if it is no relay.
  std::uint32_t ConnectionsOf(std::string_view aId, std::string_view aZone) const;
  /// Ids of the relays for a proxy of the zone: those of the nearest zone that has any. Empty if no
  /// zone has one.
  const std::vector<std::string>& RelaysFor(std::string_view aZone) const;
};

/// Allocates the connections that a backend server accepts to zones by their demand, and chooses
/// one or two proxies of each zone as relays, which hold the connections for all its proxies. Keeps
/// the assignment of `aPrevious` where it is still valid, because each change opens new
/// connections.
///
/// Needed where there are more proxies than connections, or where the few connections of one proxy
/// would not suffice for a burst: the proxies of a zone then share one queue, served by priority.
/// A pure function.
RelayPlan AssignRelays(std::string_view aBackend,
                       std::uint32_t aLimit,
                       std::span<const RelayCandidate> aCandidates,
                       const RelayPlan& aPrevious);

} // namespace oleanderledge
