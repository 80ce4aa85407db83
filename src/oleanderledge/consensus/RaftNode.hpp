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
#include <vector>

namespace oleanderledge {

enum class RaftRole : std::uint8_t
{
  Follower,
  PreCandidate, ///< Asks whether an election could succeed, without raising its term.
  Candidate,
  Leader,
};

/// What the leader knows about one other member.
struct MemberProgress
{
  std::uint64_t nextIndex = 1;
  std::uint64_t matchIndex = 0;
  /// When the newest request that the member answered was sent.
  std::optional<Instant> ackedRequestSentAt;
  /// Snapshot transfer; `snapshotIndex` is 0 if none runs.
  std::uint64_t snapshotIndex = 0;
  std::uint64_t snapshotOffset = 0;
  Instant snapshotPieceSentAt{};
};

/// One member of the replicated log as a pure state machine (Raft with pre-vote, leader lease,
/// learners, single-member changes and snapshots).
///
/// Each event takes the current time and returns actions. The node never reads a clock, file or
/// socket. Replies and vote requests are held back until everything that precedes them is durable.
class RaftNode
{
public:
  /// Starts a member with an identity and what its storage holds. `aRandom` spreads the election
  /// timeouts.
  RaftNode(std::string aSelf,
           const RaftSettings& aSettings,
           PersistentState aStored,
           std::mt19937_64 aRandom,
           Instant aNow);

  /// The state that the founder of a group stores before its first start: one membership entry.
  static PersistBatch FoundingBatch(const std::vector<ControlMember>& aMembers);

  /// Emits RestoreAction for a stored snapshot. Called once, before any other event.
  RaftActions Start();
  RaftActions OnTick(Instant aNow);
  RaftActions OnMessage(const Message& aMessage, Instant aNow);
  /// All batches up to a sequence are durable.
  RaftActions OnPersisted(std::uint64_t aSequence, Instant aNow);
  /// Appends a command. `aProposal` is returned in the ProposalResultAction.
  RaftActions Propose(std::uint64_t aProposal, std::string aCommand, Instant aNow);
  RaftActions ChangeMembers(std::uint64_t aProposal,
                            const std::vector<ControlMember>& aMembers,
                            Instant aNow);
  /// Records a snapshot of the replicated state as of AppliedIndex() and truncates the log.
  RaftActions Compact(std::string_view aState);

  /// When OnTick() is next due.
  Instant NextDeadline() const;

  const std::string& Self() const { return this->self; }
  RaftRole Role() const { return this->role; }
  std::uint64_t Term() const { return this->hardState.term; }
  /// Id of the leader of the present term, or empty.
  const std::string& LeaderId() const { return this->leader; }
  /// True from LeadershipGainedAction to LeadershipLostAction.
  bool IsLeadershipEstablished() const { return this->leadershipEstablished; }
  bool HasLeaderLease(Instant aNow) const;
  /// True if this member leads with a lease or heard from the leader within the shortest election
  /// timeout.
  bool HasCurrentLeader(Instant aNow) const;
  std::uint64_t CommitIndex() const { return this->commitIndex; }
  std::uint64_t AppliedIndex() const { return this->appliedIndex; }
  const RaftLog& Log() const { return this->log; }
  /// The newest list of members, committed or not.
  const std::vector<ControlMember>& Members() const { return this->log.Members(); }
  bool MembershipChangePending() const { return this->log.MembersIndex() > this->commitIndex; }
  /// Leader only: what is known about the other members.
  const std::map<std::string, MemberProgress, std::less<>>& Progress() const
  {
    return this->progress;
  }

private:
  struct DeferredSend
  {
    std::uint64_t sequence;
    SendAction action;
  };
  struct PendingBatch
  {
    std::uint64_t sequence;
    std::uint64_t lastIndex;
  };
  struct PendingProposal
  {
    std::uint64_t proposal;
    std::uint64_t term;
  };
  struct IncomingSnapshot
  {
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t term = 0;
    std::string content;
  };
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
  bool ShouldRejectVotes(Instant aNow) const;
  bool IsLogUpToDate(const VoteRequest& aRequest) const;
  void StartElection(bool aPreVote, Instant aNow);
  void CountVotes(Instant aNow);
  void BecomeFollower(std::uint64_t aTerm, const std::string& aLeader, Instant aNow);
  void BecomeLeader(Instant aNow);
  void AcceptLeader(std::uint64_t aTerm, const std::string& aLeader, Instant aNow);

  // Leader.
  std::uint64_t RoundAt(Instant aNow) const;
  Instant LastQuorumContact(Instant aNow) const;
  void CheckQuorum(Instant aNow);
  void UpdateProgressMembers();
  /// Progress of the follower that sent a reply; null if the reply is not for this leader's term.
  template<class Reply>
  MemberProgress* AcceptReply(const Reply& aReply, Instant aNow);
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
  void AppendAsLeader(LogEntryKind aKind, std::string aCommand);
  void AdvanceCommit();

  // Log and durability.
  std::uint64_t MergeEntries(const AppendRequest& aRequest);
  void TruncateFrom(std::uint64_t aIndex);
  void InstallSnapshot(RaftSnapshot aSnapshot);
  void RestoreSnapshotIfDurable();
  void ApplyCommitted(Instant aNow);
  void ApplyEntry(const LogEntry& aEntry, Instant aNow);
  void FailProposals();
  void RejectProposal(std::uint64_t aProposal, ResultCode aCode, const std::string& aMessage);

  void Send(const std::string& aTo, Message aMessage);
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
  std::uint64_t durableIndex = 0;

  Instant electionDeadline{};
  Instant heartbeatDeadline{};
  /// When a current leader was last heard. Set at the start as well: before the restart this member
  /// may have confirmed a lease that it no longer knows of.
  Instant lastLeaderContact{};
  Instant leadershipStart{};
  std::set<std::string, std::less<>> votes;
  std::map<std::string, MemberProgress, std::less<>> progress;
  std::map<std::uint64_t, PendingProposal> pendingProposals;
  std::optional<IncomingSnapshot> incomingSnapshot;
  std::optional<PendingRestore> pendingRestore;

  // Durable writes of the event in progress.
  bool hardStateChanged = false;
  std::vector<LogEntry> unpersistedEntries;
  std::optional<RaftSnapshot> unpersistedSnapshot;
  std::vector<SendAction> sendsAfterPersist;

  std::uint64_t lastIssuedSequence = 0;
  std::uint64_t lastDurableSequence = 0;
  std::uint64_t ownVoteSequence = 0; ///< Batch with this member's own vote.
  std::deque<PendingBatch> pendingBatches;
  std::deque<DeferredSend> deferredSends;

  RaftActions actions;
};

} // namespace oleanderledge
