#include "oleanderledge/consensus/GroupMaintenance.hpp"

#include "oleanderledge/consensus/Membership.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// A learner that did not answer for this long is not promoted.
constexpr Duration kMaxPromotableLearnerSilence = std::chrono::seconds(1);

/// Silence of a voter whose instance has a newer identity. It guards against two instances that
/// were given the same id by mistake.
constexpr Duration kReplacedVoterTimeout = std::chrono::seconds(1);

std::vector<ControlMember> WithoutMember(std::vector<ControlMember> aMembers,
                                         const std::string& aId)
{
  std::erase_if(aMembers, [&aId](const ControlMember& aEach) { return aEach.id == aId; });
  return aMembers;
}

std::vector<ControlMember> WithPromotedMember(std::vector<ControlMember> aMembers,
                                              const std::string& aId)
{
  for (ControlMember& member : aMembers) {
    member.voter = member.voter || member.id == aId;
  }
  return aMembers;
}

} // namespace

void GroupMaintenance::OnJoinRequest(const JoinRequest& aRequest, Instant aNow)
{
  const ControlMember member{
    aRequest.memberId, aRequest.instance.id, aRequest.instance.linkAddress, false
  };
  if (!member.id.empty() && !member.linkAddress.empty()) {
    this->pendingJoins[member.id] = { member, aNow };
  }
}

void GroupMaintenance::OnLeadershipGained(Instant aNow)
{
  this->leadershipStart = aNow;
}

bool GroupMaintenance::ShouldRequestJoin(const RaftNode& aNode, Instant aNow)
{
  if (!this->leaderLastSeenAt || aNode.HasCurrentLeader(aNow)) {
    this->leaderLastSeenAt = aNow;
  }
  // An admission that is not committed may be undone by another leader. That leader may go on
  // sending to an earlier identity of this instance, so hearing from it does not mean being a
  // member.
  const auto& committed = aNode.Log().MembersAt(aNode.CommitIndex());
  return FindMember(committed, aNode.Self()) == nullptr ||
         aNow - *this->leaderLastSeenAt > this->settings.leaderlessTimeout;
}

std::optional<std::vector<ControlMember>> GroupMaintenance::NextChange(const RaftNode& aNode,
                                                                       Instant aNow)
{
  if (!aNode.IsLeadershipEstablished() || aNode.MembershipChangePending()) {
    return std::nullopt;
  }
  const std::vector<ControlMember>& members = aNode.Members();
  if (auto admitted = this->NextAdmission(members, aNow)) {
    return admitted;
  }
  const ControlMember* learner = this->FindPromotableLearner(aNode, aNow);
  if (learner != nullptr && CountVoters(members) < this->settings.targetVoterCount) {
    return WithPromotedMember(members, learner->id);
  }
  // The lost voter is removed before the learner is promoted. The other order would need the same
  // number of live members but would also make the commit depend on the newest copy.
  const ControlMember* lost = this->FindLostVoter(aNode, aNow);
  const bool isReplaceable = CountVoters(members) <= this->settings.targetVoterCount;
  if (learner != nullptr && lost != nullptr && isReplaceable) {
    return WithoutMember(members, lost->id);
  }
  for (const ControlMember& member : members) {
    if (!member.voter && this->HasNewerIdentity(members, member) &&
        this->TimeSinceContact(aNode, member.id, aNow) > this->settings.lostVoterTimeout) {
      return WithoutMember(members, member.id);
    }
  }
  return std::nullopt;
}

std::optional<std::vector<ControlMember>> GroupMaintenance::NextAdmission(
  const std::vector<ControlMember>& aMembers,
  Instant aNow)
{
  std::erase_if(this->pendingJoins, [this, aNow, &aMembers](const auto& aEntry) {
    return aNow - aEntry.second.requestedAt > this->settings.joinRequestLifetime ||
           FindMember(aMembers, aEntry.first) != nullptr;
  });
  if (this->pendingJoins.empty()) {
    return std::nullopt;
  }
  std::vector<ControlMember> changed = aMembers;
  changed.push_back(this->pendingJoins.begin()->second.member);
  return changed;
}

/// True if a later member of the list runs on the same instance: lists only grow at the end, so
/// that one has the newer identity.
bool GroupMaintenance::HasNewerIdentity(const std::vector<ControlMember>& aMembers,
                                        const ControlMember& aMember) const
{
  bool isLater = false;
  for (const ControlMember& member : aMembers) {
    if (isLater && member.instance == aMember.instance) {
      return true;
    }
    isLater = isLater || member.id == aMember.id;
  }
  return false;
}

Duration GroupMaintenance::TimeSinceContact(const RaftNode& aNode,
                                            const std::string& aMember,
                                            Instant aNow) const
{
  const auto found = aNode.Progress().find(aMember);
  const bool isConfirmed = found != aNode.Progress().end() && found->second.ackedRequestSentAt;
  return aNow - (isConfirmed ? *found->second.ackedRequestSentAt : this->leadershipStart);
}

const ControlMember* GroupMaintenance::FindPromotableLearner(const RaftNode& aNode,
                                                             Instant aNow) const
{
  const ControlMember* best = nullptr;
  std::uint64_t bestMatch = 0;
  for (const ControlMember& member : aNode.Members()) {
    const auto found = aNode.Progress().find(member.id);
    if (member.voter || found == aNode.Progress().end() || !found->second.ackedRequestSentAt ||
        this->HasNewerIdentity(aNode.Members(), member)) {
      continue;
    }
    const std::uint64_t match = found->second.matchIndex;
    const bool isReady = match + this->settings.maxPromotionLagEntries >= aNode.Log().LastIndex() &&
                         match > 0 &&
                         aNow - *found->second.ackedRequestSentAt < kMaxPromotableLearnerSilence;
    if (isReady && match > bestMatch) {
      best = &member;
      bestMatch = match;
    }
  }
  return best;
}

const ControlMember* GroupMaintenance::FindLostVoter(const RaftNode& aNode, Instant aNow) const
{
  const ControlMember* lost = nullptr;
  for (const ControlMember& member : aNode.Members()) {
    if (!member.voter || member.id == aNode.Self()) {
      continue;
    }
    const Duration silence = this->TimeSinceContact(aNode, member.id, aNow);
    // An instance that came back with a new identity has lost the old one for good, while a voter
    // that is only silent may return.
    if (this->HasNewerIdentity(aNode.Members(), member) && silence > kReplacedVoterTimeout) {
      return &member;
    }
    if (lost == nullptr && silence > this->settings.lostVoterTimeout) {
      lost = &member;
    }
  }
  return lost;
}

} // namespace oleanderledge
