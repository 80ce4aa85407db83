#pragma once

#include "oleanderledge/control/AnnouncementMonitor.hpp"
#include "oleanderledge/control/ControlAction.hpp"
#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/FailoverTimeline.hpp"
#include "oleanderledge/control/HeartbeatMonitor.hpp"
#include "oleanderledge/control/LeaseTable.hpp"
#include "oleanderledge/control/OwnerAssignment.hpp"
#include "oleanderledge/control/OwnershipIndex.hpp"
#include "oleanderledge/control/TokenBucket.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace oleanderledge {

/// State machine that decides the next step of each database: assignment of the owner, failover and
/// planned change of the primary.
///
/// Each step depends only on committed state and on observations, so a new leader continues where
/// the previous one stopped. At most one proposal per database is pending.
class FailoverCoordinator
{
public:
  FailoverCoordinator(const ControlState& aState,
                      const HeartbeatMonitor& aHeartbeats,
                      const AnnouncementMonitor& aSlots,
                      const OwnershipIndex& aOwnership,
                      LeaseTable& aLeases,
                      const ControlTimings& aTimings);

  /// Called when this member becomes leader. Discards pending calls and proposals, but keeps the
  /// term and the phase of each database, which are known from the log.
  void Reset(Instant aNow);

  /// Updates the progress from the committed phase and term. Also called on followers, because each
  /// of them may become leader.
  void UpdateProgress(const DatabaseRecord& aRecord, Instant aNow);

  /// Appends the actions of the next step to `aActions`, if one is due.
  void Step(const DatabaseRecord& aRecord, Instant aNow, ControlActions& aActions);

  /// The proposal for a database ended. `aIsDefinite` is false if it may still be committed, for
  /// example after a loss of leadership.
  void OnProposalDone(std::string_view aDatabase, bool aIsDefinite);

  /// A promotion or status call to a slot ended, with or without an answer.
  void OnCallDone(std::string_view aDatabase, std::string_view aSlot);
  /// A slot answered that it is primary of a term.
  void OnPromoted(std::string_view aDatabase, std::string_view aSlot, std::uint64_t aTerm);

  /// True if the recorded owner may get or renew a lease of the row's epoch and term.
  bool CanGrantLease(const DatabaseRecord& aRecord) const;

  /// True if a proposal for the database was made and has not ended.
  bool IsProposalPending(std::string_view aDatabase) const;

private:
  enum class PrimaryReachability
  {
    /// No report about the primary of this epoch and term, or out of reach for less than
    /// `primarySilentAfter`.
    Unknown,
    Reachable,
    Silent, ///< Out of reach for `primarySilentAfter` or longer.
  };

  /// Progress of one database; kept in memory only.
  struct Progress
  {
    bool known = false; ///< The fields below were set from a record.
    std::uint64_t term = 0;
    Instant termSince{}; ///< Last change of primary; start of `failoverHoldOff`.
    std::uint64_t phaseVersion = 0;
    Instant phaseSince{};
    /// First time that this member saw the database, or became leader if that is later; start of
    /// `discoveryDelay`.
    Instant firstSeen{};
    FailoverPhase phase = FailoverPhase::Steady;
    bool leaseRevoked = false;
    std::uint64_t ownerReachedPrimaryEpoch = 0; ///< Last epoch whose owner reached the primary.
    std::uint64_t confirmedTerm = 0;            ///< Last term that a promoted slot confirmed.
    std::string failedSlot;                     ///< Slot whose promotion timed out.
    bool proposalPending = false;
    /// Row version on which a change of epoch or term was proposed, or 0. The lease of that version
    /// is not renewed, because the change may be committed without this leader learning of it.
    std::uint64_t renewalStoppedVersion = 0;
    std::string proposedOwner; ///< Owner in the pending proposal; counted in its load.
    std::map<std::string, Instant, std::less<>> lastCallAt;
    std::set<std::string, std::less<>> pendingCalls;
    std::optional<FailoverTimeline> timeline;
  };

  // Steps of the phases. Those that return bool return true if they proposed a command.

  /// Proposes the announced primary of the highest term as the first primary, after
  /// `discoveryDelay`.
  bool AdoptAnnouncedPrimary(const DatabaseRecord& aRecord,
                             Progress& aProgress,
                             Instant aNow,
                             ControlActions& aActions);
  /// Proposes to fence the database if its primary is lost or demoted, or if only the owner cannot
  /// reach it.
  bool StartFailover(const DatabaseRecord& aRecord,
                     Progress& aProgress,
                     Instant aNow,
                     ControlActions& aActions);
  /// Proposes an owner under a new epoch. Leases of the current epoch are not renewed any more.
  static void ProposeOwner(const DatabaseRecord& aRecord,
                           Progress& aProgress,
                           const InstanceInfo& aOwner,
                           ControlActions& aActions);
  /// Assigns an owner if there is none, or if the current one is dead or has released its epoch.
  /// Waits until no lease of the current epoch can be in use. Begins to move ownership if the owner
  /// is leaving.
  bool EnsureOwner(const DatabaseRecord& aRecord,
                   Progress& aProgress,
                   Instant aNow,
                   ControlActions& aActions);
  /// Proposes the in-sync set that the owner reported, if it is valid and differs from the recorded
  /// one.
  bool AcceptInSyncProposal(const DatabaseRecord& aRecord,
                            Progress& aProgress,
                            ControlActions& aActions);
  /// Begins a planned change if the primary departs and a successor is reachable.
  bool StartDraining(const DatabaseRecord& aRecord,
                     Progress& aProgress,
                     Instant aNow,
                     ControlActions& aActions);
  /// Decides the promotion once the database is drained and a successor has received the whole log.
  /// Abandons the planned change if the primary no longer departs or no successor is reachable.
  void ContinueDraining(const DatabaseRecord& aRecord,
                        Progress& aProgress,
                        Instant aNow,
                        ControlActions& aActions);
  void ContinueFencing(const DatabaseRecord& aRecord,
                       Progress& aProgress,
                       Instant aNow,
                       ControlActions& aActions);
  /// Assigns another owner, or the same one if no other is usable. Changes the fencing reason to
  /// PrimaryLost if the primary is silent meanwhile.
  void MoveFencedOwner(const DatabaseRecord& aRecord,
                       Progress& aProgress,
                       Instant aNow,
                       ControlActions& aActions);
  /// Decides the promotion of a slot of the in-sync set. Enters the phase `waiting` if none is
  /// reachable for `successorWait`.
  void PromoteSuccessor(const DatabaseRecord& aRecord,
                        Progress& aProgress,
                        Instant aNow,
                        ControlActions& aActions);
  void ContinuePromotion(const DatabaseRecord& aRecord,
                         Progress& aProgress,
                         Instant aNow,
                         ControlActions& aActions);
  void ContinueWaiting(const DatabaseRecord& aRecord,
                       Progress& aProgress,
                       Instant aNow,
                       ControlActions& aActions);
  /// Logs the durations of a completed change of primary, once the owner reports that it uses the
  /// directory version that ended it.
  void ReportTimeline(const DatabaseRecord& aRecord,
                      Progress& aProgress,
                      Instant aNow,
                      ControlActions& aActions);

  /// Orders the owner, once per phase, to release its lease at once.
  void RevokeLease(const DatabaseRecord& aRecord, Progress& aProgress, ControlActions& aActions);
  /// Calls platform_status() on the slots of the in-sync set, each at most once per `aInterval`.
  void QuerySlots(const DatabaseRecord& aRecord,
                  Progress& aProgress,
                  Duration aInterval,
                  Instant aNow,
                  ControlActions& aActions);
  static void Propose(const DatabaseRecord& aRecord,
                      Progress& aProgress,
                      ControlCommand aCommand,
                      ControlActions& aActions);
  static void ProposeFencing(const DatabaseRecord& aRecord,
                             Progress& aProgress,
                             FencingReason aReason,
                             ControlActions& aActions);

  /// How the recorded owner reaches the recorded primary, by its last report.
  PrimaryReachability PrimaryReachabilityFromOwner(const DatabaseRecord& aRecord) const;
  /// True if the recorded primary announces that it is not primary.
  bool IsPrimaryDemoted(const DatabaseRecord& aRecord, Instant aNow) const;
  bool IsOwnerAlive(const DatabaseRecord& aRecord, Instant aNow) const;
  /// True if the owner reported, after it received the current phase, that the database is drained.
  bool IsDrained(const DatabaseRecord& aRecord) const;
  bool IsReachable(const DatabaseRecord& aRecord, std::string_view aSlot, Instant aNow) const;
  /// The reachable slot of the in-sync set to promote, or null. Slots that are neither the current
  /// primary, nor the one whose promotion timed out, nor departing are preferred, then the slot
  /// that has received most.
  const SlotRow* ChooseSuccessor(const DatabaseRecord& aRecord,
                                 const Progress& aProgress,
                                 Instant aNow) const;
  /// True if a reachable slot of the in-sync set can replace a departing primary.
  bool HasPlannedSuccessor(const DatabaseRecord& aRecord, Instant aNow) const;
  /// Proxies that may own databases, with the databases that each owns or is about to own.
  std::vector<OwnerCandidate> OwnerCandidates(Instant aNow) const;
  /// The proxy to own a database, see OwnerAssignment::Choose(). `aPrimary` is the slot whose zone
  /// it should be near.
  std::optional<OwnerCandidate> ChooseOwner(const DatabaseRecord& aRecord,
                                            std::string_view aPrimary,
                                            std::string_view aCurrentOwner,
                                            std::string_view aExcludedOwner,
                                            Instant aNow) const;

  const ControlState& state;
  const HeartbeatMonitor& heartbeats;
  const AnnouncementMonitor& slots;
  const OwnershipIndex& ownership;
  LeaseTable& leases;
  ControlTimings timings;
  TokenBucket failoverLimiter; ///< Limits reassignments and failovers per second.
  std::map<std::string, Progress, std::less<>> progressByDatabase;
};

} // namespace oleanderledge
