#pragma once

#include "oleanderledge/owner/internal/SessionPositions.hpp"
#include "oleanderledge/owner/internal/SlotTracker.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Decides which replicas may serve a read: those that have applied the position that the session
/// requires and whose data are not older than the accepted age.
class ReadRouter
{
public:
  ReadRouter(const SlotTracker& aSlots, const SessionPositions& aSessions)
    : slots(aSlots)
    , sessions(aSessions)
  {
  }

  /// Names of the replicas that may serve the read, nearest to `aZone` first; none while the base
  /// position is unknown. `aAcceptedAgeMs` is -1 if any age is accepted.
  std::vector<std::string> EligibleReplicas(const DatabaseRow& aRow,
                                            const std::string& aSession,
                                            std::int64_t aAcceptedAgeMs,
                                            std::string_view aZone,
                                            Instant aNow) const;

private:
  bool IsEligible(const DatabaseRow& aRow,
                  const SlotState& aState,
                  LogPosition aRequired,
                  std::int64_t aAcceptedAgeMs,
                  Instant aNow) const;

  const SlotTracker& slots;
  const SessionPositions& sessions;
};

/// True if the row names a primary that is in service: the phase is Steady or Draining.
bool HasPrimaryInService(const DatabaseRow& aRow);

} // namespace oleanderledge
