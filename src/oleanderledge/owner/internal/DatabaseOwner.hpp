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
/// writes under the lease. Pure: each event method records actions, which TakeActions() hands out.
class DatabaseOwner
{
public:
  /// `aZone` is the zone of this process; `aCounters` outlives the owner.
  DatabaseOwner(std::string aZone,
                std::unique_ptr<Scheduler> aScheduler,
                ServiceCounters& aCounters);

  // Events of control.
  void ApplyRow(const DatabaseRow& aRow, Instant aNow);
  void ApplyClasses(std::span<const ClassTarget> aClasses);
  void ApplyLease(const LeaseGrant& aGrant, Instant aHeartbeatSent, Instant aNow);
  /// Graceful stop of the process: nothing new is dispatched, transactions may finish.
  void BeginRelease(Instant aNow);
  /// The directory names another owner: everything ends now.
  void ReleaseImmediately(Instant aNow);

  // Events of entries.
  void Submit(LinkId aLink, StatementRequest&& aRequest, Instant aNow);
  void Cancel(LinkId aLink, const CancelStatement& aCancel, Instant aNow);
  void CloseChannel(ChannelKey aChannel, Instant aNow);
  void CloseLink(LinkId aLink, Instant aNow);

  // Events of backend servers.
  void ConnectionOpened(ConnectionId aConnection, Instant aNow);
  /// The connection failed to open or was lost; also follows CloseConnection in the adapter's
  /// discretion, in which case it is ignored.
  void ConnectionLost(ConnectionId aConnection, std::string_view aReason, Instant aNow);
  void BackendMessage(ConnectionId aConnection, const MessageView& aMessage, Instant aNow);
  void CancelFinished(ConnectionId aConnection, Instant aNow);
  void SlotStatusReceived(const SlotStatus& aStatus, Instant aNow);
  void SlotUnreachable(std::string_view aSlot, Instant aNow);

  /// Drives all time limits; call at least every 50 ms, and every 5 ms while HasWork().
  void Tick(Instant aNow);

  std::vector<OwnerAction> TakeActions() { return std::exchange(this->actions, {}); }

  // Queries.
  OwnerReport Report(Instant aNow) const;
  const DatabaseRow& Row() const { return this->row; }
  bool HasWork() const;
  /// True while writes wait for the in-sync set, so that positions are asked for more often.
  bool HasHeldWrites() const;
  /// True once released or drained for a stop, with no unit running.
  bool IsIdle() const;
  /// The link whose unit the connection serves, for back-pressure; 0 for none.
  LinkId LinkOf(ConnectionId aConnection);

private:
  struct Unit
  {
    std::uint64_t id = 0;
    LinkId link = 0;
    StatementRequest request;
    Instant arrival;
    ConnectionId connection = 0; ///< 0 while queued.
    std::uint64_t epoch = 0;     ///< When it was dispatched.
    std::uint64_t term = 0;
    bool channelClosed = false;
    bool cancelRequested = false;
    bool fromReplica = false;
    int connectionLosses = 0; ///< Connections lost before the statement was sent.

    ChannelKey Channel() const { return { this->link, this->request.channel }; }
  };

  // Admission and dispatch.
  void AnswerLostTransaction(const Unit& aUnit, Instant aNow);
  void Enqueue(Unit&& aUnit, Instant aNow);
  void ProcessQueue(Instant aNow);
  void ExpireQueued(Instant aNow);
  void ExcludePlannedPause(Instant aNow);
  void DispatchQueued(Instant aNow);
  bool CanDispatch(Instant aNow) const;
  bool PrimaryIsUsable(Instant aNow) const;
  bool SlotIsUsable(const SlotState& aState, Instant aNow) const;
  /// True once the slot must not receive new work because it departs.
  bool IsExcludedAsDeparting(const SlotState& aState, Instant aNow) const;
  /// The slot with an idle connection that can run the unit now; empty if there is none. Counts the
  /// unit in `wanted` if a connection is all that is missing.
  std::string ChooseSlot(const Unit& aUnit, Instant aNow);
  std::string ChooseReadSlot(const Unit& aUnit, Instant aNow);
  void StartUnit(Unit& aUnit, PooledConnection& aConnection, Instant aNow);
  void ContinueTransaction(Unit&& aUnit, PooledConnection& aConnection, Instant aNow);
  void RefuseQueued(std::uint64_t aId, const Refusal& aRefusal, Instant aNow);
  void FailQueued(ResultCode aCode, Instant aNow);
  void ManageConnections(Instant aNow);

  // Running units.
  void AfterExecutionStep(PooledConnection& aConnection, Instant aNow);
  void SendCancel(PooledConnection& aConnection);
  void FinishUnit(PooledConnection& aConnection, Instant aNow);
  void ReplyOrHoldResult(const Unit& aUnit, UnitResult&& aResult, Instant aNow);
  void RequeueOrFailUnit(PooledConnection& aConnection, std::string_view aReason, Instant aNow);
  void ReturnToPool(PooledConnection& aConnection, Instant aNow);
  void HandleResetMessage(PooledConnection& aConnection, const MessageView& aMessage, Instant aNow);
  void RecordServiceTime(PooledConnection& aConnection, Instant aNow);
  void CloseAndRemove(ConnectionId aConnection, std::string_view aReason, Instant aNow);
  void CloseMatching(const std::function<bool(const PooledConnection&)>& aMatches,
                     std::string_view aReason,
                     Instant aNow);

  // Acknowledgement.
  void AcknowledgeReceivedWrites(Instant aNow);
  void FailHeldAcknowledgements(ResultCode aCode, Instant aNow);
  void UpdateBasePosition(const SlotStatus& aStatus);
  bool CanAcknowledgeWrites(Instant aNow) const;

  // Replies.
  StatementReply MakeReply(const Unit& aUnit) const;
  void ReplyFailure(const Unit& aUnit,
                    ResultCode aCode,
                    RunState aRunState,
                    std::string_view aMessage,
                    char aStatus,
                    Duration aRetryAfter,
                    Instant aNow);
  void Reply(LinkId aLink, StatementReply&& aReply, Instant aNow);
  void CountServed(const std::string& aClass, Instant aArrival, Instant aNow);

  // Release and draining.
  bool HasOpenWork() const;
  bool HasPrimaryWork() const;
  void ReleaseIfReady(Instant aNow);
  void FinishRelease(Instant aNow);
  void CloseReplacedConnections(const DatabaseRow& aPrevious, Instant aNow);

  std::string SessionKeyOf(const Unit& aUnit) const;
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
  std::map<std::string, std::size_t>
    unitsAwaitingConnection; ///< Units per slot that lack only a connection.

  Instant termAppliedAt{};  ///< When the row of the present term was applied.
  Instant quiescentSince{}; ///< Draining: when the last work on the primary ended.
  bool requestsTableExists = false;
  bool stopping = false;
  bool releaseRequested = false;
  Instant releaseRequestedAt{};
  bool released = false;
  bool leaseWasValid = false;
  Instant drainingSince{};
  bool inPlannedChange = false;
  Instant pauseStarted{};
  Instant pauseExcludedUntil{};

  std::vector<OwnerAction> actions;
};

} // namespace oleanderledge
