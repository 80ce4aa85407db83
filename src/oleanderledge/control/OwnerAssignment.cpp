#include "oleanderledge/control/OwnerAssignment.hpp"

#include <tuple>

namespace oleanderledge {

const OwnerCandidate* OwnerAssignment::Choose(std::span<const OwnerCandidate> aCandidates,
                                              std::string_view aDatabase,
                                              std::string_view aPrimaryZone,
                                              std::string_view aCurrentOwner,
                                              std::string_view aExcludedOwner)
{
  const OwnerCandidate* best = nullptr;
  const auto rank = [&](const OwnerCandidate& aCandidate) {
    const InstanceInfo& instance = aCandidate.instance;
    return std::make_tuple(DistanceBetween(instance.zone, aPrimaryZone),
                           instance.id != aCurrentOwner,
                           aCandidate.owned,
                           RendezvousHash(aDatabase, instance.id));
  };
  for (const OwnerCandidate& candidate : aCandidates) {
    if (candidate.instance.id == aExcludedOwner) {
      continue;
    }
    if (best == nullptr || rank(candidate) < rank(*best)) {
      best = &candidate;
    }
  }
  return best;
}

std::uint64_t OwnerAssignment::RendezvousHash(std::string_view aDatabase,
                                              std::string_view aInstance)
{
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const std::string_view part : { aDatabase, std::string_view("\0", 1), aInstance }) {
    for (const char byte : part) {
      hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
    }
  }
  return hash;
}

} // namespace oleanderledge
