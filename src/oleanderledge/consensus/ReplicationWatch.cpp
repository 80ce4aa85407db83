#include "oleanderledge/consensus/ReplicationWatch.hpp"

#include "oleanderledge/consensus/Membership.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// A voter that has not answered for this long has lost contact. A learner is not promoted after
/// the same time.
constexpr Duration kContactTimeout = std::chrono::seconds(1);

constexpr Duration kLineInterval = std::chrono::seconds(1);
/// A voter may be down for days, in which the lines must not fill the log.
constexpr Duration kLastingState = std::chrono::minutes(1);
constexpr Duration kLastingLineInterval = std::chrono::seconds(10);

std::string ToMilliseconds(Duration aDuration)
{
  return std::to_string(aDuration / std::chrono::milliseconds(1));
}

MemberProgress ProgressOf(const RaftNode& aNode, const std::string& aMember)
{
  const auto found = aNode.Progress().find(aMember);
  return found == aNode.Progress().end() ? MemberProgress{} : found->second;
}

std::string DescribeLastAnswer(const MemberProgress& aProgress, Instant aNow)
{
  return " answered_ms=" + (aProgress.ackedRequestSentAt
                              ? ToMilliseconds(aNow - *aProgress.ackedRequestSentAt)
                              : "none");
}

/// Entries of the leader that a member which stores the log up to `aStored` lacks.
std::uint64_t LagOf(const RaftNode& aNode, std::uint64_t aStored)
{
  const std::uint64_t last = aNode.Log().LastIndex();
  return last - std::min(aStored, last);
}

std::string DescribeLag(const RaftNode& aNode, const MemberProgress& aProgress)
{
  return " matched=" + std::to_string(aProgress.matchIndex) +
         " lag_entries=" + std::to_string(LagOf(aNode, aProgress.matchIndex));
}

/// Bytes of the commands after an index, as far as the entries are in memory.
std::size_t BytesAfter(const RaftLog& aLog, std::uint64_t aIndex)
{
  std::size_t bytes = 0;
  for (std::uint64_t at = std::max(aIndex, aLog.BaseIndex()) + 1; at <= aLog.LastIndex(); ++at) {
    bytes += aLog.EntryAt(at).command.size();
  }
  return bytes;
}

std::string DescribeSnapshot(const RaftNode& aNode, const MemberProgress& aProgress)
{
  const auto& snapshot = aNode.Log().Snapshot();
  if (aProgress.snapshotIndex == 0 || !snapshot) {
    return " snapshot=no";
  }
  return " snapshot=" + std::to_string(aProgress.snapshotIndex) + ":" +
         std::to_string(aProgress.snapshotOffset) + "/" + std::to_string(snapshot->content->size());
}

/// The member id under which the instance of a member was heard last, if it is another one.
std::string OtherIdOf(const MemberContacts& aContacts, const ControlMember& aMember)
{
  const std::string lastId = aContacts.LastIdOf(aMember.instance);
  return lastId == aMember.id ? std::string{} : ShortMemberId(lastId);
}

std::string DescribeOtherId(const std::string& aOtherId)
{
  return aOtherId.empty() ? std::string{} : " heard_as=" + aOtherId;
}

} // namespace

VoterHealth VoterHealthOf(const RaftNode& aNode, Instant aNow)
{
  VoterHealth health;
  if (aNode.Role() != RaftRole::Leader) {
    return health;
  }
  for (const ControlMember& member : aNode.Members()) {
    if (!member.voter) {
      continue;
    }
    if (member.id == aNode.Self()) {
      ++health.answering;
      health.furthestLag = std::max(health.furthestLag, LagOf(aNode, aNode.DurableIndex()));
      continue;
    }
    const MemberProgress progress = ProgressOf(aNode, member.id);
    const bool isAnswering =
      progress.ackedRequestSentAt && aNow - *progress.ackedRequestSentAt <= kContactTimeout;
    health.answering += isAnswering ? 1 : 0;
    health.furthestLag = std::max(health.furthestLag, LagOf(aNode, progress.matchIndex));
  }
  return health;
}

std::vector<ReplicationWatch::Status> ReplicationWatch::Observe(
  const RaftNode& aNode,
  const GroupMaintenance& aMaintenance,
  const MemberContacts& aContacts,
  Instant aNow)
{
  this->UpdateListings(aNode, aNow);
  std::vector<Status> lines;
  if (!this->leadingTerm) {
    return lines;
  }
  for (const ControlMember& member : aNode.Members()) {
    if (member.id == aNode.Self()) {
      continue;
    }
    auto line = member.voter ? this->ObserveVoter(aNode, aContacts, member, aNow)
                             : this->ObserveLearner(aNode, aMaintenance, aContacts, member, aNow);
    if (line) {
      lines.push_back(std::move(*line));
    }
  }
  return lines;
}

void ReplicationWatch::UpdateListings(const RaftNode& aNode, Instant aNow)
{
  const bool isLeading = aNode.Role() == RaftRole::Leader;
  const bool isNewLeadership = isLeading && this->leadingTerm != aNode.Term();
  if (isNewLeadership) {
    this->leadingSince = aNow;
  }
  this->leadingTerm = isLeading ? std::optional(aNode.Term()) : std::nullopt;
  std::map<std::string, Listing, std::less<>> current;
  for (const ControlMember& member : aNode.Members()) {
    const auto known = this->listings.find(member.id);
    Listing listing =
      known == this->listings.end() ? Listing{ aNow, {}, {}, {}, {} } : known->second;
    if (listing.voterSince.has_value() != member.voter) {
      listing.voterSince = member.voter ? std::optional(aNow) : std::nullopt;
      listing.state.clear();
    }
    if (isNewLeadership) {
      listing.state.clear();
    }
    current.emplace(member.id, std::move(listing));
  }
  this->listings = std::move(current);
}

bool ReplicationWatch::IsDue(Listing& aListing, const std::string& aState, Instant aNow)
{
  if (aListing.state != aState) {
    aListing.state = aState;
    aListing.stateSince = aNow;
  } else {
    const bool isLasting = aNow - aListing.stateSince >= kLastingState;
    if (aNow - aListing.loggedAt < (isLasting ? kLastingLineInterval : kLineInterval)) {
      return false;
    }
  }
  aListing.loggedAt = aNow;
  return true;
}

std::optional<ReplicationWatch::Status> ReplicationWatch::ObserveLearner(
  const RaftNode& aNode,
  const GroupMaintenance& aMaintenance,
  const MemberContacts& aContacts,
  const ControlMember& aLearner,
  Instant aNow)
{
  Listing& listing = this->listings[aLearner.id];
  if (!aNode.IsLeadershipEstablished() || !aMaintenance.CouldTakeVote(aNode, aLearner, aNow)) {
    listing.state.clear();
    return std::nullopt;
  }
  const std::string why(ToString(aMaintenance.ObstacleOf(aNode, aLearner, aNow)));
  if (!IsDue(listing, why, aNow)) {
    return std::nullopt;
  }
  const MemberProgress progress = ProgressOf(aNode, aLearner.id);
  return Status{ LogEvent::LearnerWaiting,
                 "learner=" + DescribeMember(aLearner) + " why=" + why +
                   DescribeLag(aNode, progress) +
                   " lag_bytes=" + std::to_string(BytesAfter(aNode.Log(), progress.matchIndex)) +
                   DescribeSnapshot(aNode, progress) + DescribeLastAnswer(progress, aNow) +
                   " listed_ms=" + ToMilliseconds(aNow - listing.since) +
                   DescribeOtherId(OtherIdOf(aContacts, aLearner)) };
}

std::optional<ReplicationWatch::Status> ReplicationWatch::ObserveVoter(
  const RaftNode& aNode,
  const MemberContacts& aContacts,
  const ControlMember& aVoter,
  Instant aNow)
{
  Listing& listing = this->listings[aVoter.id];
  const MemberProgress progress = ProgressOf(aNode, aVoter.id);
  const Instant contact =
    std::max(progress.ackedRequestSentAt.value_or(this->leadingSince), this->leadingSince);
  const auto describe = [&] {
    return "voter=" + DescribeMember(aVoter) + DescribeLag(aNode, progress) +
           DescribeLastAnswer(progress, aNow) +
           " voter_for_ms=" + ToMilliseconds(aNow - *listing.voterSince);
  };
  if (aNow - contact > kContactTimeout) {
    // A new member id of the instance is a change of the state.
    const std::string otherId = OtherIdOf(aContacts, aVoter);
    if (!IsDue(listing, "silent" + otherId, aNow)) {
      return std::nullopt;
    }
    return Status{ LogEvent::VoterContactLost, describe() + DescribeOtherId(otherId) };
  }
  if (listing.state.empty()) {
    return std::nullopt;
  }
  listing.state.clear();
  return Status{ LogEvent::VoterContactRestored, describe() };
}

} // namespace oleanderledge
