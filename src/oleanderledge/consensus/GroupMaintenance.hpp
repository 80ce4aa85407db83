#pragma once

#include "oleanderledge/consensus/RaftNode.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Limits for automatic membership changes.
struct GroupMaintenanceSettings
{
  /// Number of voters that the group should have: 3 or 5. Learners are promoted up to it.
  std::size_t targetVoterCount = 3;
  /// A voter that has not replied for this long is replaced if a learner has caught up. Longer than
  /// a restart of an instance takes, because each replacement copies the whole state. A learner
  /// whose instance has a newer member id is removed after the same time without a reply.
  Duration lostVoterTimeout = std::chrono::seconds(10);
  /// Maximum number of entries by which a learner may lag behind the leader to be promoted.
  std::uint64_t maxPromotionLagEntries = 100;
  /// A learner that has not replied for this long is removed. It may request to join again.
  Duration lostLearnerTimeout = std::chrono::seconds(10);
  /// A join request that is not repeated within this time is dropped.
  Duration requestLifetime = std::chrono::seconds(3);
  /// A member without a current leader for this long requests to join again, because it may have
  /// been removed from the group while it was unreachable.
  Duration leaderlessTimeout = std::chrono::seconds(1);
};

/// Why the leader changes the list of members, for log lines.
enum class MembershipChangeReason : std::uint8_t
{
  None,
  Joined,               ///< A member requested to join.
  ReplacementCompleted, ///< A replacement in progress ends.
  MissingVoter,         ///< The group has fewer voters than it should have.
  OwnVote,              ///< A learner takes over the vote of an earlier member of its instance.
  SupersededVoter,      ///< A voter whose instance has a newer member id; another learner is ready.
  LostVoter,            ///< A voter has not replied for too long.
  LeavingVoter,         ///< A voter is about to stop.
  LostLearner,          ///< A learner has not replied for too long.
};

std::string_view ToString(MembershipChangeReason aReason);

/// Why a learner cannot be promoted.
enum class PromotionObstacle : std::uint8_t
{
  None,
  Lag,         ///< It stores too little of the log.
  NoContact,   ///< It has not replied for too long.
  EarlierVote, ///< An earlier member of its instance still votes and may be in contact.
  Superseded,  ///< Its instance has a newer member id.
  Leaving,     ///< It is about to stop.
};

std::string_view ToString(PromotionObstacle aObstacle);

/// Decides on membership changes, without I/O. At the leader: admits members that request to join,
/// replaces voters that leave or are lost by learners that have caught up, and removes lost
/// learners and members whose instance has a newer member id. At any member: decides when to
/// request to join.
///
/// A voter is replaced in two changes: one that starts the replacement and one that completes it
/// (see CheckMembershipChange()). Removing the old voter first, or promoting the learner first,
/// would leave a group in between that bears the loss of fewer disks.
class GroupMaintenance
{
public:
  explicit GroupMaintenance(const GroupMaintenanceSettings& aSettings)
    : settings(aSettings)
  {
  }

  /// Records a request to be admitted as a learner. Ignores requests without a member id or link
  /// address.
  void OnJoinRequest(const JoinRequest& aRequest, Instant aNow);

  /// Records that a member is about to stop and should not vote any more.
  void OnLeaveRequest(const std::string& aMember, Instant aNow);

  /// Must be called when leadership is gained. Members that have not replied to this leader, and of
  /// which Observe() knows nothing, count as unreachable from then on.
  void OnLeadershipGained(Instant aNow);

  /// Time at which anything of an instance arrived last, if known.
  using HeardAt = std::function<std::optional<Instant>(const std::string& aInstance)>;
  /// Records when each member was in contact with this one. Must be called at regular intervals, in
  /// every role: a voter that is lost stays lost when another member becomes leader.
  void Observe(const RaftNode& aNode, const HeardAt& aHeardAt, Instant aNow);

  /// True if this member should send a join request. Must be called at regular intervals, because
  /// it also records when a leader was last known.
  bool ShouldRequestJoin(const RaftNode& aNode, Instant aNow);

  /// The next list of members to propose, if any. Empty unless this member leads and no change is
  /// pending.
  std::optional<std::vector<ControlMember>> NextChange(const RaftNode& aNode, Instant aNow);
  /// Why NextChange() returned a list, when it last did.
  MembershipChangeReason ChangeReason() const { return this->changeReason; }

  /// For log lines of the leader: true if a learner could take over a vote. One is missing or to be
  /// replaced, or belongs to an earlier member of the instance of the learner.
  bool CouldTakeVote(const RaftNode& aNode, const ControlMember& aLearner, Instant aNow) const;
  /// The condition of a promotion that a learner does not meet, at the leader.
  PromotionObstacle ObstacleOf(const RaftNode& aNode,
                               const ControlMember& aLearner,
                               Instant aNow) const;

private:
  struct PendingJoin
  {
    ControlMember member;
    Instant requestedAt;
  };

  /// The list with the next admitted learner, if a join request is pending.
  std::optional<std::vector<ControlMember>> NextAdmission(const RaftNode& aNode, Instant aNow);
  /// True if another member of the instance of `aOf` replies, so that `aOf` was lost. Its request
  /// to join may still arrive, if it was delayed.
  bool RunsAnotherMember(const RaftNode& aNode, const ControlMember& aOf, Instant aNow) const;
  bool IsSuperseded(const std::vector<ControlMember>& aMembers, const ControlMember& aMember) const;
  /// True if an earlier member of the instance of a learner still votes and may be in contact. The
  /// learner then waits until it can take over that vote, because the group would keep a voter that
  /// is lost for good if the learner took another one.
  bool MustWaitForOwnVote(const RaftNode& aNode, const ControlMember& aLearner, Instant aNow) const;
  /// Time since the newest request that the member replied to was sent, or since it was in contact
  /// according to Observe().
  Duration TimeSinceContact(const RaftNode& aNode, const std::string& aMember, Instant aNow) const;
  /// The reachable learner that has caught up furthest, or null.
  const ControlMember* FindPromotableLearner(const RaftNode& aNode, Instant aNow) const;
  /// The voter to replace next, or null.
  const ControlMember* FindVoterToReplace(const RaftNode& aNode, Instant aNow) const;
  /// Why FindVoterToReplace() returned `aReplaced`, and `aLearner` takes over its vote.
  MembershipChangeReason ReasonToReplace(const RaftNode& aNode,
                                         const ControlMember& aReplaced,
                                         const ControlMember& aLearner,
                                         Instant aNow) const;
  /// The learner to remove next, or null.
  const ControlMember* FindLostLearner(const RaftNode& aNode, Instant aNow);

  GroupMaintenanceSettings settings;
  MembershipChangeReason changeReason = MembershipChangeReason::None;
  Instant leadershipStart{};
  /// Last contact of each other member, or when it was first listed, by member id.
  std::map<std::string, Instant, std::less<>> contactAt;
  std::optional<Instant> leaderLastSeenAt;
  std::map<std::string, PendingJoin> pendingJoins;              ///< By member id.
  std::map<std::string, Instant, std::less<>> leaveRequestedAt; ///< By member id.
  /// Since when this leader has known each learner, by member id.
  std::map<std::string, Instant, std::less<>> learnersSince;
};

} // namespace oleanderledge
