#include "oleanderledge/control/FailoverCoordinator.hpp"

#include <algorithm>
#include <tuple>

namespace oleanderledge {

namespace {

/// Factor by which the interval of status calls is longer in the phase `waiting` than in `fencing`.
constexpr int kWaitingQueryIntervalFactor = 5;
/// Interval of the status calls for positions in a drained database. Short, because its owner holds
/// units of work back meanwhile.
constexpr Duration kDrainedQueryInterval = std::chrono::milliseconds(20);
/// Time in the phase `steady` before a planned change starts again, for example after it was
/// abandoned because there was no successor.
constexpr Duration kPlannedChangeRetryDelay = std::chrono::seconds(1);

std::string LogFields(const DatabaseRecord& aRecord)
{
  return "database=" + aRecord.row.name + " term=" + std::to_string(aRecord.row.term) +
         " epoch=" + std::to_string(aRecord.row.ownerEpoch);
}

} // namespace

FailoverCoordinator::FailoverCoordinator(const ControlState& aState,
                                         const HeartbeatMonitor& aHeartbeats,
                                         const AnnouncementMonitor& aSlots,
                                         const OwnershipIndex& aOwnership,
                                         LeaseTable& aLeases,
                                         const ControlTimings& aTimings)
  : state(aState)
  , heartbeats(aHeartbeats)
  , slots(aSlots)
  , ownership(aOwnership)
  , leases(aLeases)
  , timings(aTimings)
  , failoverLimiter(aTimings.reassignmentsPerSecond, aTimings.reassignmentBurst)
{
}

void FailoverCoordinator::Reset(Instant aNow)
{
  for (auto& [name, progress] : this->progressByDatabase) {
    Progress fresh;
    // Followers learn the term, the phase and the start of the hold-off from the log.
    fresh.known = progress.known;
    fresh.term = progress.term;
    fresh.termSince = progress.termSince;
    fresh.phaseVersion = progress.phaseVersion;
    fresh.phase = progress.phase;
    fresh.phaseSince = aNow;
    fresh.firstSeen = aNow;
    progress = std::move(fresh);
  }
}

void FailoverCoordinator::UpdateProgress(const DatabaseRecord& aRecord, Instant aNow)
{
  Progress& progress = this->progressByDatabase[aRecord.row.name];
  const DatabaseRow& row = aRecord.row;
  if (!progress.known) {
    progress.known = true;
    progress.firstSeen = aNow;
    progress.phaseVersion = aRecord.phaseVersion;
    progress.phase = row.phase;
    progress.phaseSince = aNow;
  }
  if (progress.term != row.term) {
    // The adoption of the first primary is no failover, so it starts no hold-off.
    if (progress.term != 0) {
      progress.termSince = aNow;
    }
    progress.term = row.term;
  }
  if (progress.phaseVersion == aRecord.phaseVersion) {
    return;
  }
  const FailoverPhase previous = progress.phase;
  progress.phaseVersion = aRecord.phaseVersion;
  progress.phase = row.phase;
  progress.phaseSince = aNow;
  progress.leaseRevoked = false;
  switch (row.phase) {
    case FailoverPhase::Steady:
      if (progress.timeline && previous == FailoverPhase::Promoting) {
        progress.timeline->steadyVersion = aRecord.phaseVersion;
      } else {
        progress.timeline.reset();
      }
      progress.failedSlot.clear();
      break;
    case FailoverPhase::Draining:
      progress.timeline = FailoverTimeline{ true, aNow, aNow, {}, {}, 0 };
      break;
    case FailoverPhase::Fencing:
      if (aRecord.fencingReason == FencingReason::PrimaryLost) {
        const Duration silence = this->slots.PrimarySilence(row.name, row.primary, row.term, aNow);
        progress.timeline = FailoverTimeline{ false, aNow - silence, aNow, {}, {}, 0 };
      }
      break;
    case FailoverPhase::Promoting:
    case FailoverPhase::Waiting:
      break;
  }
}

void FailoverCoordinator::Step(const DatabaseRecord& aRecord,
                               Instant aNow,
                               ControlActions& aActions)
{
  this->UpdateProgress(aRecord, aNow);
  Progress& progress = this->progressByDatabase[aRecord.row.name];
  this->ReportTimeline(aRecord, progress, aNow, aActions);
  if (progress.proposalPending) {
    return;
  }
  if (aRecord.row.primary.empty()) {
    this->AdoptAnnouncedPrimary(aRecord, progress, aNow, aActions);
    return;
  }
  switch (aRecord.row.phase) {
    case FailoverPhase::Steady:
      if (this->StartFailover(aRecord, progress, aNow, aActions) ||
          this->EnsureOwner(aRecord, progress, aNow, aActions) ||
          this->AcceptInSyncProposal(aRecord, progress, aActions)) {
        return;
      }
      this->StartDraining(aRecord, progress, aNow, aActions);
      return;
    case FailoverPhase::Draining:
      if (this->StartFailover(aRecord, progress, aNow, aActions) ||
          this->EnsureOwner(aRecord, progress, aNow, aActions) ||
          this->AcceptInSyncProposal(aRecord, progress, aActions)) {
        return;
      }
      this->ContinueDraining(aRecord, progress, aNow, aActions);
      return;
    case FailoverPhase::Fencing:
      this->ContinueFencing(aRecord, progress, aNow, aActions);
      return;
    case FailoverPhase::Promoting:
      if (!this->EnsureOwner(aRecord, progress, aNow, aActions)) {
        this->ContinuePromotion(aRecord, progress, aNow, aActions);
      }
      return;
    case FailoverPhase::Waiting:
      if (!this->EnsureOwner(aRecord, progress, aNow, aActions)) {
        this->ContinueWaiting(aRecord, progress, aNow, aActions);
      }
      return;
  }
}

bool FailoverCoordinator::AdoptAnnouncedPrimary(const DatabaseRecord& aRecord,
                                                Progress& aProgress,
                                                Instant aNow,
                                                ControlActions& aActions)
{
  // Waits until all slots had time to announce themselves, because a primary of an old term may
  // announce itself first.
  if (aNow - aProgress.firstSeen < this->timings.discoveryDelay) {
    return false;
  }
  const SlotView* best = nullptr;
  for (const SlotRow& slot : aRecord.row.slots) {
    const SlotView* view = this->slots.Find(aRecord.row.name, slot.name);
    if (view == nullptr || !view->last.isPrimary || slot.silent ||
        (best != nullptr && best->last.term >= view->last.term)) {
      continue;
    }
    best = view;
  }
  if (best == nullptr) {
    return false;
  }
  Propose(aRecord,
          aProgress,
          AdoptPrimary{ aRecord.row.name, aRecord.row.version, best->last.slot, best->last.term },
          aActions);
  return true;
}

FailoverCoordinator::PrimaryReachability FailoverCoordinator::PrimaryReachabilityFromOwner(
  const DatabaseRecord& aRecord) const
{
  const DatabaseRow& row = aRecord.row;
  const OwnerReport* report =
    this->heartbeats.FindReport(row.owner, row.ownerIncarnation, row.name, row.ownerEpoch);
  if (report == nullptr || report->term != row.term) {
    return PrimaryReachability::Unknown;
  }
  const auto found = std::ranges::find(report->slots, row.primary, &SlotObservation::slot);
  if (found == report->slots.end()) {
    return PrimaryReachability::Unknown;
  }
  const bool isSilent =
    std::chrono::milliseconds(found->silentMs) >= this->timings.primarySilentAfter;
  if (isSilent) {
    return PrimaryReachability::Silent;
  }
  return found->reachable ? PrimaryReachability::Reachable : PrimaryReachability::Unknown;
}

bool FailoverCoordinator::IsPrimaryDemoted(const DatabaseRecord& aRecord, Instant aNow) const
{
  const DatabaseRow& row = aRecord.row;
  const SlotView* view = this->slots.Find(row.name, row.primary);
  return view != nullptr && view->announcedAt != Instant{} && !view->last.isPrimary &&
         aNow - view->announcedAt < this->timings.primarySilentAfter;
}

bool FailoverCoordinator::IsOwnerAlive(const DatabaseRecord& aRecord, Instant aNow) const
{
  const DatabaseRow& row = aRecord.row;
  return !row.owner.empty() &&
         this->heartbeats.HealthOf(row.owner, row.ownerIncarnation, aNow) != InstanceHealth::Dead;
}

bool FailoverCoordinator::StartFailover(const DatabaseRecord& aRecord,
                                        Progress& aProgress,
                                        Instant aNow,
                                        ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const Duration announcedSilence =
    this->slots.PrimarySilence(row.name, row.primary, row.term, aNow);
  const bool isHeldOff = aNow - aProgress.termSince < this->timings.failoverHoldOff;
  if (!this->IsOwnerAlive(aRecord, aNow)) {
    // Without a live owner, only the announcements show whether the primary is lost.
    if (announcedSilence < this->timings.proxyDeadAfter || isHeldOff ||
        !this->failoverLimiter.TryTake(aNow)) {
      return false;
    }
    ProposeFencing(aRecord, aProgress, FencingReason::PrimaryLost, aActions);
    return true;
  }
  const PrimaryReachability view = this->PrimaryReachabilityFromOwner(aRecord);
  if (view == PrimaryReachability::Reachable) {
    aProgress.ownerReachedPrimaryEpoch = row.ownerEpoch;
  }
  if (view != PrimaryReachability::Silent && !this->IsPrimaryDemoted(aRecord, aNow)) {
    return false;
  }
  if (announcedSilence >= this->timings.primarySilentAfter) {
    if (isHeldOff || !this->failoverLimiter.TryTake(aNow)) {
      return false;
    }
    ProposeFencing(aRecord, aProgress, FencingReason::PrimaryLost, aActions);
    return true;
  }
  // The primary still announces itself, so possibly only this owner cannot reach it. Ownership
  // moves once; if the next owner never reaches the primary either, the primary is replaced. A
  // move is untried if this owner was not assigned for this reason, or has reached the primary
  // since.
  const bool isOwnershipMoveUntried =
    aRecord.cutOffEpoch != row.ownerEpoch || aProgress.ownerReachedPrimaryEpoch == row.ownerEpoch;
  const bool hasOtherOwner =
    this->ChooseOwner(aRecord, row.primary, {}, row.owner, aNow).has_value();
  if (isOwnershipMoveUntried && hasOtherOwner && row.phase == FailoverPhase::Steady) {
    if (!this->failoverLimiter.TryTake(aNow)) {
      return false;
    }
    ProposeFencing(aRecord, aProgress, FencingReason::OwnerCutOff, aActions);
    return true;
  }
  const SlotRow* successor = this->ChooseSuccessor(aRecord, aProgress, aNow);
  if (isHeldOff || successor == nullptr || successor->name == row.primary ||
      !this->failoverLimiter.TryTake(aNow)) {
    return false;
  }
  ProposeFencing(aRecord, aProgress, FencingReason::PrimaryLost, aActions);
  return true;
}

void FailoverCoordinator::ProposeOwner(const DatabaseRecord& aRecord,
                                       Progress& aProgress,
                                       const InstanceInfo& aOwner,
                                       ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  aProgress.renewalStoppedVersion = row.version;
  aProgress.proposedOwner = aOwner.id;
  Propose(aRecord,
          aProgress,
          AssignOwner{ row.name, row.version, aOwner.id, aOwner.incarnation, aOwner.linkAddress },
          aActions);
  aActions.emplace_back(
    LogAction{ LogEvent::OwnerAssigned, LogFields(aRecord) + " owner=" + aOwner.id });
}

bool FailoverCoordinator::EnsureOwner(const DatabaseRecord& aRecord,
                                      Progress& aProgress,
                                      Instant aNow,
                                      ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const InstanceHealth health =
    row.owner.empty() ? InstanceHealth::Dead
                      : this->heartbeats.HealthOf(row.owner, row.ownerIncarnation, aNow);
  const bool isReleased = this->leases.IsReleased(row.name, row.ownerEpoch);
  if (health != InstanceHealth::Dead && !isReleased) {
    if (health != InstanceHealth::Leaving || row.phase != FailoverPhase::Steady ||
        !this->ChooseOwner(aRecord, row.primary, {}, row.owner, aNow) ||
        !this->failoverLimiter.TryTake(aNow)) {
      return false;
    }
    ProposeFencing(aRecord, aProgress, FencingReason::OwnerLeaving, aActions);
    return true;
  }
  if (row.ownerEpoch == 0 && aNow - aProgress.firstSeen < this->timings.discoveryDelay) {
    return false;
  }
  if (!this->leases.IsFenced(row.name, row.ownerEpoch, aNow)) {
    return false;
  }
  const auto chosen = this->ChooseOwner(aRecord, row.primary, {}, {}, aNow);
  if (!chosen || !this->failoverLimiter.TryTake(aNow)) {
    return false;
  }
  ProposeOwner(aRecord, aProgress, chosen->instance, aActions);
  return true;
}

bool FailoverCoordinator::AcceptInSyncProposal(const DatabaseRecord& aRecord,
                                               Progress& aProgress,
                                               ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const OwnerReport* report =
    this->heartbeats.FindReport(row.owner, row.ownerIncarnation, row.name, row.ownerEpoch);
  if (report == nullptr || report->term != row.term || report->proposedInSync.empty() ||
      this->leases.IsReleased(row.name, row.ownerEpoch)) {
    return false;
  }
  const std::set<std::string> proposed(report->proposedInSync.begin(),
                                       report->proposedInSync.end());
  const std::set<std::string> present(row.inSync.begin(), row.inSync.end());
  const bool isKnown = std::ranges::all_of(
    proposed, [&row](const std::string& aSlot) { return FindSlot(row, aSlot) != nullptr; });
  if (proposed == present || !proposed.contains(row.primary) || !isKnown) {
    return false;
  }
  Propose(aRecord,
          aProgress,
          ChangeInSync{
            row.name, row.version, row.ownerEpoch, row.term, { proposed.begin(), proposed.end() } },
          aActions);
  std::string members;
  for (const std::string& member : proposed) {
    members += (members.empty() ? "" : ",") + member;
  }
  aActions.emplace_back(
    LogAction{ LogEvent::InSyncChanged, LogFields(aRecord) + " members=" + members });
  return true;
}

bool FailoverCoordinator::HasPlannedSuccessor(const DatabaseRecord& aRecord, Instant aNow) const
{
  const DatabaseRow& row = aRecord.row;
  return std::ranges::any_of(row.inSync, [&](const std::string& aSlot) {
    const SlotRow* slot = FindSlot(row, aSlot);
    return slot != nullptr && aSlot != row.primary && !slot->departing &&
           this->IsReachable(aRecord, aSlot, aNow);
  });
}

bool FailoverCoordinator::StartDraining(const DatabaseRecord& aRecord,
                                        Progress& aProgress,
                                        Instant aNow,
                                        ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const SlotRow* primary = FindSlot(row, row.primary);
  const bool isRecentlySteady =
    aRecord.phaseVersion != 0 && aNow - aProgress.phaseSince < kPlannedChangeRetryDelay;
  if (primary == nullptr || !primary->departing || isRecentlySteady ||
      this->heartbeats.HealthOf(row.owner, row.ownerIncarnation, aNow) != InstanceHealth::Alive ||
      !this->HasPlannedSuccessor(aRecord, aNow)) {
    return false;
  }
  Propose(aRecord, aProgress, ChangeDraining{ row.name, row.version, true }, aActions);
  aActions.emplace_back(
    LogAction{ LogEvent::PlannedChangeStarted, LogFields(aRecord) + " primary=" + row.primary });
  return true;
}

bool FailoverCoordinator::IsDrained(const DatabaseRecord& aRecord) const
{
  const DatabaseRow& row = aRecord.row;
  const InstanceView* view = this->heartbeats.Find(row.owner);
  const OwnerReport* report =
    this->heartbeats.FindReport(row.owner, row.ownerIncarnation, row.name, row.ownerEpoch);
  // A report that the owner sent before it received this phase may belong to an earlier planned
  // change that was abandoned.
  return report != nullptr && report->drained && report->term == row.term &&
         view->last.directoryVersion >= aRecord.phaseVersion;
}

void FailoverCoordinator::ContinueDraining(const DatabaseRecord& aRecord,
                                           Progress& aProgress,
                                           Instant aNow,
                                           ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const SlotRow* primary = FindSlot(row, row.primary);
  const bool isStillPlanned = primary != nullptr && primary->departing;
  if (!isStillPlanned || !this->HasPlannedSuccessor(aRecord, aNow)) {
    Propose(aRecord, aProgress, ChangeDraining{ row.name, row.version, false }, aActions);
    aActions.emplace_back(LogAction{ LogEvent::PlannedChangeAbandoned, LogFields(aRecord) });
    return;
  }
  if (!this->IsDrained(aRecord)) {
    return;
  }
  this->leases.ReleaseTerm(row.name, row.ownerEpoch, row.term);
  if (aProgress.timeline && !aProgress.timeline->fenced) {
    aProgress.timeline->fenced = aNow;
  }
  const OwnerReport* report =
    this->heartbeats.FindReport(row.owner, row.ownerIncarnation, row.name, row.ownerEpoch);
  const LogPosition needed{ row.term, report->drainedOffset };
  const InstanceView* owner = this->heartbeats.Find(row.owner);
  const SlotRow* best = nullptr;
  const auto rank = [&](const SlotRow& aSlot) {
    return std::make_tuple(DistanceBetween(aSlot.zone, owner->last.instance.zone), aSlot.name);
  };
  for (const std::string& name : row.inSync) {
    const SlotRow* slot = FindSlot(row, name);
    if (slot == nullptr || name == row.primary || slot->departing ||
        !this->IsReachable(aRecord, name, aNow) ||
        this->slots.ReceivedPosition(row.name, name) < needed) {
      continue;
    }
    if (best == nullptr || rank(*slot) < rank(*best)) {
      best = slot;
    }
  }
  if (best == nullptr) {
    this->QuerySlots(aRecord, aProgress, kDrainedQueryInterval, aNow, aActions);
    return;
  }
  aProgress.renewalStoppedVersion = row.version;
  Propose(aRecord,
          aProgress,
          DecidePromotion{ row.name, row.version, best->name, row.term + 1, {}, 0, {} },
          aActions);
  aActions.emplace_back(
    LogAction{ LogEvent::PromotionDecided, LogFields(aRecord) + " slot=" + best->name });
}

void FailoverCoordinator::ContinueFencing(const DatabaseRecord& aRecord,
                                          Progress& aProgress,
                                          Instant aNow,
                                          ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const bool movesOwner = aRecord.fencingReason == FencingReason::OwnerCutOff ||
                          aRecord.fencingReason == FencingReason::OwnerLeaving;
  if (!movesOwner) {
    // Queries before the lease has ended, so that recent positions are known by then.
    this->QuerySlots(aRecord, aProgress, this->timings.backendCallInterval, aNow, aActions);
  }
  if (!this->leases.IsFenced(row.name, row.ownerEpoch, aNow)) {
    this->RevokeLease(aRecord, aProgress, aActions);
    return;
  }
  if (movesOwner) {
    this->MoveFencedOwner(aRecord, aProgress, aNow, aActions);
    return;
  }
  if (aProgress.timeline && !aProgress.timeline->fenced) {
    aProgress.timeline->fenced = aNow;
  }
  this->PromoteSuccessor(aRecord, aProgress, aNow, aActions);
}

void FailoverCoordinator::MoveFencedOwner(const DatabaseRecord& aRecord,
                                          Progress& aProgress,
                                          Instant aNow,
                                          ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const Duration silence = this->slots.PrimarySilence(row.name, row.primary, row.term, aNow);
  if (silence >= this->timings.proxyDeadAfter &&
      aNow - aProgress.termSince >= this->timings.failoverHoldOff) {
    ProposeFencing(aRecord, aProgress, FencingReason::PrimaryLost, aActions);
    return;
  }
  auto chosen = this->ChooseOwner(aRecord, row.primary, {}, row.owner, aNow);
  if (!chosen) {
    chosen = this->ChooseOwner(aRecord, row.primary, {}, {}, aNow);
  }
  if (!chosen) {
    return;
  }
  ProposeOwner(aRecord, aProgress, chosen->instance, aActions);
}

void FailoverCoordinator::PromoteSuccessor(const DatabaseRecord& aRecord,
                                           Progress& aProgress,
                                           Instant aNow,
                                           ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const SlotRow* successor = this->ChooseSuccessor(aRecord, aProgress, aNow);
  if (successor == nullptr && aNow - aProgress.phaseSince < this->timings.successorWait) {
    return;
  }
  const std::string_view present = this->IsOwnerAlive(aRecord, aNow) ? row.owner : "";
  const auto owner = this->ChooseOwner(
    aRecord, successor == nullptr ? row.primary : successor->name, present, {}, aNow);
  const InstanceInfo ownerInfo = owner ? owner->instance : InstanceInfo{};
  aProgress.renewalStoppedVersion = row.version;
  aProgress.proposedOwner = ownerInfo.id;
  if (successor == nullptr) {
    Propose(aRecord,
            aProgress,
            BeginWaiting{
              row.name, row.version, ownerInfo.id, ownerInfo.incarnation, ownerInfo.linkAddress },
            aActions);
    aActions.emplace_back(LogAction{ LogEvent::DatabaseWaiting, LogFields(aRecord) });
    return;
  }
  Propose(aRecord,
          aProgress,
          DecidePromotion{ row.name,
                           row.version,
                           successor->name,
                           row.term + 1,
                           ownerInfo.id,
                           ownerInfo.incarnation,
                           ownerInfo.linkAddress },
          aActions);
  aActions.emplace_back(
    LogAction{ LogEvent::PromotionDecided, LogFields(aRecord) + " slot=" + successor->name });
}

void FailoverCoordinator::ContinuePromotion(const DatabaseRecord& aRecord,
                                            Progress& aProgress,
                                            Instant aNow,
                                            ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const SlotView* view = this->slots.Find(row.name, row.primary);
  const bool isAnnounced = view != nullptr && view->last.isPrimary && view->last.term == row.term;
  if (aProgress.confirmedTerm == row.term || isAnnounced) {
    if (aProgress.timeline && !aProgress.timeline->confirmed) {
      aProgress.timeline->confirmed = aNow;
    }
    Propose(aRecord, aProgress, CompletePromotion{ row.name, row.version, row.term }, aActions);
    return;
  }
  if (aNow - aProgress.phaseSince >= this->timings.promotionTimeout) {
    const bool hasAlternative = std::ranges::any_of(row.inSync, [&](const std::string& aSlot) {
      return aSlot != row.primary && this->IsReachable(aRecord, aSlot, aNow);
    });
    if (hasAlternative) {
      aProgress.failedSlot = row.primary;
      ProposeFencing(aRecord, aProgress, FencingReason::PromotionFailed, aActions);
      return;
    }
  }
  const SlotRow* slot = FindSlot(row, row.primary);
  Instant& lastCallAt = aProgress.lastCallAt[row.primary];
  if (slot == nullptr || aProgress.pendingCalls.contains(row.primary) ||
      (lastCallAt != Instant{} && lastCallAt > aProgress.phaseSince &&
       aNow - lastCallAt < this->timings.backendCallInterval)) {
    return;
  }
  lastCallAt = aNow;
  aProgress.pendingCalls.insert(row.primary);
  aActions.emplace_back(PromoteSlotAction{ row.name, slot->name, slot->address, row.term });
}

void FailoverCoordinator::ContinueWaiting(const DatabaseRecord& aRecord,
                                          Progress& aProgress,
                                          Instant aNow,
                                          ControlActions& aActions)
{
  if (aNow - aProgress.phaseSince < this->timings.successorWait) {
    return;
  }
  if (this->ChooseSuccessor(aRecord, aProgress, aNow) != nullptr) {
    ProposeFencing(aRecord, aProgress, FencingReason::PrimaryLost, aActions);
    return;
  }
  this->QuerySlots(aRecord,
                   aProgress,
                   this->timings.backendCallInterval * kWaitingQueryIntervalFactor,
                   aNow,
                   aActions);
}

void FailoverCoordinator::ReportTimeline(const DatabaseRecord& aRecord,
                                         Progress& aProgress,
                                         Instant aNow,
                                         ControlActions& aActions)
{
  if (!aProgress.timeline || aProgress.timeline->steadyVersion == 0) {
    return;
  }
  const InstanceView* owner = this->heartbeats.Find(aRecord.row.owner);
  if (owner == nullptr || owner->last.directoryVersion < aProgress.timeline->steadyVersion) {
    return;
  }
  aActions.emplace_back(LogAction{ LogEvent::FailoverCompleted,
                                   LogFields(aRecord) + " primary=" + aRecord.row.primary + " " +
                                     aProgress.timeline->Describe(aNow),
                                   aProgress.timeline->Durations(aRecord.row.name, aNow) });
  aProgress.timeline.reset();
}

void FailoverCoordinator::RevokeLease(const DatabaseRecord& aRecord,
                                      Progress& aProgress,
                                      ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  const InstanceView* owner = this->heartbeats.Find(row.owner);
  if (aProgress.leaseRevoked || owner == nullptr ||
      owner->last.instance.incarnation != row.ownerIncarnation) {
    return;
  }
  aProgress.leaseRevoked = true;
  HeartbeatReply reply;
  reply.instance = row.owner;
  reply.incarnation = row.ownerIncarnation;
  reply.sequence = owner->last.sequence;
  reply.sentUs = owner->last.sentUs;
  reply.accepted = true;
  reply.committedVersion = this->state.DirectoryVersion();
  // A lease length of 0 orders the owner to release the lease.
  reply.leases.push_back({ row.name, row.ownerEpoch, row.term, 0 });
  aActions.emplace_back(PushReplyAction{ std::move(reply) });
}

void FailoverCoordinator::QuerySlots(const DatabaseRecord& aRecord,
                                     Progress& aProgress,
                                     Duration aInterval,
                                     Instant aNow,
                                     ControlActions& aActions)
{
  const DatabaseRow& row = aRecord.row;
  for (const std::string& name : row.inSync) {
    const SlotRow* slot = FindSlot(row, name);
    Instant& lastCallAt = aProgress.lastCallAt[name];
    if (slot == nullptr || aProgress.pendingCalls.contains(name) ||
        (lastCallAt != Instant{} && aNow - lastCallAt < aInterval)) {
      continue;
    }
    lastCallAt = aNow;
    aProgress.pendingCalls.insert(name);
    aActions.emplace_back(QueryStatusAction{ row.name, name, slot->address });
  }
}

void FailoverCoordinator::Propose(const DatabaseRecord& aRecord,
                                  Progress& aProgress,
                                  ControlCommand aCommand,
                                  ControlActions& aActions)
{
  aProgress.proposalPending = true;
  aActions.emplace_back(ProposeAction{ aRecord.row.name, std::move(aCommand) });
}

void FailoverCoordinator::ProposeFencing(const DatabaseRecord& aRecord,
                                         Progress& aProgress,
                                         FencingReason aReason,
                                         ControlActions& aActions)
{
  Propose(
    aRecord, aProgress, BeginFencing{ aRecord.row.name, aRecord.row.version, aReason }, aActions);
  aActions.emplace_back(LogAction{ LogEvent::DatabaseFencing,
                                   LogFields(aRecord) + " primary=" + aRecord.row.primary +
                                     " owner=" + aRecord.row.owner +
                                     " reason=" + std::to_string(static_cast<unsigned>(aReason)) });
}

bool FailoverCoordinator::IsReachable(const DatabaseRecord& aRecord,
                                      std::string_view aSlot,
                                      Instant aNow) const
{
  return this->slots.IsReachable(aRecord.row.name, aSlot, this->timings.primarySilentAfter, aNow);
}

const SlotRow* FailoverCoordinator::ChooseSuccessor(const DatabaseRecord& aRecord,
                                                    const Progress& aProgress,
                                                    Instant aNow) const
{
  const DatabaseRow& row = aRecord.row;
  const SlotRow* best = nullptr;
  LogPosition bestReceived;
  const auto rank = [&](const SlotRow& aSlot) {
    return std::make_tuple(
      aSlot.name == row.primary, aSlot.name == aProgress.failedSlot, aSlot.departing);
  };
  for (const std::string& name : row.inSync) {
    const SlotRow* slot = FindSlot(row, name);
    if (slot == nullptr || !this->IsReachable(aRecord, name, aNow)) {
      continue;
    }
    const LogPosition received = this->slots.ReceivedPosition(row.name, name);
    if (best == nullptr || rank(*slot) < rank(*best) ||
        (rank(*slot) == rank(*best) && received > bestReceived)) {
      best = slot;
      bestReceived = received;
    }
  }
  return best;
}

std::vector<OwnerCandidate> FailoverCoordinator::OwnerCandidates(Instant aNow) const
{
  std::map<std::string_view, std::size_t> pending;
  for (const auto& [name, progress] : this->progressByDatabase) {
    if (!progress.proposedOwner.empty()) {
      ++pending[progress.proposedOwner];
    }
  }
  std::vector<OwnerCandidate> candidates;
  for (const auto& [id, view] : this->heartbeats.Views()) {
    const InstanceInfo& instance = view.last.instance;
    if (instance.role != InstanceRole::Proxy ||
        !this->heartbeats.IsUsable(id, instance.incarnation, aNow)) {
      continue;
    }
    const auto found = pending.find(id);
    candidates.push_back(
      { instance,
        this->ownership.DatabasesOf(id).size() + (found == pending.end() ? 0 : found->second) });
  }
  return candidates;
}

std::optional<OwnerCandidate> FailoverCoordinator::ChooseOwner(const DatabaseRecord& aRecord,
                                                               std::string_view aPrimary,
                                                               std::string_view aCurrentOwner,
                                                               std::string_view aExcludedOwner,
                                                               Instant aNow) const
{
  const SlotRow* primary = FindSlot(aRecord.row, aPrimary);
  const auto candidates = this->OwnerCandidates(aNow);
  const OwnerCandidate* chosen =
    OwnerAssignment::Choose(candidates,
                            aRecord.row.name,
                            primary == nullptr ? std::string_view{} : primary->zone,
                            aCurrentOwner,
                            aExcludedOwner);
  return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

void FailoverCoordinator::OnProposalDone(std::string_view aDatabase, bool aIsDefinite)
{
  const auto found = this->progressByDatabase.find(aDatabase);
  if (found == this->progressByDatabase.end()) {
    return;
  }
  found->second.proposalPending = false;
  found->second.proposedOwner.clear();
  if (aIsDefinite) {
    found->second.renewalStoppedVersion = 0;
  }
}

void FailoverCoordinator::OnCallDone(std::string_view aDatabase, std::string_view aSlot)
{
  const auto found = this->progressByDatabase.find(aDatabase);
  if (found == this->progressByDatabase.end()) {
    return;
  }
  const auto call = found->second.pendingCalls.find(aSlot);
  if (call != found->second.pendingCalls.end()) {
    found->second.pendingCalls.erase(call);
  }
}

void FailoverCoordinator::OnPromoted(std::string_view aDatabase,
                                     std::string_view aSlot,
                                     std::uint64_t aTerm)
{
  const DatabaseRecord* record = this->state.Databases().Find(aDatabase);
  const auto found = this->progressByDatabase.find(aDatabase);
  if (record != nullptr && found != this->progressByDatabase.end() &&
      record->row.primary == aSlot && record->row.term == aTerm) {
    found->second.confirmedTerm = aTerm;
  }
}

bool FailoverCoordinator::CanGrantLease(const DatabaseRecord& aRecord) const
{
  const auto found = this->progressByDatabase.find(aRecord.row.name);
  if (found != this->progressByDatabase.end() && found->second.renewalStoppedVersion != 0 &&
      found->second.renewalStoppedVersion == aRecord.row.version) {
    return false;
  }
  switch (aRecord.row.phase) {
    case FailoverPhase::Fencing:
      return false;
    case FailoverPhase::Draining:
      return !this->IsDrained(aRecord);
    case FailoverPhase::Steady:
    case FailoverPhase::Promoting:
    case FailoverPhase::Waiting:
      break;
  }
  return true;
}

bool FailoverCoordinator::IsProposalPending(std::string_view aDatabase) const
{
  const auto found = this->progressByDatabase.find(aDatabase);
  return found != this->progressByDatabase.end() && found->second.proposalPending;
}

} // namespace oleanderledge
