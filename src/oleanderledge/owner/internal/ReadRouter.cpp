#include "oleanderledge/owner/internal/ReadRouter.hpp"

#include <algorithm>

namespace oleanderledge {

bool HasPrimaryInService(const DatabaseRow& aRow)
{
  return !aRow.primary.empty() &&
         (aRow.phase == FailoverPhase::Steady || aRow.phase == FailoverPhase::Draining);
}

bool ReadRouter::IsEligible(const DatabaseRow& aRow,
                            const SlotState& aState,
                            LogPosition aRequired,
                            std::int64_t aAcceptedAgeMs,
                            Instant aNow) const
{
  if (aState.isPrimary || aState.row.name == aRow.primary || aState.row.departing ||
      aState.row.silent || !this->slots.IsAlive(aState.row.name, aNow)) {
    return false;
  }
  // Without a primary, replicas of the previous term may still serve reads.
  if (HasPrimaryInService(aRow) && aState.applied.term != aRow.term) {
    return false;
  }
  // Offsets of different terms are not comparable.
  if (aState.applied.term != aRequired.term || aState.applied.offset < aRequired.offset) {
    return false;
  }
  if (aAcceptedAgeMs < 0) {
    return true;
  }
  const auto age = this->slots.AgeOf(aState.row.name, aNow);
  return age && *age <= std::chrono::milliseconds(aAcceptedAgeMs);
}

std::vector<std::string> ReadRouter::EligibleReplicas(const DatabaseRow& aRow,
                                                      const std::string& aSession,
                                                      std::int64_t aAcceptedAgeMs,
                                                      std::string_view aZone,
                                                      Instant aNow) const
{
  const auto required = this->sessions.RequiredFor(aSession);
  if (!required) {
    return {};
  }
  std::vector<const SlotState*> eligible;
  for (const auto& [name, state] : this->slots.Slots()) {
    if (this->IsEligible(aRow, state, *required, aAcceptedAgeMs, aNow)) {
      eligible.push_back(&state);
    }
  }
  std::stable_sort(eligible.begin(), eligible.end(), [&](const auto* aLeft, const auto* aRight) {
    return DistanceBetween(aZone, aLeft->row.zone) < DistanceBetween(aZone, aRight->row.zone);
  });
  std::vector<std::string> names;
  names.reserve(eligible.size());
  for (const SlotState* state : eligible) {
    names.push_back(state->row.name);
  }
  return names;
}

} // namespace oleanderledge
