#include "oleanderledge/owner/internal/InSyncSet.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// A replica keeps up if it has received everything or has made progress within this time.
constexpr Duration kMaxReplicationLag{ 400'000 };

} // namespace

void InSyncSet::ApplyRow(const DatabaseRow& aRow)
{
  if (aRow.ownerEpoch != this->epoch || aRow.term != this->term || aRow.primary != this->primary) {
    this->epoch = aRow.ownerEpoch;
    this->term = aRow.term;
    this->primary = aRow.primary;
    this->joining.clear();
    this->proposed.clear();
    this->removing.clear();
    this->keepingUpSince.clear();
  }
  this->committed = { aRow.inSync.begin(), aRow.inSync.end() };
  std::erase_if(this->joining, [&](const auto& aSlot) { return this->committed.contains(aSlot); });
  std::erase_if(this->proposed, [&](const auto& aSlot) { return this->committed.contains(aSlot); });
  std::erase_if(this->removing,
                [&](const auto& aSlot) { return !this->committed.contains(aSlot); });
}

bool InSyncSet::IsReceivedByAll(LogPosition aPosition, const SlotTracker& aSlots) const
{
  const auto hasReceived = [&](const std::string& aSlot) {
    if (aSlot == this->primary) {
      return true;
    }
    const SlotState* state = aSlots.Find(aSlot);
    return state != nullptr && state->answered && state->received.term == aPosition.term &&
           state->received.offset >= aPosition.offset;
  };
  return std::all_of(this->committed.begin(), this->committed.end(), hasReceived) &&
         std::all_of(this->joining.begin(), this->joining.end(), hasReceived) &&
         std::all_of(this->proposed.begin(), this->proposed.end(), hasReceived);
}

bool InSyncSet::IsStalled(const SlotState& aState, Instant aNow, Instant aOldestHeldSince) const
{
  return aNow - std::max(aState.lastProgress, aOldestHeldSince) >= kStallTimeout;
}

bool InSyncSet::HasKeptUp(const std::string& aSlot,
                          const SlotState& aState,
                          Instant aNow,
                          LogPosition aPrimaryPosition)
{
  const bool caughtUp =
    aState.received.term == this->term && (aState.received.offset >= aPrimaryPosition.offset ||
                                           aNow - aState.lastProgress <= kMaxReplicationLag);
  if (!aState.answered || !aState.reachable || aState.isPrimary || aState.row.departing ||
      aState.row.silent || aNow - aState.lastAnswer > kSlotSilenceLimit || !caughtUp) {
    this->keepingUpSince.erase(aSlot);
    return false;
  }
  const Instant since = this->keepingUpSince.try_emplace(aSlot, aNow).first->second;
  return aNow - since >= kJoinDelay;
}

void InSyncSet::UpdateProposal(const SlotTracker& aSlots,
                               Instant aNow,
                               Instant aOldestHeldSince,
                               LogPosition aNewestHeldPosition,
                               LogPosition aPrimaryPosition)
{
  this->UpdateRemovals(aSlots, aNow, aOldestHeldSince, aNewestHeldPosition);
  this->UpdateJoining(aSlots, aNow, aPrimaryPosition);
}

void InSyncSet::UpdateRemovals(const SlotTracker& aSlots,
                               Instant aNow,
                               Instant aOldestHeldSince,
                               LogPosition aNewestHeldPosition)
{
  this->removing.clear();
  for (const std::string& slot : this->committed) {
    if (slot == this->primary) {
      continue;
    }
    const SlotState* state = aSlots.Find(slot);
    const bool behind = state == nullptr || state->received < aNewestHeldPosition;
    if (state == nullptr || (behind && this->IsStalled(*state, aNow, aOldestHeldSince))) {
      this->removing.insert(slot);
      this->keepingUpSince.erase(slot);
    }
  }
}

void InSyncSet::UpdateJoining(const SlotTracker& aSlots, Instant aNow, LogPosition aPrimaryPosition)
{
  for (const auto& [slot, state] : aSlots.Slots()) {
    if (slot == this->primary || this->committed.contains(slot) || this->proposed.contains(slot)) {
      continue;
    }
    if (!this->HasKeptUp(slot, state, aNow, aPrimaryPosition)) {
      this->joining.erase(slot);
      continue;
    }
    // The first call makes the slot required. A later call proposes it once it also has received
    // all writes that were acknowledged before: a member may be promoted, so it must not lack any.
    const bool wasRequired = !this->joining.insert(slot).second;
    const auto& acknowledged = aSlots.NewestAcknowledged();
    if (wasRequired && acknowledged && state.received.term == acknowledged->term &&
        state.received.offset >= acknowledged->offset) {
      this->joining.erase(slot);
      this->proposed.insert(slot);
    }
  }
}

std::vector<std::string> InSyncSet::ProposedMembers() const
{
  if (this->removing.empty() && this->proposed.empty()) {
    return {};
  }
  std::set<std::string> members = this->committed;
  for (const std::string& slot : this->removing) {
    members.erase(slot);
  }
  members.insert(this->proposed.begin(), this->proposed.end());
  return { members.begin(), members.end() };
}

} // namespace oleanderledge
