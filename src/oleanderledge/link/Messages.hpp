#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/PositionSample.hpp"
#include "oleanderledge/link/RelayMessages.hpp"
#include "oleanderledge/link/RouteRows.hpp"
#include "oleanderledge/link/SessionSetting.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleanderledge {

// Each struct lists its fields once, in `visit`, in wire order. New fields go at the end: a decoder
// accepts both missing and additional trailing fields.

/// Version of the link protocol; peers with another version are rejected.
constexpr std::uint32_t kLinkProtocolVersion = 1;

enum class InstanceRole : std::uint8_t
{
  Proxy = 0,
  Control = 1,
  Tool = 2,
};

/// Identity of one running process. `incarnation` is unique for each process start.
struct InstanceInfo
{
  std::string id;
  std::uint64_t incarnation = 0;
  InstanceRole role = InstanceRole::Proxy;
  std::string zone;        ///< "region/zone".
  std::string linkAddress; ///< "ip:port".
  std::string httpAddress; ///< "ip:port".
  bool leaving = false;

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

/// One unit of work: the caller's messages up to and including one Query or Sync.
struct StatementRequest
{
  std::uint64_t channel = 0;  ///< Caller session at the entry, unique for the link.
  std::uint64_t sequence = 0; ///< Grows by one for each unit of the channel.
  std::string database;
  std::uint64_t ownerEpoch = 0;    ///< Epoch by which the entry chose the owner.
  std::string workClass;           ///< Empty: none stated.
  std::string caller;              ///< Start-up user.
  std::string session;             ///< Empty: the session is this channel alone.
  std::string requestId;           ///< Empty: none stated.
  std::int64_t acceptedAgeMs = -1; ///< -1: none stated.
  bool readOnly = false;           ///< Session or transaction is read-only.
  bool idempotent = false;
  std::int64_t waitedUs = 0; ///< Time since the unit arrived at the entry.
  std::vector<SessionSetting> settings;
  std::vector<PreparedStatement> prepared;
  std::string payload; ///< Whole frontend messages.
  /// True for units that continue a transaction which this owner opened for the channel. If the
  /// owner does not hold that transaction it answers with SQLSTATE 25P01-like failure
  /// `BackendConnectionLost`.
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
  char transactionStatus = 'I'; ///< 'I', 'T' or 'E' as in ReadyForQuery; valid in the final piece.
  ResultCode code = ResultCode::Ok; ///< Other than ok: the proxy refuses or fails the unit.
  RunState runState = RunState::Ran;
  std::string message;           ///< Detail for people if code is not ok.
  std::int64_t retryAfterMs = 0; ///< Hint; 0 for none.
  std::string payload;           ///< Whole backend messages, without the final ReadyForQuery.
  std::uint64_t term = 0;
  bool isWriteAcknowledgement = false; ///< The entry checks the lease before relaying.
  std::int64_t leaseLeftUs = 0;        ///< Remaining lease when the reply was sent.
  std::int64_t pingEchoUs = 0;         ///< `sentUs` of the last LinkPing received from this entry.
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

/// Sent by the entry every 200 ms on links to owners.
struct LinkPing
{
  std::int64_t sentUs = 0; ///< Monotonic clock of the sender.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->sentUs);
  }
};

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

/// What an owner knows about one slot.
struct SlotObservation
{
  std::string slot;
  bool reachable = false;
  bool isPrimary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0; ///< Durable on the server.
  std::uint64_t applied = 0;  ///< Visible to reads.
  std::int64_t silentMs = 0;  ///< Time since the last good status answer.

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

/// What an owner reports about one owned database.
struct OwnerReport
{
  std::string database;
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  bool released = false; ///< The owner acknowledges nothing any more under this epoch.
  bool drained = false;  ///< Planned change: no transaction runs and no new one is dispatched.
  std::uint64_t drainedOffset = 0;
  std::vector<SlotObservation> slots;
  std::vector<std::string> proposedInSync; ///< Empty: no change proposed.

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

/// Service of one class at one proxy since its start, for `ctl status`.
struct ClassService
{
  std::string workClass;
  std::uint64_t served = 0;
  std::uint64_t servedInTarget = 0;
  std::uint64_t refused = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->workClass, this->served, this->servedInTarget, this->refused);
  }
};

struct Heartbeat
{
  InstanceInfo instance;
  std::uint64_t sequence = 0;
  std::int64_t sentUs = 0;            ///< Monotonic clock of the proxy; echoed in the reply.
  std::uint64_t directoryVersion = 0; ///< Version the proxy has in force.
  std::vector<OwnerReport> owned;
  std::vector<ClassService> service;
  std::vector<BackendReport> backends;
  std::uint64_t leaderTerm = 0; ///< Term of the leader whose clock `positions` refer to.
  std::vector<PositionSample> positions;

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
             this->positions);
  }
};

/// Lease of one database, counted from the heartbeat's `sentUs`.
struct LeaseGrant
{
  std::string database;
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  std::int64_t lengthUs = 0; ///< 0: release now; the owner confirms with `released`.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->database, this->epoch, this->term, this->lengthUs);
  }
};

/// Answer to a heartbeat. It comes from the leader, possibly through a relay.
struct HeartbeatReply
{
  std::string instance; ///< Receiver's id.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::int64_t sentUs = 0;            ///< Copied from the heartbeat.
  bool accepted = false;              ///< False: the control group has no leader at present.
  std::uint64_t committedVersion = 0; ///< Leader's version; the proxy is ready once it has it.
  std::vector<LeaseGrant> leases;
  /// Link addresses of the control group's members.
  std::vector<std::string> controlAddresses;
  std::uint32_t proxyCount = 0; ///< Live proxies; 0 if not known.
  /// Empty: as before.
  std::vector<ConnectionGrant> connections;
  std::uint64_t leaderTerm = 0;
  std::int64_t leaderUs = 0; ///< Monotonic clock of the leader when it answered.
  /// Positions that other proxies reported.
  std::vector<PositionSample> positions;

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
             this->positions);
  }
};

// --- Directory: the part of the control state that proxies use ----------------------------------

/// A class of work and its target. `deleted` rows are tombstones.
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

struct SlotRow
{
  std::string name;
  std::string zone;
  std::string address; ///< "ip:port".
  bool departing = false;
  bool silent = false; ///< No announcement within the limit.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name, this->zone, this->address, this->departing, this->silent);
  }
};

enum class FailoverPhase : std::uint8_t
{
  Steady = 0,
  Fencing = 1,   ///< The owner releases or its lease is waited out.
  Promoting = 2, ///< `primary` and `term` name the decided slot; it is not yet confirmed.
  Waiting = 3,   ///< The in-sync set has no usable slot; the database waits for one.
  Draining = 4,  ///< Planned change: the owner drains.
};

struct DatabaseRow
{
  std::string name;
  std::string service;
  std::uint32_t connectionLimit = 0;
  std::vector<SlotRow> slots;
  std::uint64_t term = 0;
  std::string primary;             ///< Slot name; empty before the first announcement of a primary.
  std::vector<std::string> inSync; ///< Slot names, with the primary.
  std::string owner;               ///< Instance id; empty for none.
  std::uint64_t ownerIncarnation = 0;
  std::string ownerAddress; ///< Link address of the owner.
  std::uint64_t ownerEpoch = 0;
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
  std::uint64_t configurationNumber = 0; ///< The operator's version of routes and services.
  std::uint32_t transactionIdleMs = 0;

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
             this->transactionIdleMs);
  }
};

// --- Between control members ------------------------------------------------------------------

enum class LogEntryKind : std::uint8_t
{
  Command = 0,
  Membership = 1, ///< `command` is the encoded list of members.
  TermStart = 2,  ///< First entry of a term; `command` is empty.
};

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

struct VoteRequest
{
  std::uint64_t term = 0;
  std::string candidate;
  std::uint64_t lastIndex = 0;
  std::uint64_t lastTerm = 0;
  bool preVote = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->candidate, this->lastIndex, this->lastTerm, this->preVote);
  }
};

struct VoteReply
{
  std::uint64_t term = 0;
  std::string voter;
  bool granted = false;
  bool preVote = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->voter, this->granted, this->preVote);
  }
};

struct AppendRequest
{
  std::uint64_t term = 0;
  std::string leader;
  std::uint64_t previousIndex = 0;
  std::uint64_t previousTerm = 0;
  std::uint64_t commitIndex = 0;
  std::uint64_t round = 0; ///< Heartbeat round, echoed for the leader lease.
  std::vector<LogEntry> entries;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term,
             this->leader,
             this->previousIndex,
             this->previousTerm,
             this->commitIndex,
             this->round,
             this->entries);
  }
};

struct AppendReply
{
  std::uint64_t term = 0;
  std::string follower;
  bool success = false;
  std::uint64_t matchIndex = 0; ///< On failure: a hint where the logs may agree.
  std::uint64_t round = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->term, this->follower, this->success, this->matchIndex, this->round);
  }
};

/// One piece of a snapshot.
struct SnapshotRequest
{
  std::uint64_t term = 0;
  std::string leader;
  std::uint64_t lastIndex = 0;
  std::uint64_t lastTerm = 0;
  std::uint64_t offset = 0; ///< Bytes before this piece.
  bool lastPiece = false;
  std::string data;
  std::uint64_t round = 0;

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
             this->round);
  }
};

struct SnapshotReply
{
  std::uint64_t term = 0;
  std::string follower;
  std::uint64_t lastIndex = 0;
  std::uint64_t received = 0; ///< Bytes the follower holds.
  bool installed = false;
  std::uint64_t round = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->term, this->follower, this->lastIndex, this->received, this->installed, this->round);
  }
};

/// A control instance asks the leader to admit it as a learner.
struct JoinRequest
{
  InstanceInfo instance;
  std::string memberId; ///< From the identity file of its data folder.
  bool hasLog = false;  ///< True once the member received anything of a group's log.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->instance, this->memberId, this->hasLog);
  }
};

/// Heartbeats that a follower passes on to the leader, batched.
struct RelayedHeartbeats
{
  std::vector<Heartbeat> heartbeats;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->heartbeats);
  }
};

struct RelayedReplies
{
  std::vector<HeartbeatReply> replies;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->replies);
  }
};

/// Every message of the link protocol. The index in this list is the type number on the wire, so
/// new types go at the end.
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
                             RelayClose>;

} // namespace oleanderledge
