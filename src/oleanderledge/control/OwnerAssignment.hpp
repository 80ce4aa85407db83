#pragma once

#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// A proxy that may own databases.
struct OwnerCandidate
{
  InstanceInfo instance;
  std::size_t owned = 0; ///< Number of databases that it owns or is about to own.
};

/// Chooses owners: nearest to the primary first, then the current owner, then fewest databases,
/// then lowest rendezvous hash. The choice depends on the arguments only, so that every leader
/// makes the same one.
class OwnerAssignment
{
public:
  /// The proxy to own a database, or null if there is none. `aCurrentOwner` is preferred among
  /// proxies of the same distance, because its connections can be kept. `aExcludedOwner` is never
  /// chosen.
  static const OwnerCandidate* Choose(std::span<const OwnerCandidate> aCandidates,
                                      std::string_view aDatabase,
                                      std::string_view aPrimaryZone,
                                      std::string_view aCurrentOwner,
                                      std::string_view aExcludedOwner);

  /// FNV-1a hash of the pair, the same in every process.
  static std::uint64_t RendezvousHash(std::string_view aDatabase, std::string_view aInstance);
};

} // namespace oleanderledge
