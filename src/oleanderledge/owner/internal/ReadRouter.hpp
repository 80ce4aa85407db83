#pragma once

#include "oleanderledge/owner/internal/SessionPositions.hpp"
#include "oleanderledge/owner/internal/SlotTracker.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Decides which replicas may serve a read (design section 2.5).
class ReadRouter
{
public:
  ReadRouter(const SlotTracker& aSlots, const SessionPositions& aSessions)
    : slots(aSlots)
    , sessions(aSessions)
  {
  }

  /// Replicas that may serve the read, nearest to `aZone` first. `aAcceptedAgeMs` is -1 for none.
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

/// True while the row's primary serves: no failover has been decided.
bool HasPrimary(const DatabaseRow& aRow);

} // namespace oleanderledge
