#include "oleanderledge/consensus/LeaderWatch.hpp"

#include "oleanderledge/consensus/Membership.hpp"

namespace oleanderledge {

namespace {

/// An ordinary election ends within this time.
constexpr Duration kFirstLineAfter = std::chrono::milliseconds(500);
constexpr Duration kLineInterval = std::chrono::seconds(1);

std::string ToMilliseconds(Duration aDuration)
{
  return std::to_string(aDuration / std::chrono::milliseconds(1));
}

std::string_view ToString(RaftRole aRole)
{
  switch (aRole) {
    case RaftRole::Follower:
      return "follower";
    case RaftRole::PreCandidate:
      return "pre_candidate";
    case RaftRole::Candidate:
      return "candidate";
    case RaftRole::Leader:
      break;
  }
  return "leader";
}

/// For each other voter its instance, its member id and `aDescribe` of it.
template<class Describe>
std::string DescribeVoters(const RaftNode& aNode, Describe aDescribe)
{
  std::string text;
  for (const ControlMember& member : aNode.Members()) {
    if (!member.voter || member.id == aNode.Self()) {
      continue;
    }
    text += (text.empty() ? "" : ",") + DescribeMember(member) + ":" + aDescribe(member);
  }
  return text.empty() ? "none" : text;
}

std::string_view ToString(VoteRefusal aRefusal)
{
  switch (aRefusal) {
    case VoteRefusal::OlderTerm:
      return "older_term";
    case VoteRefusal::LongerLog:
      return "longer_log";
    case VoteRefusal::RecentLeader:
      return "recent_leader";
    case VoteRefusal::Storing:
      return "storing";
    case VoteRefusal::OtherVote:
      return "other_vote";
    case VoteRefusal::Unknown:
      break;
  }
  return "refused";
}

/// When this member id was heard, what it answered to the last pre-vote, and under which other
/// member id its instance was heard last, if so.
std::string DescribeContact(const MemberContacts& aContacts,
                            const ControlMember& aMember,
                            Instant aNow)
{
  const MemberContacts::Contact* contact = aContacts.Find(aMember.id);
  std::string text =
    ":heard_ms=" + (contact == nullptr ? "none" : ToMilliseconds(aNow - contact->heardAt));
  if (contact == nullptr || !contact->preVote) {
    text += ":pre_vote=none";
  } else {
    const MemberContacts::PreVote& answer = *contact->preVote;
    text += ":pre_vote=" + std::string(answer.isGranted ? "granted" : ToString(answer.refusal)) +
            "/" + ToMilliseconds(aNow - answer.at);
  }
  const std::string lastId = aContacts.LastIdOf(aMember.instance);
  const bool isOther = !lastId.empty() && lastId != aMember.id;
  return isOther ? text + ":heard_as=" + ShortMemberId(lastId) : text;
}

std::string DescribeLog(const RaftNode& aNode)
{
  return " term=" + std::to_string(aNode.Term()) +
         " log=" + std::to_string(aNode.Log().LastTerm()) + "." +
         std::to_string(aNode.Log().LastIndex()) +
         " durable=" + std::to_string(aNode.DurableIndex()) +
         " commit=" + std::to_string(aNode.CommitIndex());
}

} // namespace

std::optional<LeaderWatch::Status> LeaderWatch::Observe(const RaftNode& aNode,
                                                        const MemberContacts& aContacts,
                                                        const IsLinked& aIsLinked,
                                                        Instant aNow)
{
  if (!this->confirmedAt || aNode.HasCurrentLeader(aNow)) {
    const Instant missingSince = this->confirmedAt.value_or(aNow);
    const bool wasLogged = this->loggedAt.has_value();
    this->confirmedAt = aNow;
    this->loggedAt.reset();
    if (!wasLogged) {
      return std::nullopt;
    }
    const ControlMember* leader = FindMember(aNode.Members(), aNode.LeaderId());
    return Status{ LogEvent::LeaderFollowed,
                   "leader=" + (leader == nullptr ? aNode.LeaderId() : leader->instance) +
                     " term=" + std::to_string(aNode.Term()) +
                     " missing_ms=" + ToMilliseconds(aNow - missingSince) };
  }
  const Duration missing = aNow - *this->confirmedAt;
  const bool isDue =
    this->loggedAt ? aNow - *this->loggedAt >= kLineInterval : missing >= kFirstLineAfter;
  if (!isDue) {
    return std::nullopt;
  }
  this->loggedAt = aNow;
  if (aNode.Role() == RaftRole::Leader) {
    const auto contactOf = [&aNode, aNow](const ControlMember& aMember) {
      const auto found = aNode.Progress().find(aMember.id);
      const bool isKnown = found != aNode.Progress().end() && found->second.ackedRequestSentAt;
      return isKnown ? ToMilliseconds(aNow - *found->second.ackedRequestSentAt) : "none";
    };
    return Status{ LogEvent::LeaderUnconfirmed,
                   "for_ms=" + ToMilliseconds(missing) + DescribeLog(aNode) +
                     " contact_ms=" + DescribeVoters(aNode, contactOf) };
  }
  const auto linkOf = [&](const ControlMember& aMember) {
    return std::string(aIsLinked(aMember) ? "linked" : "not_linked") +
           (aNode.Votes().contains(aMember.id) ? "/voted" : "") +
           DescribeContact(aContacts, aMember, aNow);
  };
  return Status{ LogEvent::LeaderMissing,
                 "for_ms=" + ToMilliseconds(missing) + " member=" + ShortMemberId(aNode.Self()) +
                   " role=" + std::string(ToString(aNode.Role())) + DescribeLog(aNode) +
                   " voter=" + (IsVoter(aNode.Members(), aNode.Self()) ? "yes" : "no") +
                   " members_index=" + std::to_string(aNode.Log().MembersIndex()) +
                   " voters=" + DescribeVoters(aNode, linkOf) };
}

} // namespace oleanderledge
