#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/PositionSample.hpp"
#include "oleanderledge/link/QuotaMessages.hpp"
#include "oleanderledge/link/RelayMessages.hpp"
#include "oleanderledge/link/RouteRows.hpp"
#include "oleanderledge/link/ServerPosition.hpp"
#include "oleanderledge/link/SessionSetting.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleanderledge {

// Visit() of each struct lists its fields in wire order. New fields go at the end: a decoder
// accepts both missing and additional trailing fields.

/// Version of the link protocol; a link to a peer with another version is closed.
constexpr std::uint32_t kLinkProtocolVersion = 1;

/// What a process is to its peers.
enum class InstanceRole : std::uint8_t
{
  Proxy = 0,
  Control = 1,
  Tool = 2,
};

/// Identity of one running process.
struct InstanceInfo
{
  std::string id;
  std::uint64_t incarnation = 0; ///< Unique for each start of the process.
  InstanceRole role = InstanceRole::Proxy;
  std::string zone;        ///< "region/zone".
  std::string linkAddress; ///< "ip:port".
  std::string httpAddress; ///< "ip:port".
  bool leaving = false;    ///< The process is shutting down.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->id,
             this->incarnation,
             this->role,
             this->zone,
             this->linkAddress,
             this->httpAddress,
             this->leaving);
  }
};

/// First message in both directions of every link.
struct Hello
{
  std::uint32_t protocolVersion = kLinkProtocolVersion;
  InstanceInfo instance;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->protocolVersion, this->instance);
  }
};

// --- Entry to owner ---------------------------------------------------------------------------

/// A named prepared statement that the unit refers to.
struct PreparedStatement
{
  std::string name;
  std::string parseMessage; ///< The caller's whole Parse message, with type byte and length.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name, this->parseMessage);
  }
};

/// One unit of work: the messages of a caller up to and including one Query or Sync.
struct StatementRequest
{
  std::uint64_t channel = 0;  ///< Number of the caller session, unique on the link.
  std::uint64_t sequence = 0; ///< Incremented for each unit of the channel.
  std::string database;
  std::uint64_t ownerEpoch = 0;    ///< Ownership epoch in the directory of the entry.
  std::string workClass;           ///< Class of work; empty: none stated.
  std::string caller;              ///< User name of the start-up message.
  std::string session;             ///< Empty: the session is this channel alone.
  std::string requestId;           ///< Empty: none stated.
  std::int64_t acceptedAgeMs = -1; ///< Oldest data that a read accepts; -1: none stated.
  bool readOnly = false;           ///< The session or transaction is read-only.
  bool idempotent = false;         ///< Running the unit twice has the same effect as once.
  std::int64_t waitedUs = 0;       ///< Time since the unit arrived at the entry, when it was sent.
  std::vector<SessionSetting> settings;
  std::vector<PreparedStatement> prepared;
  std::string payload; ///< Whole frontend messages of the PostgreSQL protocol.
  /// True if the unit continues a transaction that this owner opened for the channel. If the owner
  /// no longer holds that transaction, a ROLLBACK or ABORT succeeds and any other unit fails with
  /// BackendConnectionLost.
  bool inTransaction = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel,
             this->sequence,
             this->database,
             this->ownerEpoch,
             this->workClass,
             this->caller,
             this->session,
             this->requestId,
             this->acceptedAgeMs,
             this->readOnly,
             this->idempotent,
             this->waitedUs,
             this->settings,
             this->prepared,
             this->payload,
             this->inTransaction);
  }
};

/// A piece of the answer to one unit. Exactly one piece of each unit is final.
struct StatementReply
{
  std::uint64_t channel = 0;
  std::uint64_t sequence = 0;
  std::string database;
  bool finalPiece = false;
  char transactionStatus = 'I'; ///< 'I', 'T' or 'E' as in ReadyForQuery; set in the final piece.
  ResultCode code = ResultCode::Ok; ///< Not Ok: the owner refused the unit or it failed.
  RunState runState = RunState::Ran;
  std::string message;                 ///< Human-readable detail if `code` is not Ok.
  std::int64_t retryAfterMs = 0;       ///< Hint when to retry; 0: none.
  std::string payload;                 ///< Whole backend messages, without the final ReadyForQuery.
  std::uint64_t term = 0;              ///< Term of the primary in the directory of the owner.
  bool isWriteAcknowledgement = false; ///< The entry checks the lease before it relays the reply.
  std::int64_t leaseLeftUs = 0;        ///< Remaining lease when the reply was sent.
  /// `sentUs` of the last LinkPing received from this entry; 0: none yet.
  std::int64_t pingEchoUs = 0;
  bool fromReplica = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel,
             this->sequence,
             this->database,
             this->finalPiece,
             this->transactionStatus,
             this->code,
             this->runState,
             this->message,
             this->retryAfterMs,
             this->payload,
             this->term,
             this->isWriteAcknowledgement,
             this->leaseLeftUs,
             this->pingEchoUs,
             this->fromReplica);
  }
};

/// Cancels the unit if it is queued or still running.
struct CancelStatement
{
  std::uint64_t channel = 0;
  std::uint64_t sequence = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel, this->sequence);
  }
};

/// The caller session ended; an open transaction is rolled back.
struct CloseChannel
{
  std::uint64_t channel = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->channel);
  }
};

/// Keep-alive that PeerLinks sends on ready links. Owners echo its time in replies, from which the
/// entry computes how long the lease of the owner is valid.
struct LinkPing
{
  std::int64_t sentUs = 0; ///< On the monotonic clock of the sender.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->sentUs);
  }
};

/// Answer to a LinkPing.
struct LinkPong
{
  std::int64_t sentUs = 0; ///< Copied from the ping.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->sentUs);
  }
};

// --- Proxy to control -------------------------------------------------------------------------

/// Status of one slot, a backend server of a database, as its owner sees it.
struct SlotObservation
{
  std::string slot;
  bool reachable = false;
  bool isPrimary = false;
  std::uint64_t term = 0;     ///< Term of `received`.
  std::uint64_t received = 0; ///< Log offset up to which entries are durable on the server.
  std::uint64_t applied = 0;  ///< Log offset up to which entries are visible to reads.
  std::int64_t silentMs = 0;  ///< Time since the last successful status answer.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->slot,
             this->reachable,
             this->isPrimary,
             this->term,
             this->received,
             this->applied,
             this->silentMs);
  }
};

/// Report of an owner about one database.
struct OwnerReport
{
  std::string database;
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  bool released = false; ///< The owner acknowledges no more writes under this epoch.
  /// Set during a planned change or the shutdown of the owner: nothing is running on the primary,
  /// and nothing will be started there.
  bool drained = false;
  std::uint64_t drainedOffset = 0; ///< Log offset of the primary once drained.
  std::vector<SlotObservation> slots;
  std::vector<std::string> proposedInSync; ///< Proposed in-sync set; empty: no change.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database,
             this->epoch,
             this->term,
             this->released,
             this->drained,
             this->drainedOffset,
             this->slots,
             this->proposedInSync);
  }
};

/// Units of one class at one proxy since its start, for `ctl status`.
struct ClassService
{
  std::string workClass;
  std::uint64_t served = 0;
  std::uint64_t servedInTarget = 0; ///< Served within the target of the class.
  std::uint64_t refused = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->workClass, this->served, this->servedInTarget, this->refused);
  }
};

/// Periodic report of a proxy to the control group.
struct Heartbeat
{
  InstanceInfo instance;
  std::uint64_t sequence = 0;
  std::int64_t sentUs = 0;            ///< On the monotonic clock of the proxy; echoed in the reply.
  std::uint64_t directoryVersion = 0; ///< Version of the directory that the proxy uses.
  std::vector<OwnerReport> owned;
  std::vector<ClassService> service;
  std::vector<BackendReport> backends;
  std::uint64_t leaderTerm = 0; ///< Consensus term of the leader whose clock `positions` use.
  std::vector<PositionSample> positions;
  std::vector<OperationCount> operationCounts; ///< Only organisations that were active.
  std::uint64_t quotaNumber = 0; ///< Highest QuotaShare::number that this proxy applies.
  std::vector<CommitReport> commits;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance,
             this->sequence,
             this->sentUs,
             this->directoryVersion,
             this->owned,
             this->service,
             this->backends,
             this->leaderTerm,
             this->positions,
             this->operationCounts,
             this->quotaNumber,
             this->commits);
  }
};

/// Ownership lease of one database. It starts at `sentUs` of the heartbeat that it answers.
struct LeaseGrant
{
  std::string database;
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  std::int64_t lengthUs = 0; ///< 0: the owner must release now and report `released`.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->epoch, this->term, this->lengthUs);
  }
};

/// Answer of the control leader to a heartbeat, possibly relayed by a follower.
struct HeartbeatReply
{
  std::string instance; ///< Id of the proxy that sent the heartbeat.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::int64_t sentUs = 0; ///< Copied from the heartbeat.
  bool accepted = false;   ///< False: the control group has no leader at present.
  /// Directory version of the leader; the proxy is ready once it has reached it.
  std::uint64_t committedVersion = 0;
  std::vector<LeaseGrant> leases;
  /// Link addresses of the control group's members.
  std::vector<std::string> controlAddresses;
  std::uint32_t proxyCount = 0; ///< Live proxies; 0 if not known.
  /// Empty: the previous grants stay in force.
  std::vector<ConnectionGrant> connections;
  std::uint64_t leaderTerm = 0;
  std::int64_t leaderUs = 0; ///< Time of the answer on the monotonic clock of the leader.
  /// Positions that other proxies reported.
  std::vector<PositionSample> positions;
  /// Shares that changed; the others stay in force and are confirmed by this reply.
  std::vector<QuotaShare> quotaShares;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance,
             this->incarnation,
             this->sequence,
             this->sentUs,
             this->accepted,
             this->committedVersion,
             this->leases,
             this->controlAddresses,
             this->proxyCount,
             this->connections,
             this->leaderTerm,
             this->leaderUs,
             this->positions,
             this->quotaShares);
  }
};

// --- Directory: the part of the control state that proxies use ----------------------------------

/// A class of work and its latency target. `deleted` rows are tombstones.
struct ClassRow
{
  std::string name;
  std::int64_t targetMs = 0;
  std::uint64_t version = 0;
  bool deleted = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name, this->targetMs, this->version, this->deleted);
  }
};

/// One slot: a backend server of a database.
struct SlotRow
{
  std::string name;
  std::string zone;
  std::string address;    ///< "ip:port".
  bool departing = false; ///< The server announced that it leaves.
  bool silent = false;    ///< No announcement arrived within the limit.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name, this->zone, this->address, this->departing, this->silent);
  }
};

/// Phase of an automatic or planned change of the primary of a database.
enum class FailoverPhase : std::uint8_t
{
  Steady = 0,
  Fencing = 1,   ///< Until the owner has released the database or its lease has expired.
  Promoting = 2, ///< `primary` and `term` name the chosen slot; its promotion is not confirmed.
  Waiting = 3,   ///< Until a slot of the in-sync set is usable.
  Draining = 4,  ///< Planned change: the owner ends its transactions and starts none.
};

/// A database with its slots, its primary and its owner.
struct DatabaseRow
{
  std::string name;
  std::string service;
  /// Connections of the owner over all slots, including one per slot for monitoring.
  std::uint32_t connectionLimit = 0;
  std::vector<SlotRow> slots;
  std::uint64_t term = 0;          ///< Term of the primary.
  std::string primary;             ///< Slot name; empty before the first announcement of a primary.
  std::vector<std::string> inSync; ///< Slot names of the in-sync set, including the primary.
  std::string owner;               ///< Instance id; empty for none.
  std::uint64_t ownerIncarnation = 0;
  std::string ownerAddress;     ///< Link address of the owner.
  std::uint64_t ownerEpoch = 0; ///< Grows with each change of the owner.
  FailoverPhase phase = FailoverPhase::Steady;
  std::uint64_t version = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name,
             this->service,
             this->connectionLimit,
             this->slots,
             this->term,
             this->primary,
             this->inSync,
             this->owner,
             this->ownerIncarnation,
             this->ownerAddress,
             this->ownerEpoch,
             this->phase,
             this->version);
  }
};

/// Rows that changed after `fromVersion`, up to and including `version`.
struct DirectoryUpdate
{
  std::uint64_t fromVersion = 0;
  std::uint64_t version = 0;
  std::vector<ClassRow> classes;
  std::vector<DatabaseRow> databases;
  std::vector<RouteRow> routes;
  std::vector<ServiceRow> services;
  std::vector<BackendRow> backends;
  std::vector<PrimaryRow> primaries;
  std::uint64_t configurationNumber = 0; ///< Version that the operator gave routes and services.
  std::uint32_t transactionIdleMs = 0;   ///< See RouteConfiguration.
  std::vector<OrganisationRow> organisations;
  bool usesOrganisations = false; ///< See RouteConfiguration.
  /// The rows are the whole directory: the receiver drops those that are not among them.
  bool isComplete = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->fromVersion,
             this->version,
             this->classes,
             this->databases,
             this->routes,
             this->services,
             this->backends,
             this->primaries,
             this->configurationNumber,
             this->transactionIdleMs,
             this->organisations,
             this->usesOrganisations,
             this->isComplete);
  }
};

// --- Between control members ------------------------------------------------------------------

/// What `command` of a LogEntry holds.
enum class LogEntryKind : std::uint8_t
{
  Command = 0,
  Membership = 1, ///< `command` is the encoded list of members.
  TermStart = 2,  ///< First entry of a term; `command` is empty.
};

/// One entry of the replicated log of the control group.
struct LogEntry
{
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  std::string command; ///< Encoded control command or list of members.
  LogEntryKind kind = LogEntryKind::Command;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->index, this->command, this->kind);
  }
};

/// RequestVote of Raft.
struct VoteRequest
{
  std::uint64_t term = 0;
  std::string candidate;
  std::uint64_t lastIndex = 0;
  std::uint64_t lastTerm = 0;
  bool preVote = false; ///< Only asks whether the vote would be granted.
  /// Member id that the request is for, which may be an earlier member of the instance that it
  /// reaches. Empty if the sender is of an earlier version.
  std::string recipient{};

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->term, this->candidate, this->lastIndex, this->lastTerm, this->preVote, this->recipient);
  }
};

/// Why a vote or pre-vote was refused. Only for log lines.
enum class VoteRefusal : std::uint8_t
{
  Unknown = 0,      ///< Granted, or the voter runs an earlier version, which gives no reason.
  OlderTerm = 1,    ///< The term of the candidate is not new to the voter.
  LongerLog = 2,    ///< The log of the voter has a newer or further last entry.
  RecentLeader = 3, ///< The voter leads, has a current leader, or started just now.
  Storing = 4,      ///< The term or vote of the voter is not durable yet.
  OtherVote = 5,    ///< The voter has voted for another candidate of the term.
};

struct VoteReply
{
  std::uint64_t term = 0;
  std::string voter;
  bool granted = false;
  bool preVote = false;
  /// Earlier versions send and read the fields before it; a missing one decodes to the default.
  VoteRefusal refusal = VoteRefusal::Unknown;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->voter, this->granted, this->preVote, this->refusal);
  }
};

/// AppendEntries of Raft. Without entries it is a heartbeat.
struct AppendRequest
{
  std::uint64_t term = 0;
  std::string leader;
  std::uint64_t previousIndex = 0;
  std::uint64_t previousTerm = 0;
  std::uint64_t commitIndex = 0;
  /// Send time: microseconds since the sender became leader, plus 1; 0: none. The reply echoes it,
  /// and the leader computes from it how long its lease is valid.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
  std::string recipient{}; ///< As in VoteRequest.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term,
             this->leader,
             this->previousIndex,
             this->previousTerm,
             this->commitIndex,
             this->round,
             this->entries,
             this->recipient);
  }
};

struct AppendReply
{
  std::uint64_t term = 0;
  std::string follower;
  bool success = false;
  /// On success, the last index up to which the log matches that of the leader; on failure, the
  /// `previousIndex` that the leader should try next.
  std::uint64_t matchIndex = 0;
  std::uint64_t round = 0; ///< Copied from the request.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->follower, this->success, this->matchIndex, this->round);
  }
};

/// InstallSnapshot of Raft: one piece of a snapshot.
struct SnapshotRequest
{
  std::uint64_t term = 0;
  std::string leader;
  std::uint64_t lastIndex = 0;
  std::uint64_t lastTerm = 0;
  std::uint64_t offset = 0; ///< Bytes before this piece.
  bool lastPiece = false;
  std::string data;
  std::uint64_t round = 0; ///< As in AppendRequest.
  std::string recipient{}; ///< As in VoteRequest.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term,
             this->leader,
             this->lastIndex,
             this->lastTerm,
             this->offset,
             this->lastPiece,
             this->data,
             this->round,
             this->recipient);
  }
};

struct SnapshotReply
{
  std::uint64_t term = 0;
  std::string follower;
  std::uint64_t lastIndex = 0;
  std::uint64_t received = 0; ///< Bytes that the follower has received.
  bool installed = false;
  std::uint64_t round = 0; ///< Copied from the request.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->term, this->follower, this->lastIndex, this->received, this->installed, this->round);
  }
};

/// Request of a control instance to be added to the group as a learner.
struct JoinRequest
{
  InstanceInfo instance;
  std::string memberId; ///< From the identity file in its data folder.
  bool hasLog = false;  ///< True once the member has received a part of a group's log.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance, this->memberId, this->hasLog);
  }
};

/// Sent by a control member that is about to stop, to the leader, until it no longer votes.
struct LeaveRequest
{
  std::string memberId;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->memberId);
  }
};

/// Batch of heartbeats that a follower forwards to the leader.
struct RelayedHeartbeats
{
  std::vector<Heartbeat> heartbeats;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->heartbeats);
  }
};

/// Batch of answers that the leader returns through a follower.
struct RelayedReplies
{
  std::vector<HeartbeatReply> replies;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->replies);
  }
};

/// Every message of the link protocol. The index of a type in this list is its number on the wire,
/// so new types go at the end.
using Message = std::variant<Hello,
                             StatementRequest,
                             StatementReply,
                             CancelStatement,
                             CloseChannel,
                             LinkPing,
                             LinkPong,
                             Heartbeat,
                             HeartbeatReply,
                             DirectoryUpdate,
                             VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotRequest,
                             SnapshotReply,
                             JoinRequest,
                             RelayedHeartbeats,
                             RelayedReplies,
                             RelayOpen,
                             RelayOpened,
                             RelayStatement,
                             RelayResult,
                             RelayClose,
                             LeaveRequest,
                             TokenRequest,
                             TokenReply,
                             RelayedTokenRequests,
                             RelayedTokenReplies>;

} // namespace oleanderledge
