#pragma once

#include "oleanderledge/consensus/RaftNode.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

struct GroupMaintenanceSettings
{
  /// Number of voters that the group should have: 3 or 5.
  std::size_t targetVoterCount = 3;
  /// A voter that was silent for this long is replaced if a learner has caught up. Longer than a
  /// restart of an instance, because each replacement copies the whole state.
  Duration lostVoterTimeout = std::chrono::seconds(10);
  /// Entries that a learner may lack when it is promoted.
  std::uint64_t maxPromotionLagEntries = 100;
  /// An admission that was not asked for again within this time is dropped.
  Duration joinRequestLifetime = std::chrono::seconds(3);
  /// A member that found no leader for this long asks to be admitted: it may have been replaced
  /// while it was away.
  Duration leaderlessTimeout = std::chrono::seconds(3);
};

/// Decides, at the leader, the next membership change: admits members that ask to join, replaces
/// lost voters by learners that have caught up, and removes identities that were replaced. At any
/// member, decides when to ask for admission. Pure.
class GroupMaintenance
{
public:
  explicit GroupMaintenance(const GroupMaintenanceSettings& aSettings)
    : settings(aSettings)
  {
  }

  /// Records that a member asks to be admitted as a learner.
  void OnJoinRequest(const JoinRequest& aRequest, Instant aNow);

  /// Call when leadership is gained: silence is counted from here.
  void OnLeadershipGained(Instant aNow);

  /// True if this member should ask the others to admit it. Called regularly.
  bool ShouldRequestJoin(const RaftNode& aNode, Instant aNow);

  /// The next list of members to propose, or nothing. Called at the leader only.
  std::optional<std::vector<ControlMember>> NextChange(const RaftNode& aNode, Instant aNow);

private:
  struct PendingJoin
  {
    ControlMember member;
    Instant requestedAt;
  };

  std::optional<std::vector<ControlMember>> NextAdmission(
    const std::vector<ControlMember>& aMembers,
    Instant aNow);
  bool HasNewerIdentity(const std::vector<ControlMember>& aMembers,
                        const ControlMember& aMember) const;
  Duration TimeSinceContact(const RaftNode& aNode, const std::string& aMember, Instant aNow) const;
  const ControlMember* FindPromotableLearner(const RaftNode& aNode, Instant aNow) const;
  const ControlMember* FindLostVoter(const RaftNode& aNode, Instant aNow) const;

  GroupMaintenanceSettings settings;
  Instant leadershipStart{};
  std::optional<Instant> leaderLastSeenAt;
  std::map<std::string, PendingJoin> pendingJoins; ///< By member id.
};

} // namespace oleanderledge
