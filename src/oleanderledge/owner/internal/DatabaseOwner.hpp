#pragma once

#include "oleanderledge/owner/internal/ConnectionPool.hpp"
#include "oleanderledge/owner/internal/HeldAcknowledgements.hpp"
#include "oleanderledge/owner/internal/InSyncSet.hpp"
#include "oleanderledge/owner/internal/OwnerLease.hpp"
#include "oleanderledge/owner/internal/ReadRouter.hpp"
#include "oleanderledge/owner/internal/ServiceCounters.hpp"
#include "oleanderledge/scheduling/scheduling.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleanderledge {

/// The owner of one database: admits units, runs them on backend connections, and acknowledges
/// writes while it holds the lease. Performs no I/O and reads no clock: each event method records
/// actions, which TakeActions() returns for the adapter to execute in order.
class DatabaseOwner
{
public:
  /// `aZone` is the zone of this process; `aCounters` outlives the owner.
  DatabaseOwner(std::string aZone,
                std::unique_ptr<Scheduler> aScheduler,
                ServiceCounters& aCounters);

  // Events from the control plane.
  void ApplyRow(const DatabaseRow& aRow, Instant aNow);
  void ApplyClasses(std::span<const ClassTarget> aClasses);
  /// Extends the lease. A grant with length 0 requests the release of the database. A grant of an
  /// older epoch is ignored.
  void ApplyLease(const LeaseGrant& aGrant, Instant aHeartbeatSent, Instant aNow);
  /// Starts a graceful stop of the process: queued units are no longer dispatched, open
  /// transactions may finish.
  void BeginRelease(Instant aNow);
  /// Releases the database without waiting for running units, because the directory names another
  /// owner. Queued units fail with NotOwner.
  void ReleaseImmediately(Instant aNow);

  // Events from entry processes.
  /// Queues a unit, or passes it to the connection of the channel's open transaction. Every
  /// outcome, also a refusal, is reported with SendReply.
  void Submit(LinkId aLink, StatementRequest&& aRequest, Instant aNow);
  void Cancel(LinkId aLink, const CancelStatement& aCancel, Instant aNow);
  void CloseChannel(ChannelKey aChannel, Instant aNow);
  void CloseLink(LinkId aLink, Instant aNow);

  // Events from backend servers.
  void ConnectionOpened(ConnectionId aConnection, Instant aNow);
  /// The connection could not be opened or was lost. Ignored for a connection that the owner has
  /// closed, so the adapter may also report it after CloseConnection.
  void ConnectionLost(ConnectionId aConnection, std::string_view aReason, Instant aNow);
  void BackendMessage(ConnectionId aConnection, const MessageView& aMessage, Instant aNow);
  void CancelFinished(ConnectionId aConnection, Instant aNow);
  void SlotStatusReceived(const SlotStatus& aStatus, Instant aNow);
  void SlotUnreachable(std::string_view aSlot, Instant aNow);

  /// Applies all time limits. Must be called at least every 50 ms, and every 5 ms while HasWork().
  void Tick(Instant aNow);

  std::vector<OwnerAction> TakeActions() { return std::exchange(this->actions, {}); }

  // Queries.
  /// The report on this database for the next heartbeat.
  OwnerReport Report(Instant aNow) const;
  const DatabaseRow& Row() const { return this->row; }
  /// True while a unit is queued or runs or an acknowledgement is held.
  bool HasWork() const;
  /// True while writes wait for the in-sync set; the status of the slots is then queried more
  /// often.
  bool HasHeldWrites() const;
  /// True while no unit is queued or runs, no transaction is open and no acknowledgement is held.
  bool IsIdle() const;
  /// The link whose unit runs on the connection, for back-pressure; 0 if no unit runs, or if it
  /// came over the in-process path, which has id 0 and no back-pressure.
  LinkId LinkOf(ConnectionId aConnection);

private:
  struct Unit
  {
    std::uint64_t id = 0;
    LinkId link = 0;
    StatementRequest request;
    Instant arrival;             ///< When the unit reached the entry.
    ConnectionId connection = 0; ///< 0 while queued.
    std::uint64_t epoch = 0;     ///< Of the ownership when the unit was dispatched.
    std::uint64_t term = 0;
    bool channelClosed = false;
    bool cancelRequested = false; ///< To be cancelled as soon as its payload runs.
    bool fromReplica = false;     ///< Runs on a slot other than the primary.
    int connectionLosses = 0;     ///< Connections lost before the statement was sent.

    ChannelKey Channel() const { return { this->link, this->request.channel }; }
  };

  // Admission and dispatch.
  /// Replies to a statement of a transaction whose connection was lost. ROLLBACK succeeds; anything
  /// else fails with BackendConnectionLost.
  void AnswerLostTransaction(const Unit& aUnit, Instant aNow);
  void Enqueue(Unit&& aUnit, Instant aNow);
  /// Expires and dispatches queued units, then opens and closes connections as needed.
  void ProcessQueue(Instant aNow);
  void ExpireQueued(Instant aNow);
  /// Excludes the time without a primary during a planned change from the targets of queued units.
  void ExcludePlannedPause(Instant aNow);
  void DispatchQueued(Instant aNow);
  bool CanDispatch(Instant aNow) const;
  bool PrimaryIsUsable(Instant aNow) const;
  bool SlotIsUsable(const SlotState& aState, Instant aNow) const;
  /// True if the slot receives no new work because it is departing. A departing primary is excluded
  /// only after a grace period.
  bool IsExcludedAsDeparting(const SlotState& aState, Instant aNow) const;
  /// The slot with an idle connection that can run the unit now; empty if there is none. If only a
  /// connection is missing, the unit is counted in `unitsAwaitingConnection`.
  std::string ChooseSlot(const Unit& aUnit, Instant aNow);
  std::string ChooseReadSlot(const Unit& aUnit, Instant aNow);
  void StartUnit(Unit& aUnit, PooledConnection& aConnection, Instant aNow);
  void ContinueTransaction(Unit&& aUnit, PooledConnection& aConnection, Instant aNow);
  /// Removes a unit that the scheduler no longer holds and replies with the refusal.
  void RefuseQueued(std::uint64_t aId, const Refusal& aRefusal, Instant aNow);
  /// Fails all queued units as not run.
  void FailQueued(ResultCode aCode, Instant aNow);
  void ManageConnections(Instant aNow);

  // Running units.
  void AfterExecutionStep(PooledConnection& aConnection, Instant aNow);
  void SendCancel(PooledConnection& aConnection);
  void FinishUnit(PooledConnection& aConnection, Instant aNow);
  /// Sends the result of a unit, or holds it until the in-sync set has received the write. A write
  /// whose position or ownership is not confirmed is answered with OutcomeUnknown.
  void ReplyOrHoldResult(const Unit& aUnit, UnitResult&& aResult, Instant aNow);
  /// Handles the loss of a running unit's connection: queues the unit again if its statement was
  /// not sent and it may still run, otherwise replies with BackendConnectionLost.
  void RequeueOrFailUnit(PooledConnection& aConnection, std::string_view aReason, Instant aNow);
  /// Makes the connection idle after a unit or transaction; rolls back, resets, quarantines or
  /// closes it first where needed.
  void ReturnToPool(PooledConnection& aConnection, Instant aNow);
  void HandleResetMessage(PooledConnection& aConnection, const MessageView& aMessage, Instant aNow);
  /// Reports to the scheduler how long the unit or transaction occupied the connection.
  void RecordServiceTime(PooledConnection& aConnection, Instant aNow);
  void CloseAndRemove(ConnectionId aConnection, std::string_view aReason, Instant aNow);
  void CloseMatching(const std::function<bool(const PooledConnection&)>& aMatches,
                     std::string_view aReason,
                     Instant aNow);

  // Acknowledgement.
  /// Sends the held acknowledgements that the in-sync set has received; fails them all with
  /// LeaseExpired if the lease does not allow acknowledgements.
  void AcknowledgeReceivedWrites(Instant aNow);
  void FailHeldAcknowledgements(ResultCode aCode, Instant aNow);
  /// Sets the base position of reads from a status of the present primary that was queried after
  /// the lease of this epoch began.
  void UpdateBasePosition(const SlotStatus& aStatus);
  bool CanAcknowledgeWrites(Instant aNow) const;

  // Replies.
  StatementReply MakeReply(const Unit& aUnit) const;
  /// Sends the final reply of a unit that failed. An empty `aMessage` means the default text of the
  /// code; `aStatus` is the transaction status of the channel afterwards (I, T or E).
  void ReplyFailure(const Unit& aUnit,
                    ResultCode aCode,
                    RunState aRunState,
                    std::string_view aMessage,
                    char aStatus,
                    Duration aRetryAfter,
                    Instant aNow);
  /// Sends a reply with the remaining lease; a large payload is split into several pieces.
  void Reply(LinkId aLink, StatementReply&& aReply, Instant aNow);
  void CountServed(const std::string& aClass, Instant aArrival, Instant aNow);

  // Release and draining.
  /// True while a connection runs a unit or a transaction or an acknowledgement is held.
  bool HasOpenWork() const;
  /// The same for work on the primary only.
  bool HasPrimaryWork() const;
  /// Completes a requested release once no work is open, the grace period is over, or the work can
  /// no longer finish.
  void ReleaseIfReady(Instant aNow);
  void FinishRelease(Instant aNow);
  /// Closes connections to a replaced primary and to slots that were removed or changed address.
  void CloseReplacedConnections(const DatabaseRow& aPrevious, Instant aNow);

  /// The session that the caller named, or a key made from link and channel.
  std::string SessionKeyOf(const Unit& aUnit) const;
  /// The requested class, or the class with the longest target if it is not known.
  const std::string& EffectiveClass(const std::string& aRequested) const;
  void Log(LogEvent aEvent, std::string_view aDetail);
  void AddAction(OwnerAction&& aAction) { this->actions.push_back(std::move(aAction)); }

  std::string zone;
  std::unique_ptr<Scheduler> scheduler;
  ServiceCounters& counters;
  std::map<std::string, Duration, std::less<>> classTargets;
  std::string defaultClass;

  DatabaseRow row;
  OwnerLease lease;
  SlotTracker slots;
  SessionPositions sessions;
  InSyncSet inSyncSet;
  ConnectionPool pool;
  HeldAcknowledgements held;
  ReadRouter router;

  std::map<std::uint64_t, Unit> units;
  std::map<ChannelKey, std::uint64_t> channelUnits;
  std::map<ChannelKey, ConnectionId> transactions; ///< Open transactions by channel.
  std::uint64_t lastUnit = 0;
  std::map<std::string, std::size_t> unitsAwaitingConnection; ///< Number of units by slot.

  Instant termAppliedAt{};  ///< When the row with the present term was applied.
  Instant quiescentSince{}; ///< Draining: when the last work on the primary ended.
  bool requestsTableExists = false;
  bool stopping = false;
  bool releaseRequested = false;
  Instant releaseRequestedAt{};
  bool released = false;
  bool leaseWasValid = false;
  Instant drainingSince{};
  bool inPlannedChange = false;
  Instant pauseStarted{};       ///< When the planned change began; zero outside of one.
  Instant pauseExcludedUntil{}; ///< The pause up to here is excluded from the targets.

  std::vector<OwnerAction> actions;
};

} // namespace oleanderledge
