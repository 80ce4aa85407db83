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

/// Decides the next step of a database: ownership, failover and planned change of the primary.
///
/// Each step depends only on committed state and on observations, so a new leader continues where
/// the previous one stopped. At most one command per database is under way.
class FailoverCoordinator
{
public:
  FailoverCoordinator(const ControlState& aState,
                      const HeartbeatMonitor& aHeartbeats,
                      const AnnouncementMonitor& aSlots,
                      const OwnershipIndex& aOwnership,
                      LeaseTable& aLeases,
                      const ControlTimings& aTimings);

  /// A new leader takes over.
  void Reset(Instant aNow);

  /// Follows committed changes of phase and term. Also called on followers, which may lead later.
  void UpdateProgress(const DatabaseRecord& aRecord, Instant aNow);

  /// Takes the next step, if one is due.
  void Step(const DatabaseRecord& aRecord, Instant aNow, ControlActions& aActions);

  /// The proposal for a database ended. `aIsDefinite` is false if it may still be committed.
  void OnProposalDone(std::string_view aDatabase, bool aIsDefinite);

  /// A call to a backend server ended.
  void OnCallDone(std::string_view aDatabase, std::string_view aSlot);
  /// A slot confirmed that it is primary of a term.
  void OnPromoted(std::string_view aDatabase, std::string_view aSlot, std::uint64_t aTerm);

  /// True if the owner may get a lease for the row's epoch and term.
  bool CanGrantLease(const DatabaseRecord& aRecord) const;

  /// Drops what is known about a database that no longer exists.
  bool IsProposalPending(std::string_view aDatabase) const;

private:
  enum class PrimaryReachability
  {
    NoReport,
    Reachable,
    Silent,
  };

  /// Volatile progress of one database.
  struct Progress
  {
    bool known = false;
    std::uint64_t term = 0;
    Instant termSince{};
    std::uint64_t phaseVersion = 0;
    Instant phaseSince{};
    Instant firstSeen{};
    FailoverPhase phase = FailoverPhase::Steady;
    bool leaseRevoked = false;
    std::uint64_t ownerReachedPrimaryEpoch = 0; ///< Last epoch whose owner reached the primary.
    std::uint64_t confirmedTerm = 0;
    std::string failedSlot; ///< Slot whose promotion timed out.
    bool proposalPending = false;
    /// Row version on which a change of epoch or term was proposed. The lease of that row is not
    /// renewed, because a later leader may find the change committed.
    std::uint64_t renewalStoppedVersion = 0;
    std::string proposedOwner;
    std::map<std::string, Instant, std::less<>> lastCallAt;
    std::set<std::string, std::less<>> pendingCalls;
    std::optional<FailoverTimeline> timeline;
  };

  // Each returns true if it took a step.
  bool AdoptAnnouncedPrimary(const DatabaseRecord& aRecord,
                             Progress& aProgress,
                             Instant aNow,
                             ControlActions& aActions);
  bool StartFailover(const DatabaseRecord& aRecord,
                     Progress& aProgress,
                     Instant aNow,
                     ControlActions& aActions);
  /// Proposes an owner. From here on no lease of the present epoch is renewed.
  static void ProposeOwner(const DatabaseRecord& aRecord,
                           Progress& aProgress,
                           const InstanceInfo& aOwner,
                           ControlActions& aActions);
  bool EnsureOwner(const DatabaseRecord& aRecord,
                   Progress& aProgress,
                   Instant aNow,
                   ControlActions& aActions);
  bool AcceptInSyncProposal(const DatabaseRecord& aRecord,
                            Progress& aProgress,
                            ControlActions& aActions);
  bool StartDraining(const DatabaseRecord& aRecord,
                     Progress& aProgress,
                     Instant aNow,
                     ControlActions& aActions);
  void ContinueDraining(const DatabaseRecord& aRecord,
                        Progress& aProgress,
                        Instant aNow,
                        ControlActions& aActions);
  void ContinueFencing(const DatabaseRecord& aRecord,
                       Progress& aProgress,
                       Instant aNow,
                       ControlActions& aActions);
  void MoveFencedOwner(const DatabaseRecord& aRecord,
                       Progress& aProgress,
                       Instant aNow,
                       ControlActions& aActions);
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
  void ReportTimeline(const DatabaseRecord& aRecord,
                      Progress& aProgress,
                      Instant aNow,
                      ControlActions& aActions);

  void RevokeLease(const DatabaseRecord& aRecord, Progress& aProgress, ControlActions& aActions);
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

  PrimaryReachability PrimaryReachabilityFromOwner(const DatabaseRecord& aRecord) const;
  bool IsPrimaryDemoted(const DatabaseRecord& aRecord, Instant aNow) const;
  bool IsOwnerAlive(const DatabaseRecord& aRecord, Instant aNow) const;
  bool IsDrained(const DatabaseRecord& aRecord) const;
  bool IsReachable(const DatabaseRecord& aRecord, std::string_view aSlot, Instant aNow) const;
  /// The best reachable slot of the in-sync set, or null. The present primary is the last choice.
  const SlotRow* ChooseSuccessor(const DatabaseRecord& aRecord,
                                 const Progress& aProgress,
                                 Instant aNow) const;
  /// A reachable slot of the in-sync set that can follow a departing primary.
  bool HasPlannedSuccessor(const DatabaseRecord& aRecord, Instant aNow) const;
  std::vector<OwnerCandidate> OwnerCandidates(Instant aNow) const;
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
  TokenBucket failoverLimiter;
  std::map<std::string, Progress, std::less<>> progressByDatabase;
};

} // namespace oleanderledge
