#include "oleanderledge/consensus/GroupMaintenance.hpp"

#include "oleanderledge/consensus/Membership.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Longest id and address of a member that asks to join.
constexpr std::size_t kMaxNameBytes = 255;
/// Requests that are remembered. A group has few members, and they repeat their requests.
constexpr std::size_t kMaxPendingJoins = 32;
constexpr std::size_t kMaxPendingLeaves = 32;
/// Members beyond the target number of voters: learners, and voters that are being replaced.
constexpr std::size_t kMaxOtherMembers = 16;
/// A learner that has not replied for this long is not promoted.
constexpr Duration kLearnerContactTimeout = std::chrono::seconds(1);

/// A voter whose instance has a newer member id is replaced only if it has not replied for this
/// long. If two instances were given the same id by mistake, both reply and none is removed.
constexpr Duration kSupersededVoterTimeout = std::chrono::seconds(1);

/// A new leader replaces no voter before this time, in which a voter that is alive has answered
/// some of its heartbeats.
constexpr Duration kMinLeadership = std::chrono::milliseconds(200);

/// While another voter has not replied for this long, a voter that leaves keeps its vote: if the
/// silent one turns out to be lost, the learner must replace that one, which may never return.
constexpr Duration kSilentVoterTimeout = std::chrono::milliseconds(500);

/// An instance whose member has replied within this time runs that member. Also delays the
/// admission of an instance that is back sooner with an empty disk.
constexpr Duration kRunningMemberTimeout = std::chrono::milliseconds(500);

/// Leave requests are repeated every 100 ms. After the last one, the instance has stopped, and may
/// be back as a learner that can be promoted.
constexpr Duration kLeaveRequestLifetime = std::chrono::seconds(1);

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

std::string_view ToString(MembershipChangeReason aReason)
{
  switch (aReason) {
    case MembershipChangeReason::Joined:
      return "joined";
    case MembershipChangeReason::ReplacementCompleted:
      return "replacement_completed";
    case MembershipChangeReason::MissingVoter:
      return "missing_voter";
    case MembershipChangeReason::OwnVote:
      return "own_vote";
    case MembershipChangeReason::SupersededVoter:
      return "superseded_voter";
    case MembershipChangeReason::LostVoter:
      return "lost_voter";
    case MembershipChangeReason::LeavingVoter:
      return "leaving_voter";
    case MembershipChangeReason::LostLearner:
      return "lost_learner";
    case MembershipChangeReason::None:
      break;
  }
  return "none";
}

std::string_view ToString(PromotionObstacle aObstacle)
{
  switch (aObstacle) {
    case PromotionObstacle::Lag:
      return "lag";
    case PromotionObstacle::NoContact:
      return "no_contact";
    case PromotionObstacle::EarlierVote:
      return "earlier_vote";
    case PromotionObstacle::Superseded:
      return "superseded";
    case PromotionObstacle::Leaving:
      return "leaving";
    case PromotionObstacle::None:
      break;
  }
  return "none";
}

void GroupMaintenance::OnJoinRequest(const JoinRequest& aRequest, Instant aNow)
{
  const ControlMember member{
    aRequest.memberId, aRequest.instance.id, aRequest.instance.linkAddress, false
  };
  const bool isTooLong = member.id.size() > kMaxNameBytes ||
                         member.instance.size() > kMaxNameBytes ||
                         member.linkAddress.size() > kMaxNameBytes;
  if (!member.id.empty() && !member.linkAddress.empty() && !isTooLong) {
    // A newer request means that the disk was lost again. If the older one arrives late, the
    // running member repeats its own.
    std::erase_if(this->pendingJoins, [&member](const auto& aEntry) {
      return aEntry.second.member.instance == member.instance;
    });
    if (this->pendingJoins.size() >= kMaxPendingJoins) {
      this->pendingJoins.erase(std::ranges::min_element(
        this->pendingJoins, {}, [](const auto& aEntry) { return aEntry.second.requestedAt; }));
    }
    this->pendingJoins[member.id] = { member, aNow };
  }
}

void GroupMaintenance::OnLeaveRequest(const std::string& aMember, Instant aNow)
{
  if (aMember.size() > kMaxNameBytes || this->leaveRequestedAt.size() >= kMaxPendingLeaves) {
    return;
  }
  this->leaveRequestedAt[aMember] = aNow;
}

void GroupMaintenance::OnLeadershipGained(Instant aNow)
{
  this->leadershipStart = aNow;
  this->learnersSince.clear();
}

void GroupMaintenance::Observe(const RaftNode& aNode, const HeardAt& aHeardAt, Instant aNow)
{
  std::map<std::string, Instant, std::less<>> current;
  for (const ControlMember& member : aNode.Members()) {
    const auto known = this->contactAt.find(member.id);
    Instant contact = known == this->contactAt.end() ? aNow : known->second;
    // What arrives from an instance that runs another member says nothing of this one.
    const bool isOther =
      this->IsSuperseded(aNode.Members(), member) || this->RunsAnotherMember(aNode, member, aNow);
    const auto heard = isOther ? std::nullopt : aHeardAt(member.instance);
    contact = std::max(contact, heard.value_or(contact));
    current.emplace(member.id, contact);
  }
  this->contactAt = std::move(current);
}

bool GroupMaintenance::ShouldRequestJoin(const RaftNode& aNode, Instant aNow)
{
  if (!this->leaderLastSeenAt || aNode.HasCurrentLeader(aNow)) {
    this->leaderLastSeenAt = aNow;
  }
  // Only a committed admission counts: another leader may discard an uncommitted one. Requests from
  // that leader are no proof of membership, as it may address an earlier identity of this instance.
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
  std::erase_if(this->leaveRequestedAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kLeaveRequestLifetime;
  });
  const std::vector<ControlMember>& members = aNode.Members();
  if (IsReplacementInProgress(members)) {
    this->changeReason = MembershipChangeReason::ReplacementCompleted;
    const auto outgoing =
      std::ranges::find(members, ReplacementPart::Outgoing, &ControlMember::replacement);
    // As a learner, a member that leaves hears that it does not vote any more.
    const bool isInContact =
      this->TimeSinceContact(aNode, outgoing->id, aNow) <= this->settings.lostVoterTimeout;
    return WithReplacementCompleted(members,
                                    isInContact && !this->IsSuperseded(members, *outgoing));
  }
  if (auto admitted = this->NextAdmission(aNode, aNow)) {
    this->changeReason = MembershipChangeReason::Joined;
    return admitted;
  }
  const ControlMember* learner = this->FindPromotableLearner(aNode, aNow);
  if (learner != nullptr && CountVoters(members) < this->settings.targetVoterCount) {
    this->changeReason = MembershipChangeReason::MissingVoter;
    return WithPromotedMember(members, learner->id);
  }
  const ControlMember* replaced = this->FindVoterToReplace(aNode, aNow);
  // A group that has more voters than the target is left alone: the target may be set too low.
  const bool isReplaceable = CountVoters(members) <= this->settings.targetVoterCount;
  if (learner != nullptr && replaced != nullptr && isReplaceable) {
    this->changeReason = this->ReasonToReplace(aNode, *replaced, *learner, aNow);
    return WithReplacementStarted(members, replaced->id, learner->id);
  }
  const ControlMember* lost = this->FindLostLearner(aNode, aNow);
  if (lost == nullptr) {
    return std::nullopt;
  }
  this->changeReason = MembershipChangeReason::LostLearner;
  return WithoutMember(members, lost->id);
}

std::optional<std::vector<ControlMember>> GroupMaintenance::NextAdmission(const RaftNode& aNode,
                                                                          Instant aNow)
{
  std::erase_if(this->pendingJoins, [this, &aNode, aNow](const auto& aEntry) {
    return aNow - aEntry.second.requestedAt > this->settings.requestLifetime ||
           FindMember(aNode.Members(), aEntry.first) != nullptr;
  });
  if (aNode.Members().size() >= this->settings.targetVoterCount + kMaxOtherMembers) {
    return std::nullopt;
  }
  for (const auto& [id, pending] : this->pendingJoins) {
    if (!this->RunsAnotherMember(aNode, pending.member, aNow)) {
      std::vector<ControlMember> changed = aNode.Members();
      changed.push_back(pending.member);
      return changed;
    }
  }
  return std::nullopt;
}

bool GroupMaintenance::RunsAnotherMember(const RaftNode& aNode,
                                         const ControlMember& aOf,
                                         Instant aNow) const
{
  return std::ranges::any_of(aNode.Members(), [&](const ControlMember& aMember) {
    if (aMember.instance != aOf.instance || aMember.id == aOf.id) {
      return false;
    }
    const auto found = aNode.Progress().find(aMember.id);
    return aMember.id == aNode.Self() ||
           (found != aNode.Progress().end() && found->second.ackedRequestSentAt &&
            aNow - *found->second.ackedRequestSentAt < kRunningMemberTimeout);
  });
}

/// True if the instance of a member has a newer member id, which means that it lost the data folder
/// of the older one. New members are only added at the end of the list, so a later member on the
/// same instance has the newer id.
bool GroupMaintenance::IsSuperseded(const std::vector<ControlMember>& aMembers,
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
  const auto observed = this->contactAt.find(aMember);
  const Instant contact =
    observed == this->contactAt.end() ? this->leadershipStart : observed->second;
  const auto found = aNode.Progress().find(aMember);
  const bool isConfirmed = found != aNode.Progress().end() && found->second.ackedRequestSentAt;
  return aNow - std::max(contact, isConfirmed ? *found->second.ackedRequestSentAt : contact);
}

bool GroupMaintenance::MustWaitForOwnVote(const RaftNode& aNode,
                                          const ControlMember& aLearner,
                                          Instant aNow) const
{
  return std::ranges::any_of(aNode.Members(), [&](const ControlMember& aMember) {
    return aMember.voter && aMember.instance == aLearner.instance &&
           this->TimeSinceContact(aNode, aMember.id, aNow) <= kSupersededVoterTimeout;
  });
}

const ControlMember* GroupMaintenance::FindPromotableLearner(const RaftNode& aNode,
                                                             Instant aNow) const
{
  const ControlMember* best = nullptr;
  std::uint64_t bestMatch = 0;
  for (const ControlMember& member : aNode.Members()) {
    if (member.voter || this->ObstacleOf(aNode, member, aNow) != PromotionObstacle::None) {
      continue;
    }
    const std::uint64_t match = aNode.Progress().at(member.id).matchIndex;
    if (match > bestMatch) {
      best = &member;
      bestMatch = match;
    }
  }
  return best;
}

const ControlMember* GroupMaintenance::FindVoterToReplace(const RaftNode& aNode, Instant aNow) const
{
  if (aNow - this->leadershipStart < kMinLeadership) {
    return nullptr;
  }
  const ControlMember* lost = nullptr;
  const ControlMember* leaving = nullptr;
  bool isAnotherSilent = false;
  for (const ControlMember& member : aNode.Members()) {
    if (!member.voter) {
      continue;
    }
    const bool isLeaving = this->leaveRequestedAt.contains(member.id);
    if (isLeaving) {
      leaving = &member;
    }
    if (member.id == aNode.Self()) {
      continue;
    }
    const Duration sinceContact = this->TimeSinceContact(aNode, member.id, aNow);
    // Preferred to unreachable voters, which may return: an instance with a new member id has lost
    // the data folder of the old one.
    if (this->IsSuperseded(aNode.Members(), member) && sinceContact > kSupersededVoterTimeout) {
      return &member;
    }
    if (lost == nullptr && sinceContact > this->settings.lostVoterTimeout) {
      lost = &member;
    }
    isAnotherSilent = isAnotherSilent || (!isLeaving && sinceContact > kSilentVoterTimeout);
  }
  if (lost != nullptr || isAnotherSilent) {
    return lost;
  }
  return leaving;
}

bool GroupMaintenance::CouldTakeVote(const RaftNode& aNode,
                                     const ControlMember& aLearner,
                                     Instant aNow) const
{
  const std::vector<ControlMember>& members = aNode.Members();
  const bool hasEarlierVote = std::ranges::any_of(members, [&](const ControlMember& aMember) {
    return aMember.voter && aMember.instance == aLearner.instance;
  });
  const std::size_t voters = CountVoters(members);
  return hasEarlierVote || voters < this->settings.targetVoterCount ||
         (voters == this->settings.targetVoterCount &&
          this->FindVoterToReplace(aNode, aNow) != nullptr);
}

PromotionObstacle GroupMaintenance::ObstacleOf(const RaftNode& aNode,
                                               const ControlMember& aLearner,
                                               Instant aNow) const
{
  if (this->leaveRequestedAt.contains(aLearner.id)) {
    return PromotionObstacle::Leaving;
  }
  if (this->IsSuperseded(aNode.Members(), aLearner)) {
    return PromotionObstacle::Superseded;
  }
  const auto found = aNode.Progress().find(aLearner.id);
  const bool isInContact = found != aNode.Progress().end() && found->second.ackedRequestSentAt &&
                           aNow - *found->second.ackedRequestSentAt < kLearnerContactTimeout;
  if (!isInContact) {
    return PromotionObstacle::NoContact;
  }
  const std::uint64_t match = found->second.matchIndex;
  if (match == 0 || match + this->settings.maxPromotionLagEntries < aNode.Log().LastIndex()) {
    return PromotionObstacle::Lag;
  }
  return this->MustWaitForOwnVote(aNode, aLearner, aNow) ? PromotionObstacle::EarlierVote
                                                         : PromotionObstacle::None;
}

MembershipChangeReason GroupMaintenance::ReasonToReplace(const RaftNode& aNode,
                                                         const ControlMember& aReplaced,
                                                         const ControlMember& aLearner,
                                                         Instant aNow) const
{
  if (aReplaced.instance == aLearner.instance) {
    return MembershipChangeReason::OwnVote;
  }
  // Contact with the own member is not recorded.
  if (aReplaced.id == aNode.Self()) {
    return MembershipChangeReason::LeavingVoter;
  }
  const Duration sinceContact = this->TimeSinceContact(aNode, aReplaced.id, aNow);
  if (this->IsSuperseded(aNode.Members(), aReplaced) && sinceContact > kSupersededVoterTimeout) {
    return MembershipChangeReason::SupersededVoter;
  }
  return sinceContact > this->settings.lostVoterTimeout ? MembershipChangeReason::LostVoter
                                                        : MembershipChangeReason::LeavingVoter;
}

const ControlMember* GroupMaintenance::FindLostLearner(const RaftNode& aNode, Instant aNow)
{
  const ControlMember* lost = nullptr;
  std::map<std::string, Instant, std::less<>> current;
  for (const ControlMember& member : aNode.Members()) {
    if (member.voter) {
      continue;
    }
    const auto known = this->learnersSince.find(member.id);
    const Instant since = known == this->learnersSince.end() ? aNow : known->second;
    current[member.id] = since;
    const Duration limit = this->IsSuperseded(aNode.Members(), member)
                             ? this->settings.lostVoterTimeout
                             : this->settings.lostLearnerTimeout;
    // A learner that was just admitted has not replied yet.
    if (std::min(this->TimeSinceContact(aNode, member.id, aNow), aNow - since) > limit) {
      lost = &member;
    }
  }
  this->learnersSince = std::move(current);
  return lost;
}

} // namespace oleanderledge
