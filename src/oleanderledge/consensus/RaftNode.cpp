#include "oleanderledge/consensus/RaftNode.hpp"

#include "oleanderledge/consensus/Membership.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

namespace {

/// A leader whose disk is slower than this is replaced by a member with a faster one, if there is
/// one.
constexpr Duration kLongestExpectedWrite = std::chrono::seconds(2);

/// The member id that a message is for; empty if it does not say.
std::string_view RecipientOf(const Message& aMessage)
{
  return std::visit(
    [](const auto& aValue) -> std::string_view {
      if constexpr (requires { aValue.recipient; }) {
        return aValue.recipient;
      } else {
        return {};
      }
    },
    aMessage);
}

void SetRecipient(Message& aMessage, const std::string& aMember)
{
  std::visit(
    [&aMember](auto& aValue) {
      if constexpr (requires { aValue.recipient; }) {
        aValue.recipient = aMember;
      }
    },
    aMessage);
}

} // namespace

RaftNode::RaftNode(std::string aSelf,
                   const RaftSettings& aSettings,
                   PersistentState aStored,
                   std::mt19937_64 aRandom,
                   Instant aNow)
  : self(std::move(aSelf))
  , settings(aSettings)
  , random(aRandom)
  , hardState(aStored.hardState)
  , log(std::move(aStored))
  , lastLeaderContact(aNow)
  , lastEventAt(aNow)
{
  if (this->hardState.term < this->log.LastTerm()) {
    // A crash between the writes of the snapshot file and the log file of a batch leaves a hard
    // state that is older than the snapshot.
    this->hardState = { this->log.LastTerm(), {} };
  }
  this->commitIndex = this->log.BaseIndex();
  this->appliedIndex = this->commitIndex;
  this->durableIndex = this->log.LastIndex();
  this->ResetElectionTimer(aNow);
}

PersistBatch RaftNode::FoundingBatch(const std::vector<ControlMember>& aMembers)
{
  PersistBatch batch;
  batch.hardState.term = 1;
  batch.entries.push_back({ 1, 1, EncodeMembers(aMembers), LogEntryKind::Membership });
  return batch;
}

RaftActions RaftNode::Start()
{
  RaftActions result;
  if (this->log.Snapshot()) {
    result.emplace_back(RestoreAction{ *this->log.Snapshot() });
    result.emplace_back(
      MembersCommittedAction{ this->appliedIndex, this->log.MembersAt(this->appliedIndex) });
  }
  return result;
}

RaftActions RaftNode::OnTick(Instant aNow)
{
  if (this->role == RaftRole::Leader) {
    this->CheckQuorum(aNow);
  }
  if (this->role == RaftRole::Leader) {
    this->CheckOwnDisk(aNow);
  }
  if (this->role == RaftRole::Leader) {
    if (aNow >= this->heartbeatDeadline) {
      this->ReplicateToAll(true, aNow);
    }
  } else if (aNow >= this->electionDeadline) {
    if (this->MayCampaign()) {
      this->StartElection(true, aNow);
    } else {
      this->ResetElectionTimer(aNow);
    }
  }
  return this->FinishEvent(aNow);
}

RaftActions RaftNode::OnMessage(const Message& aMessage, Instant aNow)
{
  // Messages are routed by instance. After a lost data folder, those for the earlier member of this
  // instance arrive here for as long as it is on the list of the sender.
  const std::string_view recipient = RecipientOf(aMessage);
  if (!recipient.empty() && recipient != this->self) {
    return {};
  }
  if (this->role == RaftRole::Leader) {
    // After the process was suspended, messages may be handled before the timer event.
    this->CheckQuorum(aNow);
  }
  std::visit(
    [this, aNow](const auto& aValue) {
      if constexpr (requires { this->Handle(aValue, aNow); }) {
        this->Handle(aValue, aNow);
      }
    },
    aMessage);
  return this->FinishEvent(aNow);
}

RaftActions RaftNode::OnPersisted(std::uint64_t aSequence, Instant aNow)
{
  const bool wasStoringHardState = this->IsStoringHardState();
  this->lastDurableSequence = std::max(this->lastDurableSequence, aSequence);
  while (!this->pendingBatches.empty() &&
         this->pendingBatches.front().sequence <= this->lastDurableSequence) {
    this->durableIndex = std::max(this->durableIndex, this->pendingBatches.front().lastIndex);
    this->lastWriteTime = aNow - this->pendingBatches.front().issuedAt;
    this->pendingBatches.pop_front();
  }
  while (!this->deferredSends.empty() &&
         this->deferredSends.front().sequence <= this->lastDurableSequence) {
    this->actions.emplace_back(std::move(this->deferredSends.front().action));
    this->deferredSends.pop_front();
  }
  this->RestoreSnapshotIfDurable();
  if (wasStoringHardState && !this->IsStoringHardState() && this->role != RaftRole::Leader) {
    // The votes of an election travel only from now on.
    this->ResetElectionTimer(aNow);
  }
  this->CountVotes(aNow);
  if (this->role == RaftRole::Leader) {
    this->AdvanceCommit();
  }
  return this->FinishEvent(aNow);
}

RaftActions RaftNode::Propose(std::uint64_t aProposal, std::string aCommand, Instant aNow)
{
  if (this->role == RaftRole::Leader) {
    this->CheckQuorum(aNow);
  }
  if (this->role != RaftRole::Leader) {
    this->RejectProposal(aProposal, ResultCode::NotLeader, "this member is not the leader");
    return this->FinishEvent(aNow);
  }
  this->AppendAsLeader(LogEntryKind::Command, std::move(aCommand));
  this->pendingProposals[this->log.LastIndex()] = { aProposal, this->hardState.term };
  this->ReplicateToAll(false, aNow);
  return this->FinishEvent(aNow);
}

RaftActions RaftNode::ChangeMembers(std::uint64_t aProposal,
                                    const std::vector<ControlMember>& aMembers,
                                    Instant aNow)
{
  if (this->role == RaftRole::Leader) {
    this->CheckQuorum(aNow);
  }
  if (this->role != RaftRole::Leader) {
    this->RejectProposal(aProposal, ResultCode::NotLeader, "this member is not the leader");
    return this->FinishEvent(aNow);
  }
  // Until an entry of this term is committed, a change of an earlier leader may still be committed
  // by other members. Two concurrent changes could result in disjoint majorities.
  if (this->MembershipChangePending() || !this->leadershipEstablished) {
    this->RejectProposal(aProposal,
                         ResultCode::MembershipChangePending,
                         "an earlier membership change is not yet committed");
    return this->FinishEvent(aNow);
  }
  const auto checked = CheckMembershipChange(this->Members(), aMembers);
  if (!checked) {
    this->RejectProposal(aProposal, checked.error().code, checked.error().message);
    return this->FinishEvent(aNow);
  }
  this->AppendAsLeader(LogEntryKind::Membership, EncodeMembers(aMembers));
  this->pendingProposals[this->log.LastIndex()] = { aProposal, this->hardState.term };
  this->UpdateProgressMembers();
  this->ReplicateToAll(false, aNow);
  return this->FinishEvent(aNow);
}

RaftActions RaftNode::Compact(std::string_view aState)
{
  const std::uint64_t index = this->appliedIndex;
  const std::uint64_t newestSnapshotIndex =
    this->log.Snapshot() ? this->log.Snapshot()->lastIndex : 0;
  if (index <= newestSnapshotIndex || this->pendingRestore) {
    return {};
  }
  RaftSnapshot snapshot{ index,
                         this->log.TermAt(index),
                         std::make_shared<const std::string>(
                           EncodeSnapshotContent(this->log.MembersAt(index), aState)) };
  this->unpersistedSnapshot = snapshot;
  this->log.Compact(
    std::move(snapshot), this->settings.retainedEntries, this->settings.retainedBytes);
  this->IssuePersistBatch();
  return std::exchange(this->actions, {});
}

Instant RaftNode::NextDeadline() const
{
  return this->role == RaftRole::Leader ? this->heartbeatDeadline : this->electionDeadline;
}

bool RaftNode::HasLeaderLease(Instant aNow) const
{
  return this->role == RaftRole::Leader && this->leadershipEstablished &&
         this->LastQuorumContact(aNow) + this->settings.LeaderLease() > aNow;
}

bool RaftNode::HasCurrentLeader(Instant aNow) const
{
  if (this->role == RaftRole::Leader) {
    return this->HasLeaderLease(aNow);
  }
  return !this->leader.empty() &&
         this->lastLeaderContact + this->settings.electionTimeoutMin > aNow;
}

// --- Elections ----------------------------------------------------------------------------------

void RaftNode::ResetElectionTimer(Instant aNow)
{
  std::uniform_int_distribution<std::int64_t> timeoutDistribution(
    this->settings.electionTimeoutMin.count(), this->settings.electionTimeoutMax.count());
  this->electionDeadline = aNow + Duration(timeoutDistribution(this->random));
}

bool RaftNode::MayCampaign() const
{
  if (this->IsStoringHardState() || this->commitIndex > this->durableIndex) {
    return false;
  }
  if (IsVoter(this->Members(), this->self)) {
    return true;
  }
  // If only this member has the uncommitted change that ends its vote, no member with a shorter log
  // can win an election without its vote.
  return this->MembershipChangePending() &&
         IsVoter(this->log.MembersAt(this->commitIndex), this->self);
}

bool RaftNode::ShouldRejectVotes(Instant aNow) const
{
  return this->role == RaftRole::Leader ||
         aNow < this->lastLeaderContact + this->settings.electionTimeoutMin;
}

bool RaftNode::IsLogUpToDate(const VoteRequest& aRequest) const
{
  return std::pair(aRequest.lastTerm, aRequest.lastIndex) >=
         std::pair(this->log.LastTerm(), this->log.LastIndex());
}

void RaftNode::StartElection(bool aPreVote, Instant aNow)
{
  this->ResetElectionTimer(aNow);
  this->preVotes.clear();
  this->leader.clear();
  std::uint64_t term = this->hardState.term + 1;
  if (aPreVote) {
    this->role = RaftRole::PreCandidate;
    this->preVotes.insert(this->self);
    // A pre-vote does not change the term and is therefore retried early: after a restart of the
    // whole group the first one often fails, because links to too few members are open.
    this->electionDeadline -= this->settings.electionTimeoutMin * 2 / 3;
  } else {
    this->role = RaftRole::Candidate;
    this->candidacyTerm = term;
    this->votes.clear();
    this->hardState = { term, this->self };
    this->hardStateChanged = true;
    this->ownVoteSequence = this->lastIssuedSequence + 1;
  }
  const VoteRequest request{
    term, this->self, this->log.LastIndex(), this->log.LastTerm(), aPreVote
  };
  for (const ControlMember& member : this->Members()) {
    if (!member.voter || member.id == this->self) {
      continue;
    }
    // The request may precede the own vote, which counts only once it is durable. The log that it
    // claims may not: after a crash, votes that are still on their way would elect a shorter one.
    if (this->durableIndex == this->log.LastIndex()) {
      this->Send(member.id, request);
    } else {
      this->SendWhenDurable(member.id, request);
    }
  }
  if (aPreVote) {
    this->CountPreVotes(aNow);
  } else {
    this->CountVotes(aNow);
  }
}

void RaftNode::CountPreVotes(Instant aNow)
{
  const bool isSupported = HoldsForMajority(this->Members(), [this](const ControlMember& aMember) {
    return this->preVotes.contains(aMember.id);
  });
  if (isSupported) {
    this->StartElection(false, aNow);
  }
}

void RaftNode::CountVotes(Instant aNow)
{
  if (this->candidacyTerm != this->hardState.term ||
      this->lastDurableSequence < this->ownVoteSequence) {
    return;
  }
  this->votes.insert(this->self);
  const bool isElected = HoldsForMajority(this->Members(), [this](const ControlMember& aMember) {
    return this->votes.contains(aMember.id);
  });
  if (isElected) {
    this->BecomeLeader(aNow);
  }
}

std::optional<VoteRefusal> RaftNode::CheckVoteRequest(const VoteRequest& aRequest,
                                                      Instant aNow) const
{
  if (this->ShouldRejectVotes(aNow)) {
    return VoteRefusal::RecentLeader;
  }
  if (aRequest.term < this->hardState.term) {
    return VoteRefusal::OlderTerm;
  }
  const bool isBusy = aRequest.preVote && this->IsStoringHardState();
  return isBusy ? std::optional(VoteRefusal::Storing) : std::nullopt;
}

void RaftNode::Handle(const VoteRequest& aRequest, Instant aNow)
{
  VoteReply reply{ this->hardState.term, this->self, false, aRequest.preVote };
  if (const auto refusal = this->CheckVoteRequest(aRequest, aNow)) {
    reply.refusal = *refusal;
    // The newer term is not adopted either, or a candidate that cannot win would depose the leader.
    this->SendWhenDurable(aRequest.candidate, reply);
    return;
  }
  if (aRequest.preVote) {
    reply.granted = aRequest.term > this->hardState.term && this->IsLogUpToDate(aRequest);
    reply.term = reply.granted ? aRequest.term : this->hardState.term;
    if (reply.granted) {
      this->YieldTo(aRequest.candidate, aNow);
    } else {
      reply.refusal =
        this->IsLogUpToDate(aRequest) ? VoteRefusal::OlderTerm : VoteRefusal::LongerLog;
    }
    this->SendWhenDurable(aRequest.candidate, reply);
    return;
  }
  if (aRequest.term > this->hardState.term) {
    this->BecomeFollower(aRequest.term, {}, aNow);
  }
  const bool isVoteAvailable =
    this->hardState.vote.empty() || this->hardState.vote == aRequest.candidate;
  if (isVoteAvailable && this->IsLogUpToDate(aRequest)) {
    reply.granted = true;
    this->hardStateChanged = this->hardStateChanged || this->hardState.vote.empty();
    this->hardState.vote = aRequest.candidate;
    this->ResetElectionTimer(aNow);
  } else {
    reply.refusal = isVoteAvailable ? VoteRefusal::LongerLog : VoteRefusal::OtherVote;
  }
  reply.term = this->hardState.term;
  this->SendWhenDurable(aRequest.candidate, reply);
}

/// Postpones an own pre-vote after granting one to `aCandidate`, so that several members that
/// restart together do not become candidates of the same term and divide the votes. Of two
/// simultaneous pre-votes the one of the lower member id goes on.
void RaftNode::YieldTo(std::string_view aCandidate, Instant aNow)
{
  if (this->role == RaftRole::PreCandidate && aCandidate < this->self) {
    this->role = RaftRole::Follower;
    this->preVotes.clear();
  }
  if (this->role != RaftRole::Follower) {
    return;
  }
  const Duration shortest = this->settings.electionTimeoutMin / 3;
  std::uniform_int_distribution<std::int64_t> pauseDistribution(shortest.count(),
                                                                shortest.count() * 2);
  this->electionDeadline =
    std::max(this->electionDeadline, aNow + Duration(pauseDistribution(this->random)));
}

void RaftNode::Handle(const VoteReply& aReply, Instant aNow)
{
  if (!aReply.granted) {
    if (aReply.term > this->hardState.term) {
      this->BecomeFollower(aReply.term, {}, aNow);
    }
    return;
  }
  const bool answersPreVote = aReply.preVote && this->role == RaftRole::PreCandidate &&
                              aReply.term == this->hardState.term + 1;
  if (answersPreVote) {
    this->preVotes.insert(aReply.voter);
    this->CountPreVotes(aNow);
  } else if (!aReply.preVote && aReply.term == this->candidacyTerm) {
    this->votes.insert(aReply.voter);
    this->CountVotes(aNow);
  }
}

void RaftNode::BecomeFollower(std::uint64_t aTerm, const std::string& aLeader, Instant aNow)
{
  if (aTerm > this->hardState.term) {
    this->hardState = { aTerm, {} };
    this->hardStateChanged = true;
  }
  if (this->role == RaftRole::Leader) {
    this->FailProposals();
    this->progress.clear();
  }
  if (this->leadershipEstablished) {
    this->leadershipEstablished = false;
    this->actions.emplace_back(LeadershipLostAction{});
  }
  this->role = RaftRole::Follower;
  this->leader = aLeader;
  this->preVotes.clear();
  this->candidacyTerm.reset();
  this->votes.clear();
  this->ResetElectionTimer(aNow);
}

void RaftNode::BecomeLeader(Instant aNow)
{
  this->role = RaftRole::Leader;
  this->leader = this->self;
  this->leadershipStart = aNow;
  this->ownDiskCurrentAt = aNow;
  this->preVotes.clear();
  this->candidacyTerm.reset();
  this->votes.clear();
  this->incomingSnapshot.reset();
  this->progress.clear();
  this->UpdateProgressMembers();
  this->AppendAsLeader(LogEntryKind::TermStart, {});
  this->ReplicateToAll(true, aNow);
}

void RaftNode::AcceptLeader(std::uint64_t aTerm, const std::string& aLeader, Instant aNow)
{
  if (aTerm > this->hardState.term || this->role != RaftRole::Follower) {
    this->BecomeFollower(aTerm, aLeader, aNow);
  }
  this->leader = aLeader;
  // A candidate that has yielded to another pre-vote is a follower already.
  this->candidacyTerm.reset();
  this->votes.clear();
  this->lastLeaderContact = aNow;
  this->ResetElectionTimer(aNow);
}

// --- Leader -------------------------------------------------------------------------------------

/// The round of a request that is sent at `aNow`: microseconds since the start of the leadership,
/// plus 1. Replies echo it, which tells when the request was sent. 0 means no round.
std::uint64_t RaftNode::RoundAt(Instant aNow) const
{
  return static_cast<std::uint64_t>((aNow - this->leadershipStart).count()) + 1;
}

/// The latest time at which a quorum of the voters is known to have followed this leader. For
/// another voter, that is when the newest request that it has replied to was sent; for this member,
/// `aNow`.
Instant RaftNode::LastQuorumContact(Instant aNow) const
{
  // Early enough for any lease to have expired, but safe from overflow in additions.
  const Instant longAgo{ Duration::min() / 2 };
  const auto contactOf = [this, aNow, longAgo](const ControlMember& aMember) {
    if (aMember.id == this->self) {
      return aNow;
    }
    const auto found = this->progress.find(aMember.id);
    const bool confirmed = found != this->progress.end() && found->second.ackedRequestSentAt;
    return confirmed ? *found->second.ackedRequestSentAt : longAgo;
  };
  return ValueAtMajority(this->Members(), contactOf, longAgo);
}

void RaftNode::CheckQuorum(Instant aNow)
{
  const Instant contact = std::max(this->LastQuorumContact(aNow), this->leadershipStart);
  if (aNow - contact > this->settings.electionTimeoutMax) {
    this->BecomeFollower(this->hardState.term, {}, aNow);
  }
}

void RaftNode::CheckOwnDisk(Instant aNow)
{
  // An entry may wait for the write in progress and for its own.
  const Duration expected = 2 * std::min(this->lastWriteTime, kLongestExpectedWrite);
  if (this->durableIndex >= this->commitIndex) {
    this->ownDiskCurrentAt = aNow;
  } else if (aNow - this->ownDiskCurrentAt > this->settings.electionTimeoutMax + expected) {
    this->BecomeFollower(this->hardState.term, {}, aNow);
    // Its log is as long as that of the others, so it could win the next election again. The others
    // have time for two elections.
    this->electionDeadline = aNow + 2 * this->settings.electionTimeoutMax;
  }
}

void RaftNode::UpdateProgressMembers()
{
  for (const ControlMember& member : this->Members()) {
    if (member.id == this->self || this->progress.contains(member.id)) {
      continue;
    }
    MemberProgress& added = this->progress[member.id];
    added.nextIndex = this->log.LastIndex() + 1;
    added.sentFrom = added.nextIndex;
  }
  std::erase_if(this->progress, [this](const auto& aEntry) {
    return FindMember(this->Members(), aEntry.first) == nullptr;
  });
}

MemberProgress* RaftNode::RecordReply(const std::string& aMember,
                                      std::uint64_t aRound,
                                      Instant aNow)
{
  const auto found = this->progress.find(aMember);
  if (found == this->progress.end()) {
    return nullptr;
  }
  if (aRound > 0 && aRound <= this->RoundAt(aNow)) {
    const Instant sentAt = this->leadershipStart + Duration(static_cast<std::int64_t>(aRound - 1));
    auto& confirmed = found->second.ackedRequestSentAt;
    confirmed = confirmed ? std::max(*confirmed, sentAt) : sentAt;
  }
  return &found->second;
}

void RaftNode::ReplicateToAll(bool aHeartbeat, Instant aNow)
{
  if (aHeartbeat) {
    this->heartbeatDeadline = aNow + this->settings.heartbeatInterval;
  }
  for (auto& [member, memberProgress] : this->progress) {
    this->ReplicateTo(member, memberProgress, aHeartbeat, aNow);
  }
}

bool RaftNode::NeedsSnapshot(const MemberProgress& aProgress) const
{
  return aProgress.nextIndex <= this->log.BaseIndex() && this->log.Snapshot();
}

bool RaftNode::IsSendingSnapshot() const
{
  return std::ranges::any_of(this->progress, [this](const auto& aEntry) {
    const MemberProgress& each = aEntry.second;
    return each.snapshotIndex > 0 && each.ackedRequestSentAt &&
           this->lastEventAt - *each.ackedRequestSentAt <= this->settings.electionTimeoutMax;
  });
}

bool RaftNode::HasInFlightCapacity(const MemberProgress& aProgress) const
{
  if (aProgress.nextIndex > aProgress.matchIndex + this->settings.maxInFlightEntries) {
    return false;
  }
  const std::uint64_t first =
    std::max({ aProgress.matchIndex + 1, aProgress.sentFrom, this->log.BaseIndex() + 1 });
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index < aProgress.nextIndex; ++index) {
    bytes += this->log.EntryAt(index).command.size();
  }
  return bytes < this->settings.maxInFlightBytes;
}

/// Sends missing entries or a snapshot piece to a member. With `aHeartbeat`, sends a request even
/// if nothing is missing.
void RaftNode::ReplicateTo(const std::string& aMember,
                           MemberProgress& aProgress,
                           bool aHeartbeat,
                           Instant aNow)
{
  if (this->NeedsSnapshot(aProgress)) {
    const bool isNew = aProgress.snapshotIndex != this->log.Snapshot()->lastIndex;
    if (isNew) {
      aProgress.snapshotIndex = this->log.Snapshot()->lastIndex;
      aProgress.snapshotOffset = 0;
    }
    // A piece is resent only after a timeout, and if a later heartbeat was answered: the piece is
    // then not waiting in the queue of a slow link, which resending would saturate.
    const bool isOverdue =
      aNow - aProgress.snapshotPieceSentAt > this->settings.electionTimeoutMin &&
      aProgress.ackedRequestSentAt > aProgress.snapshotPieceSentAt;
    if (isNew || isOverdue) {
      this->SendSnapshotPiece(aMember, aProgress, aNow);
    } else if (aHeartbeat) {
      this->SendEmptyAppend(aMember, aNow);
    }
    return;
  }
  aProgress.snapshotIndex = 0;
  const Instant lastContact =
    std::max(aProgress.ackedRequestSentAt.value_or(this->leadershipStart), this->leadershipStart);
  const bool isActive = aNow - lastContact <= this->settings.electionTimeoutMax;
  const bool hasEntries = aProgress.nextIndex <= this->log.LastIndex();
  // A member that does not reply receives only heartbeats, so that no queue of entries builds up on
  // its link.
  if (hasEntries && isActive && this->HasInFlightCapacity(aProgress)) {
    this->SendAppend(aMember,
                     aProgress,
                     this->log.EntriesFrom(aProgress.nextIndex, this->settings.maxAppendBytes),
                     aNow);
  } else if (aHeartbeat) {
    this->SendAppend(aMember, aProgress, {}, aNow);
  }
}

void RaftNode::SendAppend(const std::string& aMember,
                          MemberProgress& aProgress,
                          std::vector<LogEntry> aEntries,
                          Instant aNow)
{
  const std::uint64_t previous = aProgress.nextIndex - 1;
  if (aEntries.empty() && aProgress.probeRound == 0) {
    aProgress.probeRound = this->RoundAt(aNow);
    aProgress.probeIndex = aProgress.nextIndex;
  }
  aProgress.nextIndex += aEntries.size();
  this->Send(aMember,
             AppendRequest{ this->hardState.term,
                            this->self,
                            previous,
                            this->log.TermAt(previous),
                            // Followers apply nothing before this member does: they acknowledge
                            // what they have applied, and this member answers reads.
                            std::min(this->commitIndex, this->durableIndex),
                            this->RoundAt(aNow),
                            std::move(aEntries) });
}

/// Sends a heartbeat during a snapshot transfer, which renews the lease and the follower's election
/// timer. Index 0 precedes every log, so the request always matches and changes nothing.
void RaftNode::SendEmptyAppend(const std::string& aMember, Instant aNow)
{
  this->Send(aMember,
             AppendRequest{ this->hardState.term, this->self, 0, 0, 0, this->RoundAt(aNow), {} });
}

void RaftNode::SendSnapshotPiece(const std::string& aMember,
                                 MemberProgress& aProgress,
                                 Instant aNow)
{
  const RaftSnapshot& snapshot = *this->log.Snapshot();
  const std::string& content = *snapshot.content;
  const std::uint64_t offset = std::min<std::uint64_t>(aProgress.snapshotOffset, content.size());
  std::string piece = content.substr(offset, this->settings.snapshotPieceBytes);
  const bool isLast = offset + piece.size() == content.size();
  aProgress.snapshotPieceSentAt = aNow;
  this->Send(aMember,
             SnapshotRequest{ this->hardState.term,
                              this->self,
                              snapshot.lastIndex,
                              snapshot.lastTerm,
                              offset,
                              isLast,
                              std::move(piece),
                              this->RoundAt(aNow) });
}

void RaftNode::AppendAsLeader(LogEntryKind aKind, std::string aCommand)
{
  LogEntry entry{ this->hardState.term, this->log.LastIndex() + 1, std::move(aCommand), aKind };
  this->unpersistedEntries.push_back(entry);
  this->log.Append(std::move(entry));
}

void RaftNode::AdvanceCommit()
{
  const auto matchOf = [this](const ControlMember& aMember) {
    if (aMember.id == this->self) {
      return this->durableIndex;
    }
    const auto found = this->progress.find(aMember.id);
    return found == this->progress.end() ? std::uint64_t{ 0 } : found->second.matchIndex;
  };
  const auto index = ValueAtMajority(this->Members(), matchOf, std::uint64_t{ 0 });
  // Entries of earlier terms are committed only together with one of this term: until then another
  // leader can still replace them, even if a majority stores them.
  if (index > this->commitIndex && this->log.TermAt(index) == this->hardState.term) {
    this->commitIndex = index;
  }
}

template<class Reply>
MemberProgress* RaftNode::AcceptReply(const Reply& aReply, Instant aNow)
{
  if (aReply.term > this->hardState.term) {
    this->BecomeFollower(aReply.term, {}, aNow);
    return nullptr;
  }
  if (this->role != RaftRole::Leader || aReply.term != this->hardState.term) {
    return nullptr;
  }
  return this->RecordReply(aReply.follower, aReply.round, aNow);
}

void RaftNode::Handle(const AppendReply& aReply, Instant aNow)
{
  MemberProgress* member = this->AcceptReply(aReply, aNow);
  if (member == nullptr) {
    return;
  }
  if (aReply.success) {
    member->matchIndex = std::max(member->matchIndex, aReply.matchIndex);
    member->nextIndex = std::max(member->nextIndex, member->matchIndex + 1);
    if (member->probeRound > 0 && aReply.round >= member->probeRound) {
      member->sentFrom = std::max(member->sentFrom, member->probeIndex);
      member->probeRound = 0;
    }
    this->AdvanceCommit();
  } else {
    this->SetBack(*member, aReply, aNow);
  }
  this->ReplicateTo(aReply.follower, *member, false, aNow);
}

void RaftNode::SetBack(MemberProgress& aProgress, const AppendReply& aReply, Instant aNow)
{
  const bool isOutdated =
    aProgress.setBackAt && aReply.round > 0 && aReply.round < this->RoundAt(*aProgress.setBackAt);
  if (isOutdated) {
    return;
  }
  const std::uint64_t hint = std::min(aReply.matchIndex + 1, aProgress.nextIndex);
  aProgress.nextIndex = std::max(aProgress.matchIndex + 1, hint);
  aProgress.sentFrom = aProgress.nextIndex;
  aProgress.setBackAt = aNow;
  aProgress.probeRound = 0;
}

void RaftNode::Handle(const SnapshotReply& aReply, Instant aNow)
{
  MemberProgress* member = this->AcceptReply(aReply, aNow);
  if (member == nullptr) {
    return;
  }
  if (aReply.installed) {
    member->matchIndex = std::max(member->matchIndex, aReply.lastIndex);
    member->nextIndex = std::max(member->nextIndex, member->matchIndex + 1);
    this->AdvanceCommit();
    this->ReplicateTo(aReply.follower, *member, false, aNow);
    return;
  }
  const bool isCurrent = this->NeedsSnapshot(*member) &&
                         member->snapshotIndex == aReply.lastIndex &&
                         aReply.lastIndex == this->log.Snapshot()->lastIndex;
  if (isCurrent && aReply.received != member->snapshotOffset) {
    member->snapshotOffset = aReply.received;
    this->SendSnapshotPiece(aReply.follower, *member, aNow);
  }
}

// --- Follower -----------------------------------------------------------------------------------

void RaftNode::Handle(const AppendRequest& aRequest, Instant aNow)
{
  AppendReply reply{ this->hardState.term, this->self, false, 0, aRequest.round };
  if (aRequest.term < this->hardState.term) {
    this->SendWhenDurable(aRequest.leader, reply);
    return;
  }
  this->AcceptLeader(aRequest.term, aRequest.leader, aNow);
  reply.term = this->hardState.term;
  const std::uint64_t previous = aRequest.previousIndex;
  if (previous > this->log.LastIndex()) {
    reply.matchIndex = this->log.LastIndex();
  } else if (previous > this->log.BaseIndex() &&
             this->log.TermAt(previous) != aRequest.previousTerm) {
    // Skips all entries of the conflicting term, so that the leader needs only one round trip per
    // term to find the last matching entry.
    const std::uint64_t conflicting = this->log.TermAt(previous);
    std::uint64_t hint = previous - 1;
    while (hint > std::max(this->commitIndex, this->log.BaseIndex()) &&
           this->log.TermAt(hint) == conflicting) {
      --hint;
    }
    reply.matchIndex = hint;
  } else {
    reply.success = true;
    reply.matchIndex = this->MergeEntries(aRequest);
    this->commitIndex =
      std::max(this->commitIndex, std::min(aRequest.commitIndex, reply.matchIndex));
    // A leader knows what is committed once an entry of its own term is.
    if (!this->confirmedCommit && this->log.TermAt(aRequest.commitIndex) == aRequest.term) {
      this->confirmedCommit = aRequest.commitIndex;
    }
  }
  this->ReplyToAppend(aRequest, reply);
}

void RaftNode::ReplyToAppend(const AppendRequest& aRequest, const AppendReply& aReply)
{
  const bool confirmsEntries = aReply.success && !aRequest.entries.empty();
  if (this->IsStoringHardState() || confirmsEntries) {
    this->SendWhenDurable(aRequest.leader, aReply);
    return;
  }
  AppendReply reply = aReply;
  if (reply.success) {
    reply.matchIndex = std::min(reply.matchIndex, this->durableIndex);
  }
  this->Send(aRequest.leader, reply);
}

/// Appends missing entries and replaces conflicting ones. Returns the last index up to which the
/// log is known to match the leader's.
std::uint64_t RaftNode::MergeEntries(const AppendRequest& aRequest)
{
  std::uint64_t index = aRequest.previousIndex;
  for (const LogEntry& entry : aRequest.entries) {
    if (entry.index != index + 1) {
      return index;
    }
    ++index;
    // Entries up to the base index are committed and therefore identical.
    if (index <= this->log.BaseIndex() || this->log.TermAt(index) == entry.term) {
      continue;
    }
    if (index <= this->commitIndex) {
      this->actions.emplace_back(FaultAction{
        "leader " + aRequest.leader + " sent an entry that conflicts with committed entry " +
        std::to_string(index) });
      return index - 1;
    }
    this->TruncateFrom(index);
    this->unpersistedEntries.push_back(entry);
    this->log.Append(entry);
  }
  return index;
}

void RaftNode::TruncateFrom(std::uint64_t aIndex)
{
  if (aIndex > this->log.LastIndex()) {
    return;
  }
  this->log.TruncateFrom(aIndex);
  // A write of the removed entries that is still pending must not make the entries that replace
  // them count as durable.
  this->durableIndex = std::min(this->durableIndex, aIndex - 1);
  for (PendingBatch& batch : this->pendingBatches) {
    batch.lastIndex = std::min(batch.lastIndex, aIndex - 1);
  }
}

void RaftNode::Handle(const SnapshotRequest& aRequest, Instant aNow)
{
  SnapshotReply reply{ this->hardState.term, this->self, aRequest.lastIndex, 0, false,
                       aRequest.round };
  if (aRequest.term < this->hardState.term) {
    this->SendWhenDurable(aRequest.leader, reply);
    return;
  }
  this->AcceptLeader(aRequest.term, aRequest.leader, aNow);
  reply.term = this->hardState.term;
  if (aRequest.lastIndex <= this->commitIndex) {
    this->incomingSnapshot.reset();
    reply.installed = true;
    this->SendWhenDurable(aRequest.leader, reply);
    return;
  }
  const bool isContinuation = this->incomingSnapshot &&
                              this->incomingSnapshot->lastIndex == aRequest.lastIndex &&
                              this->incomingSnapshot->lastTerm == aRequest.lastTerm &&
                              this->incomingSnapshot->term == aRequest.term;
  if (!isContinuation) {
    this->incomingSnapshot = { aRequest.lastIndex, aRequest.lastTerm, aRequest.term, {} };
  }
  std::string& content = this->incomingSnapshot->content;
  if (aRequest.offset == content.size()) {
    content += aRequest.data;
    if (aRequest.lastPiece) {
      if (DecodeSnapshotContent(content)) {
        this->InstallSnapshot({ aRequest.lastIndex,
                                aRequest.lastTerm,
                                std::make_shared<const std::string>(std::move(content)) });
        reply.installed = true;
      }
      // If the content is malformed, the reply confirms 0 bytes and the leader starts the transfer
      // again.
      this->incomingSnapshot.reset();
      this->SendWhenDurable(aRequest.leader, reply);
      return;
    }
  }
  reply.received = content.size();
  this->SendWhenDurable(aRequest.leader, reply);
}

void RaftNode::InstallSnapshot(RaftSnapshot aSnapshot)
{
  this->commitIndex = aSnapshot.lastIndex;
  // The batch of the snapshot replaces the whole stored log, so entries from its last index on
  // count as durable only once that batch is.
  this->durableIndex = std::min(this->durableIndex, aSnapshot.lastIndex - 1);
  for (PendingBatch& batch : this->pendingBatches) {
    batch.lastIndex = std::min(batch.lastIndex, aSnapshot.lastIndex - 1);
  }
  this->unpersistedSnapshot = aSnapshot;
  // The snapshot is part of the batch that is issued at the end of this event.
  this->pendingRestore = PendingRestore{ this->lastIssuedSequence + 1, aSnapshot };
  this->log.InstallSnapshot(std::move(aSnapshot));
}

void RaftNode::RestoreSnapshotIfDurable()
{
  if (!this->pendingRestore || this->pendingRestore->sequence > this->lastDurableSequence) {
    return;
  }
  const RaftSnapshot snapshot = this->pendingRestore->snapshot;
  this->pendingRestore.reset();
  this->appliedIndex = snapshot.lastIndex;
  this->actions.emplace_back(RestoreAction{ snapshot });
  this->actions.emplace_back(
    MembersCommittedAction{ snapshot.lastIndex, this->log.MembersAt(snapshot.lastIndex) });
}

// --- Applying and durability --------------------------------------------------------------------

void RaftNode::ApplyCommitted(Instant aNow)
{
  while (!this->pendingRestore &&
         this->appliedIndex < std::min(this->commitIndex, this->durableIndex)) {
    ++this->appliedIndex;
    const LogEntry entry = this->log.EntryAt(this->appliedIndex);
    this->ApplyEntry(entry, aNow);
  }
}

void RaftNode::ApplyEntry(const LogEntry& aEntry, Instant aNow)
{
  this->actions.emplace_back(ApplyAction{ aEntry });
  const auto found = this->pendingProposals.find(aEntry.index);
  if (found != this->pendingProposals.end()) {
    const bool isOwn = found->second.term == aEntry.term;
    this->actions.emplace_back(
      ProposalResultAction{ found->second.proposal,
                            isOwn ? ResultCode::Ok : ResultCode::OutcomeUnknown,
                            aEntry.index,
                            {} });
    this->pendingProposals.erase(found);
  }
  if (aEntry.kind == LogEntryKind::Membership) {
    this->actions.emplace_back(
      MembersCommittedAction{ aEntry.index, this->log.MembersAt(aEntry.index) });
  }
  if (this->role != RaftRole::Leader) {
    return;
  }
  if (aEntry.kind == LogEntryKind::TermStart && aEntry.term == this->hardState.term) {
    this->leadershipEstablished = true;
    this->confirmedCommit = this->confirmedCommit.value_or(aEntry.index);
    this->actions.emplace_back(LeadershipGainedAction{ this->hardState.term });
  }
  if (aEntry.kind == LogEntryKind::Membership && !this->MembershipChangePending() &&
      !IsVoter(this->Members(), this->self)) {
    this->BecomeFollower(this->hardState.term, {}, aNow);
  }
}

void RaftNode::FailProposals()
{
  for (const auto& [index, pending] : this->pendingProposals) {
    this->actions.emplace_back(
      ProposalResultAction{ pending.proposal,
                            ResultCode::OutcomeUnknown,
                            index,
                            "leadership was lost before the outcome was known" });
  }
  this->pendingProposals.clear();
}

void RaftNode::RejectProposal(std::uint64_t aProposal,
                              ResultCode aCode,
                              const std::string& aMessage)
{
  this->actions.emplace_back(ProposalResultAction{ aProposal, aCode, 0, aMessage });
}

void RaftNode::Send(const std::string& aTo, Message aMessage)
{
  SetRecipient(aMessage, aTo);
  this->actions.emplace_back(SendAction{ aTo, std::move(aMessage) });
}

void RaftNode::SendWhenDurable(const std::string& aTo, Message aMessage)
{
  SetRecipient(aMessage, aTo);
  this->sendsAfterPersist.push_back({ aTo, std::move(aMessage) });
}

void RaftNode::IssuePersistBatch()
{
  const bool isNeeded = this->hardStateChanged || !this->unpersistedEntries.empty() ||
                        this->unpersistedSnapshot.has_value();
  if (!isNeeded) {
    return;
  }
  PersistBatch batch;
  batch.sequence = ++this->lastIssuedSequence;
  batch.hardState = this->hardState;
  if (this->hardStateChanged) {
    this->hardStateSequence = batch.sequence;
  }
  batch.entries = std::exchange(this->unpersistedEntries, {});
  if (this->unpersistedSnapshot) {
    const std::uint64_t first = this->unpersistedSnapshot->lastIndex + 1;
    batch.entries = this->log.EntriesFrom(first, SIZE_MAX);
    batch.snapshot = std::exchange(this->unpersistedSnapshot, std::nullopt);
  }
  this->hardStateChanged = false;
  this->pendingBatches.push_back({ batch.sequence, this->log.LastIndex(), this->lastEventAt });
  this->actions.emplace_back(PersistAction{ std::move(batch) });
}

/// Ends an event: applies committed entries that are durable on this member, issues the batch of
/// state changes, and sends or defers the messages that depend on it.
RaftActions RaftNode::FinishEvent(Instant aNow)
{
  this->lastEventAt = aNow;
  if (this->durableIndex >= this->awaitedIndex) {
    this->awaitedIndex = this->commitIndex;
    this->awaitedSince = aNow;
  }
  this->ApplyCommitted(aNow);
  this->IssuePersistBatch();
  for (SendAction& send : this->sendsAfterPersist) {
    if (this->lastIssuedSequence > this->lastDurableSequence) {
      this->deferredSends.push_back({ this->lastIssuedSequence, std::move(send) });
    } else {
      this->actions.emplace_back(std::move(send));
    }
  }
  this->sendsAfterPersist.clear();
  return std::exchange(this->actions, {});
}

} // namespace oleanderledge
