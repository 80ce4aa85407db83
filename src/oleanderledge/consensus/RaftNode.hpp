#pragma once

#include "oleanderledge/consensus/RaftActions.hpp"
#include "oleanderledge/consensus/RaftLog.hpp"
#include "oleanderledge/consensus/RaftSettings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

enum class RaftRole : std::uint8_t
{
  Follower,
  PreCandidate, ///< Runs a pre-vote: probes for a majority without incrementing the term.
  Candidate,
  Leader,
};

/// Replication progress of one other member, tracked by the leader.
struct MemberProgress
{
  std::uint64_t nextIndex = 1;  ///< Next entry to send.
  std::uint64_t matchIndex = 0; ///< Last entry known to be durable on the member.
  /// The entries before this one have arrived at the member or are not sent. Those from here on up
  /// to `nextIndex` are on their way.
  std::uint64_t sentFrom = 1;
  /// Round and `nextIndex` of a heartbeat that tells how far the entries have arrived; round 0 if
  /// none is awaited. Replies to entries come only once these are durable.
  std::uint64_t probeRound = 0;
  std::uint64_t probeIndex = 0;
  /// When a rejection last set `nextIndex` back. Rejections of earlier requests say nothing new.
  std::optional<Instant> setBackAt;
  /// Send time of the newest request that the member has replied to; empty before the first reply
  /// of the term.
  std::optional<Instant> ackedRequestSentAt;
  /// Last index of the snapshot in transfer; 0 if no transfer is in progress.
  std::uint64_t snapshotIndex = 0;
  std::uint64_t snapshotOffset = 0; ///< Bytes of the snapshot that the member has received.
  Instant snapshotPieceSentAt{};
};

/// One member of a Raft group as a deterministic state machine without I/O. Supports pre-vote,
/// leader lease, learners, membership changes of one member, the replacement of one voter by
/// another and snapshots.
///
/// Event methods take the current time and return the actions that the caller must carry out, in
/// order. The node never reads a clock, file or socket. Replies and vote requests are sent only
/// after all state changes that precede them are durable.
class RaftNode
{
public:
  /// Creates the member `aSelf` (a member id) from its stored state. `aRandom` randomizes the
  /// election timeouts.
  RaftNode(std::string aSelf,
           const RaftSettings& aSettings,
           PersistentState aStored,
           std::mt19937_64 aRandom,
           Instant aNow);

  /// The batch that the founder of a group writes before it starts: term 1 and one membership
  /// entry.
  static PersistBatch FoundingBatch(const std::vector<ControlMember>& aMembers);

  /// Returns the actions that restore a stored snapshot. Called once, before any other event.
  RaftActions Start();
  /// Runs due timers: election timeout, heartbeats and the check for a lost quorum.
  RaftActions OnTick(Instant aNow);
  /// Handles a consensus message; ignores messages of other types and for other members.
  RaftActions OnMessage(const Message& aMessage, Instant aNow);
  /// Reports that all batches up to `aSequence` are durable.
  RaftActions OnPersisted(std::uint64_t aSequence, Instant aNow);
  /// Appends a command to the log. The ProposalResultAction carries `aProposal`; its code is
  /// NotLeader at a member that does not lead, and OutcomeUnknown if leadership is lost before the
  /// entry is applied.
  RaftActions Propose(std::uint64_t aProposal, std::string aCommand, Instant aNow);
  /// Proposes a new list of members. Fails like Propose(), and with MembershipChangePending while
  /// an earlier change is uncommitted or no entry of this term is committed, or with
  /// InvalidMembershipChange (see CheckMembershipChange()).
  RaftActions ChangeMembers(std::uint64_t aProposal,
                            const std::vector<ControlMember>& aMembers,
                            Instant aNow);
  /// Stores a snapshot of the replicated state as of AppliedIndex() and discards old entries. Does
  /// nothing if nothing was applied since the last snapshot, or while a received one is not yet
  /// durable.
  RaftActions Compact(std::string_view aState);

  /// Time at which OnTick() must be called next.
  Instant NextDeadline() const;

  const std::string& Self() const { return this->self; }
  RaftRole Role() const { return this->role; }
  std::uint64_t Term() const { return this->hardState.term; }
  /// Member id of the leader of the current term; empty if unknown.
  const std::string& LeaderId() const { return this->leader; }
  /// True between LeadershipGainedAction and LeadershipLostAction: this member leads and has
  /// applied the first entry of its term.
  bool IsLeadershipEstablished() const { return this->leadershipEstablished; }
  /// True if leadership is established and a quorum confirmed it within the leader lease, so that
  /// no other member can have become leader.
  bool HasLeaderLease(Instant aNow) const;
  /// True if this member holds the leader lease, or received a request of the leader within the
  /// minimum election timeout.
  bool HasCurrentLeader(Instant aNow) const;

  /// True if an entry that this member knows to be committed has waited for its disk for longer
  /// than twice the maximum election timeout. It can then not tell others what is in force.
  bool IsDiskBehind(Instant aNow) const
  {
    return this->commitIndex > this->durableIndex &&
           aNow - this->awaitedSince > 2 * this->settings.electionTimeoutMax;
  }
  /// True if, since its start, this member has applied everything that a leader had committed when
  /// it was first heard, or has led itself. Before that, the state may be that of an old snapshot.
  bool HasConfirmedState() const
  {
    return this->leadershipEstablished ||
           (this->confirmedCommit && this->appliedIndex >= *this->confirmedCommit);
  }
  std::uint64_t CommitIndex() const { return this->commitIndex; }
  /// Last entry that is durable on this member.
  std::uint64_t DurableIndex() const { return this->durableIndex; }
  std::uint64_t AppliedIndex() const { return this->appliedIndex; }
  /// Ids of the members that have granted a vote or pre-vote in the present election.
  const std::set<std::string, std::less<>>& Votes() const
  {
    return this->role == RaftRole::PreCandidate ? this->preVotes : this->votes;
  }
  const RaftLog& Log() const { return this->log; }
  /// The latest list of members in the log, committed or not.
  const std::vector<ControlMember>& Members() const { return this->log.Members(); }
  bool MembershipChangePending() const { return this->log.MembersIndex() > this->commitIndex; }
  /// Progress of the other members, by member id. Empty unless this member leads.
  const std::map<std::string, MemberProgress, std::less<>>& Progress() const
  {
    return this->progress;
  }
  /// True if this member leads and transfers a snapshot to a member that replies.
  bool IsSendingSnapshot() const;

private:
  /// A message that is sent once the batch `sequence` is durable.
  struct DeferredSend
  {
    std::uint64_t sequence;
    SendAction action;
  };
  /// A batch that is not yet durable.
  struct PendingBatch
  {
    std::uint64_t sequence;
    std::uint64_t lastIndex; ///< Last entry that is durable once the batch is.
    Instant issuedAt;
  };
  struct PendingProposal
  {
    std::uint64_t proposal;
    std::uint64_t term;
  };
  /// A snapshot that is being received from the leader of `term`.
  struct IncomingSnapshot
  {
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t term = 0;
    std::string content; ///< The bytes received so far.
  };
  /// A received snapshot, applied once the batch `sequence` is durable.
  struct PendingRestore
  {
    std::uint64_t sequence;
    RaftSnapshot snapshot;
  };

  // Messages.
  void Handle(const VoteRequest& aRequest, Instant aNow);
  void Handle(const VoteReply& aReply, Instant aNow);
  void Handle(const AppendRequest& aRequest, Instant aNow);
  void Handle(const AppendReply& aReply, Instant aNow);
  void Handle(const SnapshotRequest& aRequest, Instant aNow);
  void Handle(const SnapshotReply& aReply, Instant aNow);

  // Elections.
  void ResetElectionTimer(Instant aNow);
  bool MayCampaign() const;
  /// True while this member leads or may have confirmed a leader lease that has not expired.
  bool ShouldRejectVotes(Instant aNow) const;
  bool IsLogUpToDate(const VoteRequest& aRequest) const;
  /// Why a request is refused whatever the log of the candidate is, if it is.
  std::optional<VoteRefusal> CheckVoteRequest(const VoteRequest& aRequest, Instant aNow) const;
  void YieldTo(std::string_view aCandidate, Instant aNow);
  void StartElection(bool aPreVote, Instant aNow);
  /// Becomes a candidate once a majority has granted its pre-votes.
  void CountPreVotes(Instant aNow);
  /// Becomes leader once a majority has granted its votes.
  void CountVotes(Instant aNow);
  /// True while the term or the vote of this member is not yet durable. It takes part in no other
  /// election meanwhile: its vote for that one would have to wait for this one.
  bool IsStoringHardState() const
  {
    return this->hardStateChanged || this->lastDurableSequence < this->hardStateSequence;
  }
  /// Adopts `aTerm` if it is newer. A leader fails its pending proposals.
  void BecomeFollower(std::uint64_t aTerm, const std::string& aLeader, Instant aNow);
  void BecomeLeader(Instant aNow);
  /// Follows the sender of a request of `aTerm`, which is not older than the own term, and restarts
  /// the election timer.
  void AcceptLeader(std::uint64_t aTerm, const std::string& aLeader, Instant aNow);

  // Leader.
  std::uint64_t RoundAt(Instant aNow) const;
  Instant LastQuorumContact(Instant aNow) const;
  /// Steps down if there was no contact with a quorum for the maximum election timeout.
  void CheckQuorum(Instant aNow);
  /// Steps down if entries that a majority stores are not durable on this member for longer than
  /// its recent writes explain: it can neither apply nor confirm them, and another member can.
  void CheckOwnDisk(Instant aNow);
  /// Adds and removes progress entries so that they match the list of members.
  void UpdateProgressMembers();
  /// Records a reply and returns the progress of its sender. Steps down if the reply has a newer
  /// term. Returns null unless this member leads in the term of the reply.
  template<class Reply>
  MemberProgress* AcceptReply(const Reply& aReply, Instant aNow);
  /// Updates the contact time of a member from the round that it echoed. Null for non-members.
  MemberProgress* RecordReply(const std::string& aMember, std::uint64_t aRound, Instant aNow);
  void ReplicateToAll(bool aHeartbeat, Instant aNow);
  void ReplicateTo(const std::string& aMember,
                   MemberProgress& aProgress,
                   bool aHeartbeat,
                   Instant aNow);
  void SendAppend(const std::string& aMember,
                  MemberProgress& aProgress,
                  std::vector<LogEntry> aEntries,
                  Instant aNow);
  void SendSnapshotPiece(const std::string& aMember, MemberProgress& aProgress, Instant aNow);
  void SendEmptyAppend(const std::string& aMember, Instant aNow);
  bool NeedsSnapshot(const MemberProgress& aProgress) const;
  /// True if further entries may be sent to a member before it acknowledges those on their way.
  bool HasInFlightCapacity(const MemberProgress& aProgress) const;
  /// Sends again from the index that a rejection names.
  void SetBack(MemberProgress& aProgress, const AppendReply& aReply, Instant aNow);
  void AppendAsLeader(LogEntryKind aKind, std::string aCommand);
  void AdvanceCommit();

  /// Answers a request of the current leader: a heartbeat at once, with what is durable, so that
  /// slow writes do not end the leader lease; entries once everything before them is durable. A
  /// rejection claims no entries, and until it arrives all further requests are rejected too.
  void ReplyToAppend(const AppendRequest& aRequest, const AppendReply& aReply);

  // Log and durability.
  std::uint64_t MergeEntries(const AppendRequest& aRequest);
  void TruncateFrom(std::uint64_t aIndex);
  void InstallSnapshot(RaftSnapshot aSnapshot);
  void RestoreSnapshotIfDurable();
  void ApplyCommitted(Instant aNow);
  void ApplyEntry(const LogEntry& aEntry, Instant aNow);
  /// Ends all pending proposals with OutcomeUnknown.
  void FailProposals();
  void RejectProposal(std::uint64_t aProposal, ResultCode aCode, const std::string& aMessage);

  void Send(const std::string& aTo, Message aMessage);
  /// Sends once the batch of the current event, if any, and all earlier ones are durable.
  void SendWhenDurable(const std::string& aTo, Message aMessage);
  RaftActions FinishEvent(Instant aNow);
  void IssuePersistBatch();

  std::string self;
  RaftSettings settings;
  std::mt19937_64 random;

  HardState hardState;
  RaftLog log;
  RaftRole role = RaftRole::Follower;
  std::string leader;
  bool leadershipEstablished = false;
  std::uint64_t commitIndex = 0;
  std::uint64_t appliedIndex = 0;
  /// Commit index of a leader of the same term, when one was first heard since the start.
  std::optional<std::uint64_t> confirmedCommit;
  std::uint64_t durableIndex = 0; ///< Last entry on this member's disk.

  Instant electionDeadline{};
  Instant heartbeatDeadline{};
  /// Time of the last request from a current leader. Also set at the start, because this member may
  /// have confirmed a leader lease shortly before a restart and does not store that.
  Instant lastLeaderContact{};
  Instant leadershipStart{};
  std::set<std::string, std::less<>> preVotes; ///< Ids of the members that granted a pre-vote.
  /// The term in which this member became a candidate. Votes for it count until the member follows
  /// another leader or another term, also during a later pre-vote: with slow writes they come late.
  std::optional<std::uint64_t> candidacyTerm;
  std::set<std::string, std::less<>> votes; ///< Ids of the members that voted for the candidacy.
  /// Last time at which everything that is committed was durable on this member, while it leads.
  Instant ownDiskCurrentAt{};
  std::map<std::string, MemberProgress, std::less<>> progress;
  std::map<std::uint64_t, PendingProposal> pendingProposals; ///< By log index.
  std::optional<IncomingSnapshot> incomingSnapshot;
  std::optional<PendingRestore> pendingRestore;

  // State changes of the current event that are not yet in a batch, and messages that depend on
  // them.
  bool hardStateChanged = false;
  std::vector<LogEntry> unpersistedEntries;
  std::optional<RaftSnapshot> unpersistedSnapshot;
  std::vector<SendAction> sendsAfterPersist;

  std::uint64_t lastIssuedSequence = 0;
  std::uint64_t lastDurableSequence = 0;
  std::uint64_t ownVoteSequence = 0;   ///< Batch that stores this member's vote for itself.
  std::uint64_t hardStateSequence = 0; ///< Batch that stores the newest hard state.
  std::deque<PendingBatch> pendingBatches;
  Duration lastWriteTime{ 0 }; ///< From the issue of a batch until it was durable.
  Instant lastEventAt{};
  /// The committed entry whose wait for the disk is measured, and since when it is committed here.
  std::uint64_t awaitedIndex = 0;
  Instant awaitedSince{};
  std::deque<DeferredSend> deferredSends;

  RaftActions actions; ///< Actions of the current event so far.
};

} // namespace oleanderledge
