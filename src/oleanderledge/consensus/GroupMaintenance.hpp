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
  std::uint64_t catchUpEntries = 100;
  /// An admission that was not asked for again within this time is dropped.
  Duration joinRequestLifetime = std::chrono::seconds(3);
  /// A member that found no leader for this long asks to be admitted: it may have been replaced
  /// while it was away.
  Duration leaderlessLimit = std::chrono::seconds(3);
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
  bool ShouldAskToJoin(const RaftNode& aNode, Instant aNow);

  /// The next list of members to propose, or nothing. Called at the leader only.
  std::optional<std::vector<ControlMember>> NextChange(const RaftNode& aNode, Instant aNow);

private:
  struct PendingJoin
  {
    ControlMember member;
    Instant askedAt;
  };

  std::optional<std::vector<ControlMember>> Admit(const std::vector<ControlMember>& aMembers,
                                                  Instant aNow);
  bool IsReplaced(const std::vector<ControlMember>& aMembers, const ControlMember& aMember) const;
  Duration SilenceOf(const RaftNode& aNode, const std::string& aMember, Instant aNow) const;
  const ControlMember* ReadyLearner(const RaftNode& aNode, Instant aNow) const;
  const ControlMember* LostVoter(const RaftNode& aNode, Instant aNow) const;

  GroupMaintenanceSettings settings;
  Instant leaderSince{};
  std::optional<Instant> leaderSeen;
  std::map<std::string, PendingJoin> joins; ///< By member id.
};

} // namespace oleanderledge
