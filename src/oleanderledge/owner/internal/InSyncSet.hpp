#pragma once

#include "oleanderledge/owner/internal/SlotTracker.hpp"

#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

/// The in-sync set of one database as its owner sees it: the replicas that must receive a write
/// before it is acknowledged, and the changes of the set that the owner proposes to control.
class InSyncSet
{
public:
  /// Applies the set that control has committed. Another epoch, term or primary discards pending
  /// proposals.
  void ApplyRow(const DatabaseRow& aRow);

  /// True if all required slots have received the position: committed members, and slots that are
  /// joining or proposed.
  bool IsReceivedByAll(LogPosition aPosition, const SlotTracker& aSlots) const;

  /// Updates the proposed change. `aOldestHeldSince` is when the oldest held write began to wait,
  /// or `aNow` if none is held; `aNewestHeldPosition` is the newest position of a held write,
  /// zero if none is held; `aPrimaryPosition` is the last known end of the primary's log.
  void UpdateProposal(const SlotTracker& aSlots,
                      Instant aNow,
                      Instant aOldestHeldSince,
                      LogPosition aNewestHeldPosition,
                      LogPosition aPrimaryPosition);

  /// The members to propose to control; empty if no change is proposed.
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
  std::set<std::string> joining; ///< Required, but not yet proposed as members.
  /// Proposed as members, but not yet committed. Control may commit the proposal at any time, so
  /// these slots stay required.
  std::set<std::string> proposed;
  std::set<std::string> removing; ///< Required until control has committed the removal.
  std::map<std::string, Instant> keepingUpSince;
};

/// A member that makes no progress for this time while writes wait for it is proposed for removal.
constexpr Duration kStallTimeout{ 800'000 };

/// A replica joins only after it has kept up for this time. This keeps a replica that stalls
/// repeatedly from joining and leaving all the time.
constexpr Duration kJoinDelay{ 500'000 };

} // namespace oleanderledge
