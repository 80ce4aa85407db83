#pragma once

#include "oleanderledge/owner/internal/SlotTracker.hpp"

#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

/// Decides when a write may be acknowledged and which changes of the in-sync set to propose.
class InSyncSet
{
public:
  /// Takes over the committed set. A set of another epoch or term ends pending proposals.
  void ApplyRow(const DatabaseRow& aRow);

  /// True if every required member has received the position.
  bool IsReceivedByAll(LogPosition aPosition, const SlotTracker& aSlots) const;

  /// Updates the proposal. `aOldestHeldSince` is the start of the longest wait of a held write, or
  /// `aNow` if none waits; `aNewestHeldPosition` is the newest position that writes wait for.
  void UpdateProposal(const SlotTracker& aSlots,
                      Instant aNow,
                      Instant aOldestHeldSince,
                      LogPosition aNewestHeldPosition,
                      LogPosition aPrimaryPosition);

  /// The set to propose to control; empty if no change is wanted.
  std::vector<std::string> ProposedMembers() const;

private:
  bool IsStalled(const SlotState& aState, Instant aNow, Instant aOldestHeldSince) const;
  void UpdateRemovals(const SlotTracker& aSlots,
                      Instant aNow,
                      Instant aOldestHeldSince,
                      LogPosition aNewestHeldPosition);
  void UpdateJoining(const SlotTracker& aSlots, Instant aNow, LogPosition aPrimaryPosition);
  bool HasKeptUp(const std::string& aSlot,
                 const SlotState& aState,
                 Instant aNow,
                 LogPosition aPrimaryPosition);

  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  std::string primary;
  std::set<std::string> committed;
  std::set<std::string> joining; ///< Required already, not yet proposed.
  /// Proposed, not yet committed. Control may commit the proposal at any time, so these stay
  /// required until it has.
  std::set<std::string> proposed;
  std::set<std::string> removing; ///< Still required until control has committed the removal.
  std::map<std::string, Instant> keepingUpSince;
};

/// A member without progress for this time while writes wait is proposed for removal.
constexpr Duration kStallTimeout{ 800'000 };

/// A replica joins once it has kept up for this time, so that a replica that stalls repeatedly does
/// not join and leave continuously.
constexpr Duration kJoinDelay{ 500'000 };

} // namespace oleanderledge
