#include "oleanderledge/owner/internal/DatabaseOwner.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

namespace {

/// A unit fails once it has lost this many connections before its statement was sent.
constexpr int kMaxConnectionLossesBeforeSend = 3;

/// If no eligible replica has an idle connection, a read waits for one until its waiting time
/// exceeds the target of its class divided by this; then the primary may serve it too.
constexpr int kReplicaWaitDivisor = 4;

/// Longest time that the acknowledgement of a finished write is held for the in-sync set. Removing
/// a stalled member takes about one second; a longer wait means that control cannot commit the
/// removal.
constexpr Duration kMaxAcknowledgementWait{ 10'000'000 };

/// A transaction that waits longer for its caller's next statement is rolled back, to free its
/// connection: the number of connections to a database is limited.
constexpr Duration kIdleTransactionTimeout{ 60'000'000 };

/// The same while the primary is drained or the process stops, because a planned change has a time
/// limit.
constexpr Duration kDrainingTransactionTimeout{ 3'000'000 };

/// Time that running units have to finish after control requested the release.
constexpr Duration kReleaseGracePeriod{ 500'000 };

/// Larger reply payloads are split at message boundaries, to stay far below the frame limit of a
/// link.
constexpr std::size_t kMaxReplyPieceBytes = std::size_t{ 1024 } * 1024;

/// A departing primary receives work until control has planned the change of primary, but not
/// longer than this: a departing slot must not receive new work after 3 s.
constexpr Duration kDepartingPrimaryGracePeriod{ 2'500'000 };

/// Longest part of a planned change that does not count against the targets of queued units. A
/// longer change indicates a fault, and queued units must expire so that callers receive an answer.
constexpr Duration kMaxExcludedPause{ 3'000'000 };

/// Retry delay that a reply suggests when a unit expired because no primary was usable.
constexpr Duration kNoPrimaryRetryAfter{ 500'000 };

} // namespace

DatabaseOwner::DatabaseOwner(std::string aZone,
                             std::unique_ptr<Scheduler> aScheduler,
                             ServiceCounters& aCounters)
  : zone(std::move(aZone))
  , scheduler(std::move(aScheduler))
  , counters(aCounters)
  , router(this->slots, this->sessions)
{
}

void DatabaseOwner::Log(LogEvent aEvent, std::string_view aDetail)
{
  std::string detail = "database=" + this->row.name;
  if (!aDetail.empty()) {
    detail += ' ';
    detail += aDetail;
  }
  this->AddAction(WriteOwnerLog{ aEvent, std::move(detail) });
}

// --- Control plane events ---

void DatabaseOwner::ApplyClasses(std::span<const ClassTarget> aClasses)
{
  this->classTargets.clear();
  this->defaultClass.clear();
  for (const ClassTarget& row : aClasses) {
    this->classTargets[row.name] = row.target;
    const auto longest = this->classTargets.find(this->defaultClass);
    if (longest == this->classTargets.end() || longest->second <= row.target) {
      this->defaultClass = row.name;
    }
  }
  this->scheduler->Configure(aClasses);
}

const std::string& DatabaseOwner::EffectiveClass(const std::string& aRequested) const
{
  return this->classTargets.contains(aRequested) ? aRequested : this->defaultClass;
}

void DatabaseOwner::ApplyRow(const DatabaseRow& aRow, Instant aNow)
{
  const DatabaseRow previous = std::exchange(this->row, aRow);
  const bool epochChanged = previous.ownerEpoch != aRow.ownerEpoch;
  const bool termChanged = previous.term != aRow.term;
  if (epochChanged && previous.ownerEpoch + 1 != aRow.ownerEpoch) {
    // At least one epoch was skipped, so another owner may have acknowledged writes meanwhile.
    this->sessions.Clear();
    this->slots.ClearPositionHistory();
  }
  if (epochChanged) {
    this->releaseRequested = false;
    this->released = false;
  }
  if (epochChanged || termChanged) {
    this->FailHeldAcknowledgements(ResultCode::OutcomeUnknown, aNow);
    this->Log(LogEvent::OwnershipChanged,
              "epoch=" + std::to_string(aRow.ownerEpoch) + " term=" + std::to_string(aRow.term) +
                " primary=" + aRow.primary);
  }
  if (termChanged) {
    this->termAppliedAt = aNow;
    this->requestsTableExists = false;
  }
  if (previous.phase != FailoverPhase::Draining && aRow.phase == FailoverPhase::Draining) {
    this->drainingSince = aNow;
    this->quiescentSince = aNow;
  }
  this->slots.ApplyRow(aRow, aNow);
  this->inSyncSet.ApplyRow(aRow);
  // The limit includes one monitoring connection per slot.
  const auto monitors = static_cast<std::uint32_t>(aRow.slots.size());
  const std::uint32_t limit =
    aRow.connectionLimit > monitors + 1 ? aRow.connectionLimit - monitors : 1;
  this->pool.SetLimit(limit);
  this->scheduler->SetCapacity(limit);
  this->CloseReplacedConnections(previous, aNow);
  this->ReleaseIfReady(aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::CloseReplacedConnections(const DatabaseRow& aPrevious, Instant aNow)
{
  if (!aPrevious.primary.empty() && aPrevious.primary != this->row.primary) {
    this->CloseMatching(
      [&](const PooledConnection& aConnection) { return aConnection.slot == aPrevious.primary; },
      "the primary was replaced",
      aNow);
  }
  for (const SlotRow& slot : aPrevious.slots) {
    const SlotState* state = this->slots.Find(slot.name);
    if (state == nullptr || state->row.address != slot.address) {
      this->CloseMatching(
        [&](const PooledConnection& aConnection) { return aConnection.slot == slot.name; },
        "the slot was removed or its address changed",
        aNow);
    }
  }
}

void DatabaseOwner::ApplyLease(const LeaseGrant& aGrant, Instant aHeartbeatSent, Instant aNow)
{
  if (aGrant.epoch < this->row.ownerEpoch || this->released) {
    return;
  }
  if (aGrant.lengthUs > 0) {
    if (!this->releaseRequested) {
      this->lease.Extend(aGrant, aHeartbeatSent, aNow);
    }
  } else if (aGrant.epoch == this->row.ownerEpoch && !this->releaseRequested) {
    this->releaseRequested = true;
    this->releaseRequestedAt = aNow;
    this->ReleaseIfReady(aNow);
  }
  this->ProcessQueue(aNow);
}

void DatabaseOwner::BeginRelease(Instant aNow)
{
  this->stopping = true;
  this->drainingSince = aNow;
  this->quiescentSince = aNow;
}

bool DatabaseOwner::HasPrimaryWork() const
{
  return !this->held.IsEmpty() || this->pool.BusyCountOn(this->row.primary) > 0;
}

bool DatabaseOwner::HasOpenWork() const
{
  const auto busy = this->pool.Select([](const PooledConnection& aConnection) {
    return aConnection.phase == ConnectionPhase::Running ||
           aConnection.phase == ConnectionPhase::InTransaction;
  });
  return !this->held.IsEmpty() || !busy.empty();
}

void DatabaseOwner::ReleaseIfReady(Instant aNow)
{
  if (!this->releaseRequested || this->released) {
    return;
  }
  // Work on a lost primary cannot finish; waiting for it would delay the failover.
  const bool immediate = !HasPrimaryInService(this->row) ||
                         !this->slots.IsAlive(this->row.primary, aNow) ||
                         !this->lease.CoversEpoch(this->row.ownerEpoch, aNow) ||
                         aNow - this->releaseRequestedAt >= kReleaseGracePeriod;
  if (immediate || !this->HasOpenWork()) {
    this->FinishRelease(aNow);
  }
}

void DatabaseOwner::FinishRelease(Instant aNow)
{
  this->lease.Relinquish();
  this->released = true;
  this->FailHeldAcknowledgements(ResultCode::LeaseExpired, aNow);
  this->FailQueued(ResultCode::NotOwner, aNow);
  this->CloseMatching([](const PooledConnection&) { return true; }, "ownership was released", aNow);
  this->Log(LogEvent::OwnershipReleased, "epoch=" + std::to_string(this->row.ownerEpoch));
}

void DatabaseOwner::ReleaseImmediately(Instant aNow)
{
  if (!this->released) {
    this->FinishRelease(aNow);
  }
}

// --- Admission ---

std::string DatabaseOwner::SessionKeyOf(const Unit& aUnit) const
{
  if (!aUnit.request.session.empty()) {
    return aUnit.request.session;
  }
  // The zero byte keeps these keys distinct from session names that callers choose.
  return std::string(1, '\0') + std::to_string(aUnit.link) + ":" +
         std::to_string(aUnit.request.channel);
}

void DatabaseOwner::Submit(LinkId aLink, StatementRequest&& aRequest, Instant aNow)
{
  Unit unit;
  unit.id = ++this->lastUnit;
  unit.link = aLink;
  unit.arrival = aNow - Duration{ std::max<std::int64_t>(aRequest.waitedUs, 0) };
  unit.request = std::move(aRequest);
  const ChannelKey channel = unit.Channel();
  if (this->channelUnits.contains(channel) || this->held.HasChannel(channel)) {
    this->ReplyFailure(unit,
                       ResultCode::ProtocolViolation,
                       RunState::NotRun,
                       "the channel already has a unit in progress",
                       'I',
                       Duration{ 0 },
                       aNow);
    return;
  }
  const auto open = this->transactions.find(channel);
  if (unit.request.inTransaction) {
    if (open == this->transactions.end()) {
      this->AnswerLostTransaction(unit, aNow);
      return;
    }
    this->ContinueTransaction(std::move(unit), *this->pool.Find(open->second), aNow);
    return;
  }
  if (open != this->transactions.end()) {
    // The entry considers the transaction ended, for example after it discarded a reply.
    this->ReturnToPool(*this->pool.Find(open->second), aNow);
  }
  if (this->released) {
    this->ReplyFailure(unit, ResultCode::NotOwner, RunState::NotRun, "", 'I', Duration{ 0 }, aNow);
    return;
  }
  this->Enqueue(std::move(unit), aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::AnswerLostTransaction(const Unit& aUnit, Instant aNow)
{
  const std::string_view sql = FirstSqlOf(aUnit.request);
  if (BeginsWithWord(sql, "ROLLBACK") || BeginsWithWord(sql, "ABORT")) {
    StatementReply reply = this->MakeReply(aUnit);
    reply.finalPiece = true;
    reply.payload = BuildAnswerForSkippedUnit(aUnit.request.payload, "ROLLBACK");
    this->Reply(aUnit.link, std::move(reply), aNow);
    return;
  }
  // The transaction stays in the failed state until the caller ends it. Otherwise its remaining
  // statements would run outside a transaction.
  const bool ends = BeginsWithWord(sql, "COMMIT") || BeginsWithWord(sql, "END");
  this->ReplyFailure(aUnit,
                     ResultCode::BackendConnectionLost,
                     RunState::NotRun,
                     "the transaction was lost and rolled back",
                     ends ? 'I' : 'E',
                     Duration{ 0 },
                     aNow);
}

void DatabaseOwner::Enqueue(Unit&& aUnit, Instant aNow)
{
  // A read with an accepted age must not fail because an owner or a backend server was lost. Its
  // target therefore counts from now, without the time that it waited at the entry for a new owner.
  const bool ignoresEarlierWait = aUnit.request.readOnly && aUnit.request.acceptedAgeMs >= 0;
  const ScheduledUnit scheduled{ aUnit.id,
                                 aUnit.request.workClass,
                                 aUnit.request.caller,
                                 aUnit.request.readOnly ? WorkLane::AnySlot : WorkLane::Primary,
                                 ignoresEarlierWait ? aNow : aUnit.arrival,
                                 aUnit.request.payload.size() };
  if (const auto refusal = this->scheduler->Admit(scheduled, aNow)) {
    this->counters.NoteRefused(this->EffectiveClass(aUnit.request.workClass));
    this->ReplyFailure(aUnit, refusal->code, RunState::NotRun, "", 'I', refusal->retryAfter, aNow);
    return;
  }
  aUnit.connection = 0;
  const std::uint64_t id = aUnit.id;
  this->channelUnits[aUnit.Channel()] = id;
  this->units.insert_or_assign(id, std::move(aUnit));
}

void DatabaseOwner::RefuseQueued(std::uint64_t aId, const Refusal& aRefusal, Instant aNow)
{
  const auto found = this->units.find(aId);
  if (found == this->units.end()) {
    return;
  }
  const Unit unit = std::move(found->second);
  this->units.erase(found);
  this->channelUnits.erase(unit.Channel());
  this->counters.NoteRefused(this->EffectiveClass(unit.request.workClass));
  this->ReplyFailure(unit, aRefusal.code, RunState::NotRun, "", 'I', aRefusal.retryAfter, aNow);
}

void DatabaseOwner::FailQueued(ResultCode aCode, Instant aNow)
{
  std::vector<std::uint64_t> queued;
  for (const auto& [id, unit] : this->units) {
    if (unit.connection == 0) {
      queued.push_back(id);
    }
  }
  for (const std::uint64_t id : queued) {
    this->scheduler->Remove(id);
    this->RefuseQueued(id, { id, aCode, Duration{ 0 } }, aNow);
  }
}

void DatabaseOwner::ExcludePlannedPause(Instant aNow)
{
  switch (this->row.phase) {
    case FailoverPhase::Draining:
      this->inPlannedChange = true;
      break;
    case FailoverPhase::Steady:
    case FailoverPhase::Promoting:
      // The planned change lasts until the new primary is usable.
      this->inPlannedChange = this->inPlannedChange && !this->PrimaryIsUsable(aNow);
      break;
    case FailoverPhase::Fencing:
    case FailoverPhase::Waiting:
      this->inPlannedChange = false;
      break;
  }
  if (!this->inPlannedChange) {
    this->pauseStarted = Instant{};
    return;
  }
  if (this->pauseStarted == Instant{}) {
    this->pauseStarted = aNow;
    this->pauseExcludedUntil = aNow;
  }
  if (aNow - this->pauseStarted <= kMaxExcludedPause) {
    this->scheduler->ExcludePause(aNow - this->pauseExcludedUntil);
    this->pauseExcludedUntil = aNow;
  }
}

void DatabaseOwner::ExpireQueued(Instant aNow)
{
  for (Refusal refusal : this->scheduler->TakeExpired(aNow)) {
    const auto found = this->units.find(refusal.id);
    if (found == this->units.end()) {
      continue;
    }
    // Reports a missing lease or primary as such instead of an overload.
    if (!this->lease.CoversEpoch(this->row.ownerEpoch, aNow)) {
      refusal.code = ResultCode::NoOwner;
    } else if (!this->PrimaryIsUsable(aNow)) {
      refusal.code = found->second.request.acceptedAgeMs >= 0 ? ResultCode::NoEligibleReplica
                                                              : ResultCode::NoPrimary;
      refusal.retryAfter = kNoPrimaryRetryAfter;
    }
    this->RefuseQueued(refusal.id, refusal, aNow);
  }
}

// --- Dispatch ---

bool DatabaseOwner::CanDispatch(Instant aNow) const
{
  return !this->stopping && !this->releaseRequested &&
         this->lease.CoversEpoch(this->row.ownerEpoch, aNow);
}

bool DatabaseOwner::CanAcknowledgeWrites(Instant aNow) const
{
  return !this->released &&
         this->lease.CoversEpochAndTerm(this->row.ownerEpoch, this->row.term, aNow);
}

bool DatabaseOwner::PrimaryIsUsable(Instant aNow) const
{
  const SlotState* state = this->slots.Find(this->row.primary);
  return state != nullptr && this->row.phase == FailoverPhase::Steady && state->isPrimary &&
         state->received.term == this->row.term && this->SlotIsUsable(*state, aNow) &&
         this->lease.CoversEpochAndTerm(this->row.ownerEpoch, this->row.term, aNow);
}

bool DatabaseOwner::SlotIsUsable(const SlotState& aState, Instant aNow) const
{
  const bool passesSilenceCheck = !aState.row.silent || aState.row.name == this->row.primary;
  return passesSilenceCheck && !this->IsExcludedAsDeparting(aState, aNow) &&
         this->slots.IsAlive(aState.row.name, aNow);
}

bool DatabaseOwner::IsExcludedAsDeparting(const SlotState& aState, Instant aNow) const
{
  if (!aState.row.departing) {
    return false;
  }
  return aState.row.name != this->row.primary || !aState.departingSince ||
         aNow - *aState.departingSince > kDepartingPrimaryGracePeriod;
}

std::string DatabaseOwner::ChooseReadSlot(const Unit& aUnit, Instant aNow)
{
  const auto eligible = this->router.EligibleReplicas(
    this->row, this->SessionKeyOf(aUnit), aUnit.request.acceptedAgeMs, this->zone, aNow);
  for (const std::string& slot : eligible) {
    if (this->pool.HasIdle(slot)) {
      return slot;
    }
  }
  const auto target = this->classTargets.find(this->EffectiveClass(aUnit.request.workClass));
  const Duration maxReplicaWait =
    (target != this->classTargets.end() ? target->second : kDefaultTarget) / kReplicaWaitDivisor;
  if (this->PrimaryIsUsable(aNow) && (eligible.empty() || aNow - aUnit.arrival > maxReplicaWait)) {
    if (this->pool.HasIdle(this->row.primary)) {
      return this->row.primary;
    }
    ++this->unitsAwaitingConnection[this->row.primary];
  }
  if (!eligible.empty()) {
    ++this->unitsAwaitingConnection[eligible.front()];
  }
  return {};
}

std::string DatabaseOwner::ChooseSlot(const Unit& aUnit, Instant aNow)
{
  if (aUnit.request.readOnly) {
    return this->ChooseReadSlot(aUnit, aNow);
  }
  if (!this->PrimaryIsUsable(aNow)) {
    return {};
  }
  if (this->pool.HasIdle(this->row.primary)) {
    return this->row.primary;
  }
  ++this->unitsAwaitingConnection[this->row.primary];
  return {};
}

void DatabaseOwner::ProcessQueue(Instant aNow)
{
  this->ExcludePlannedPause(aNow);
  this->ExpireQueued(aNow);
  this->unitsAwaitingConnection.clear();
  if (this->CanDispatch(aNow)) {
    this->DispatchQueued(aNow);
    this->ManageConnections(aNow);
  }
}

void DatabaseOwner::DispatchQueued(Instant aNow)
{
  while (this->scheduler->QueuedCount() > 0) {
    std::map<std::uint64_t, std::string> choices;
    this->unitsAwaitingConnection.clear();
    const auto next = this->scheduler->TakeNext(aNow, [&](std::uint64_t aId) {
      std::string slot = this->ChooseSlot(this->units.at(aId), aNow);
      const bool runnable = !slot.empty();
      if (runnable) {
        choices.insert_or_assign(aId, std::move(slot));
      }
      return runnable;
    });
    if (!next) {
      return;
    }
    Unit& unit = this->units.at(*next);
    PooledConnection* connection = this->pool.FindIdle(choices.at(*next), unit.request);
    connection->inUseSince = aNow;
    connection->workClass = unit.request.workClass;
    connection->caller = unit.request.caller;
    unit.fromReplica = connection->slot != this->row.primary;
    this->StartUnit(unit, *connection, aNow);
  }
}

void DatabaseOwner::StartUnit(Unit& aUnit, PooledConnection& aConnection, Instant aNow)
{
  aUnit.connection = aConnection.id;
  aUnit.epoch = this->row.ownerEpoch;
  aUnit.term = this->row.term;
  aConnection.unit = aUnit.id;
  aConnection.channel = aUnit.Channel();
  aConnection.phase = ConnectionPhase::Running;
  aConnection.lastUsed = aNow;
  aConnection.execution = std::make_unique<UnitExecution>(aUnit.request, this->requestsTableExists);
  this->AddAction(
    SendToBackend{ aConnection.id, aConnection.execution->Start(aConnection.session) });
}

void DatabaseOwner::ContinueTransaction(Unit&& aUnit, PooledConnection& aConnection, Instant aNow)
{
  // Without a valid lease nothing may run, because another owner may be active.
  if (this->released || !this->lease.CoversEpoch(this->row.ownerEpoch, aNow)) {
    this->ReplyFailure(aUnit,
                       ResultCode::BackendConnectionLost,
                       RunState::NotRun,
                       "the ownership lease expired; the transaction was rolled back",
                       'E',
                       Duration{ 0 },
                       aNow);
    this->CloseAndRemove(aConnection.id, "the ownership lease expired", aNow);
    return;
  }
  aUnit.fromReplica = aConnection.slot != this->row.primary;
  const std::uint64_t id = aUnit.id;
  this->channelUnits[aUnit.Channel()] = id;
  Unit& stored = this->units.insert_or_assign(id, std::move(aUnit)).first->second;
  this->StartUnit(stored, aConnection, aNow);
}

void DatabaseOwner::ManageConnections(Instant aNow)
{
  std::set<std::string> usable;
  for (const auto& [name, state] : this->slots.Slots()) {
    if (this->SlotIsUsable(state, aNow)) {
      usable.insert(name);
    }
  }
  const ConnectionPool::Plan plan =
    this->pool.MakePlan(this->unitsAwaitingConnection, usable, aNow);
  for (const ConnectionId id : plan.close) {
    this->CloseAndRemove(id, "surplus", aNow);
  }
  for (const std::string& slot : plan.open) {
    this->AddAction(OpenConnection{ this->pool.Open(slot, aNow).id, slot });
  }
}

// --- Backend connections ---

void DatabaseOwner::ConnectionOpened(ConnectionId aConnection, Instant aNow)
{
  PooledConnection* connection = this->pool.Find(aConnection);
  if (connection == nullptr || connection->phase != ConnectionPhase::Opening) {
    return;
  }
  this->pool.NoteOpened(connection->slot);
  this->ReturnToPool(*connection, aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::ConnectionLost(ConnectionId aConnection, std::string_view aReason, Instant aNow)
{
  PooledConnection* connection = this->pool.Find(aConnection);
  if (connection == nullptr) {
    return;
  }
  if (connection->phase == ConnectionPhase::Opening) {
    this->pool.NoteOpenFailed(connection->slot, aNow);
  }
  this->Log(LogEvent::BackendConnectionLost,
            "slot=" + connection->slot + " reason=" + std::string(aReason));
  this->CloseAndRemove(aConnection, aReason, aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::CloseAndRemove(ConnectionId aConnection, std::string_view aReason, Instant aNow)
{
  PooledConnection* connection = this->pool.Find(aConnection);
  if (connection == nullptr) {
    return;
  }
  this->AddAction(CloseConnection{ aConnection });
  this->RecordServiceTime(*connection, aNow);
  if (connection->phase == ConnectionPhase::InTransaction) {
    this->transactions.erase(connection->channel);
  }
  if (connection->execution != nullptr) {
    this->RequeueOrFailUnit(*connection, aReason, aNow);
  }
  this->pool.Erase(aConnection);
}

void DatabaseOwner::CloseMatching(const std::function<bool(const PooledConnection&)>& aMatches,
                                  std::string_view aReason,
                                  Instant aNow)
{
  for (const ConnectionId id : this->pool.Select(aMatches)) {
    this->CloseAndRemove(id, aReason, aNow);
  }
}

void DatabaseOwner::RequeueOrFailUnit(PooledConnection& aConnection,
                                      std::string_view aReason,
                                      Instant aNow)
{
  const auto found = this->units.find(aConnection.unit);
  if (found == this->units.end()) {
    return;
  }
  Unit unit = std::move(found->second);
  this->units.erase(found);
  this->channelUnits.erase(unit.Channel());
  this->transactions.erase(unit.Channel());
  if (unit.channelClosed) {
    return;
  }
  const bool wasSent = aConnection.execution->IsStatementSent();
  if (!wasSent && !unit.request.inTransaction && !this->released && !unit.cancelRequested &&
      ++unit.connectionLosses < kMaxConnectionLossesBeforeSend) {
    this->Enqueue(std::move(unit), aNow);
    return;
  }
  this->ReplyFailure(unit,
                     ResultCode::BackendConnectionLost,
                     wasSent ? RunState::Unknown : RunState::NotRun,
                     aReason,
                     unit.request.inTransaction ? 'E' : 'I',
                     Duration{ 0 },
                     aNow);
}

void DatabaseOwner::RecordServiceTime(PooledConnection& aConnection, Instant aNow)
{
  if (aConnection.inUseSince == Instant{}) {
    return;
  }
  this->scheduler->RecordServiceTime(
    aConnection.workClass, aConnection.caller, aNow - aConnection.inUseSince);
  aConnection.inUseSince = Instant{};
}

void DatabaseOwner::ReturnToPool(PooledConnection& aConnection, Instant aNow)
{
  this->RecordServiceTime(aConnection, aNow);
  if (aConnection.phase == ConnectionPhase::InTransaction) {
    this->transactions.erase(aConnection.channel);
  }
  aConnection.execution.reset();
  aConnection.unit = 0;
  aConnection.channel = {};
  aConnection.lastUsed = aNow;
  const SlotState* state = this->slots.Find(aConnection.slot);
  if (aConnection.closeWhenFree || state == nullptr || this->IsExcludedAsDeparting(*state, aNow)) {
    this->CloseAndRemove(aConnection.id, "the slot is departing", aNow);
    return;
  }
  if (aConnection.transactionStatus != 'I') {
    aConnection.phase = ConnectionPhase::Resetting;
    this->AddAction(SendToBackend{ aConnection.id, BuildQuery("ROLLBACK") });
    return;
  }
  if (aConnection.pendingCancellations > 0) {
    // The server may process the cancellation after this unit has ended, when it would cancel the
    // next unit on the connection.
    aConnection.phase = ConnectionPhase::Quarantined;
    aConnection.session.RequireReset();
    return;
  }
  if (aConnection.session.NeedsReset()) {
    aConnection.phase = ConnectionPhase::Resetting;
    this->AddAction(SendToBackend{ aConnection.id, BuildQuery("DISCARD ALL") });
    return;
  }
  aConnection.phase = ConnectionPhase::Idle;
}

void DatabaseOwner::HandleResetMessage(PooledConnection& aConnection,
                                       const MessageView& aMessage,
                                       Instant aNow)
{
  if (aMessage.type == 'E') {
    this->CloseAndRemove(aConnection.id, "the session state could not be reset", aNow);
    this->ProcessQueue(aNow);
    return;
  }
  if (aMessage.type != 'Z') {
    return;
  }
  const bool wasRollback = aConnection.transactionStatus != 'I';
  aConnection.transactionStatus = aMessage.body.empty() ? 'I' : aMessage.body.front();
  if (wasRollback && aConnection.transactionStatus != 'I') {
    this->CloseAndRemove(aConnection.id, "the transaction could not be rolled back", aNow);
    return;
  }
  if (!wasRollback) {
    aConnection.session.NoteReset();
  }
  this->ReturnToPool(aConnection, aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::BackendMessage(ConnectionId aConnection,
                                   const MessageView& aMessage,
                                   Instant aNow)
{
  PooledConnection* connection = this->pool.Find(aConnection);
  if (connection == nullptr) {
    return;
  }
  if (connection->phase == ConnectionPhase::Resetting) {
    this->HandleResetMessage(*connection, aMessage, aNow);
    return;
  }
  if (connection->execution == nullptr) {
    // Notices and parameter changes may arrive at any time. Rows or the end of a command without a
    // query mean that the connection is out of step with the protocol.
    if (aMessage.type == 'Z' || aMessage.type == 'D' || aMessage.type == 'C') {
      this->CloseAndRemove(aConnection, "the server sent an unexpected message", aNow);
    }
    return;
  }
  std::string bytes = connection->execution->HandleMessage(aMessage, connection->session);
  if (!bytes.empty()) {
    this->AddAction(SendToBackend{ aConnection, std::move(bytes) });
  }
  this->AfterExecutionStep(*connection, aNow);
}

void DatabaseOwner::SendCancel(PooledConnection& aConnection)
{
  ++aConnection.pendingCancellations;
  this->AddAction(CancelOnBackend{ aConnection.id });
}

void DatabaseOwner::AfterExecutionStep(PooledConnection& aConnection, Instant aNow)
{
  Unit& unit = this->units.at(aConnection.unit);
  if (aConnection.execution->RequestsTableCreated()) {
    this->requestsTableExists = true;
  }
  if (aConnection.execution->TakeCancelRequested() ||
      (unit.cancelRequested && aConnection.execution->IsPayloadRunning())) {
    unit.cancelRequested = false;
    this->SendCancel(aConnection);
  }
  std::string piece = aConnection.execution->TakeStreamablePiece();
  if (!piece.empty() && !unit.channelClosed) {
    StatementReply reply = this->MakeReply(unit);
    reply.payload = std::move(piece);
    this->Reply(unit.link, std::move(reply), aNow);
  }
  if (aConnection.execution->IsFinished()) {
    this->FinishUnit(aConnection, aNow);
  }
}

void DatabaseOwner::FinishUnit(PooledConnection& aConnection, Instant aNow)
{
  const auto found = this->units.find(aConnection.unit);
  const Unit unit = std::move(found->second);
  this->units.erase(found);
  this->channelUnits.erase(unit.Channel());
  UnitResult result = aConnection.execution->TakeResult();
  aConnection.execution.reset();
  aConnection.unit = 0;
  aConnection.transactionStatus = result.transactionStatus;
  if (result.transactionStatus == 'I' || unit.channelClosed) {
    this->transactions.erase(unit.Channel());
    this->ReplyOrHoldResult(unit, std::move(result), aNow);
    this->ReturnToPool(aConnection, aNow);
  } else {
    aConnection.phase = ConnectionPhase::InTransaction;
    aConnection.lastUsed = aNow;
    this->transactions[unit.Channel()] = aConnection.id;
    this->ReplyOrHoldResult(unit, std::move(result), aNow);
  }
  this->ReleaseIfReady(aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::ReplyOrHoldResult(const Unit& aUnit, UnitResult&& aResult, Instant aNow)
{
  StatementReply reply = this->MakeReply(aUnit);
  reply.finalPiece = true;
  reply.transactionStatus = aResult.transactionStatus;
  reply.code = aResult.code;
  reply.runState = aResult.runState;
  reply.message = std::move(aResult.message);
  reply.payload = std::move(aResult.answer);
  if (!aResult.isWrite) {
    if (aUnit.channelClosed) {
      return;
    }
    if (reply.code == ResultCode::Ok) {
      this->CountServed(aUnit.request.workClass, aUnit.arrival, aNow);
    }
    this->Reply(aUnit.link, std::move(reply), aNow);
    return;
  }
  const bool sameOwnership =
    aUnit.epoch == this->row.ownerEpoch && aUnit.term == this->row.term && !this->released;
  const bool confirmed = aResult.positionKnown && aResult.positionIsPrimary &&
                         aResult.position.term == this->row.term && sameOwnership;
  if (confirmed) {
    this->sessions.NoteWrite(this->SessionKeyOf(aUnit), aResult.position);
  }
  if (aUnit.channelClosed) {
    return;
  }
  if (!confirmed) {
    this->ReplyFailure(aUnit,
                       ResultCode::OutcomeUnknown,
                       RunState::Unknown,
                       "the server is no longer the primary of this term",
                       aResult.transactionStatus,
                       Duration{ 0 },
                       aNow);
    return;
  }
  this->held.Add({ aUnit.link,
                   std::move(reply),
                   aResult.position,
                   aNow,
                   aUnit.arrival,
                   aUnit.request.workClass });
  this->AcknowledgeReceivedWrites(aNow);
}

// --- Acknowledgement ---

void DatabaseOwner::AcknowledgeReceivedWrites(Instant aNow)
{
  if (this->held.IsEmpty()) {
    return;
  }
  // Without a valid lease of this epoch and term another primary may have taken over, which need
  // not hold these writes.
  if (!this->CanAcknowledgeWrites(aNow)) {
    this->FailHeldAcknowledgements(ResultCode::LeaseExpired, aNow);
    return;
  }
  auto ready = this->held.TakeIf([&](const HeldAcknowledgement& aHeld) {
    return this->inSyncSet.IsReceivedByAll(aHeld.position, this->slots);
  });
  for (HeldAcknowledgement& entry : ready) {
    this->slots.NoteAcknowledged(entry.position);
    entry.reply.isWriteAcknowledgement = true;
    if (entry.reply.code == ResultCode::Ok) {
      this->CountServed(entry.workClass, entry.arrival, aNow);
    }
    this->Reply(entry.link, std::move(entry.reply), aNow);
  }
}

void DatabaseOwner::FailHeldAcknowledgements(ResultCode aCode, Instant aNow)
{
  for (HeldAcknowledgement& entry :
       this->held.TakeIf([](const HeldAcknowledgement&) { return true; })) {
    entry.reply.code = aCode;
    entry.reply.runState = RunState::Unknown;
    entry.reply.message = InfoOf(aCode).text;
    entry.reply.payload.clear();
    this->Reply(entry.link, std::move(entry.reply), aNow);
  }
}

void DatabaseOwner::UpdateBasePosition(const SlotStatus& aStatus)
{
  const bool isCurrentPrimary = aStatus.slot == this->row.primary && aStatus.isPrimary &&
                                aStatus.term == this->row.term && HasPrimaryInService(this->row);
  if (!isCurrentPrimary) {
    return;
  }
  const LogPosition position{ aStatus.term, aStatus.received };
  this->slots.AddSample(aStatus.queriedAt, position);
  const auto& base = this->sessions.Base();
  if (base && base->term == aStatus.term) {
    return;
  }
  // A status that was queried before the lease began may lack writes that the previous owner
  // acknowledged afterwards.
  if (!this->lease.CoversEpochAndTerm(this->row.ownerEpoch, this->row.term, aStatus.queriedAt) ||
      aStatus.queriedAt < this->lease.EpochStart() || aStatus.queriedAt < this->termAppliedAt) {
    return;
  }
  this->sessions.SetBase(position);
  this->slots.NoteAcknowledged(position);
}

void DatabaseOwner::SlotStatusReceived(const SlotStatus& aStatus, Instant aNow)
{
  this->slots.NoteStatus(aStatus, aNow);
  this->UpdateBasePosition(aStatus);
  const auto applied = this->slots.SmallestApplied(this->row.term, this->row.primary, aNow);
  if (applied) {
    this->sessions.ForgetUpTo({ this->row.term, *applied });
  }
  this->AcknowledgeReceivedWrites(aNow);
  this->ProcessQueue(aNow);
}

void DatabaseOwner::SlotUnreachable(std::string_view aSlot, Instant /*aNow*/)
{
  this->slots.NoteUnreachable(aSlot);
}

// --- Cancellation and disconnection ---

void DatabaseOwner::Cancel(LinkId aLink, const CancelStatement& aCancel, Instant aNow)
{
  const auto found = this->channelUnits.find({ aLink, aCancel.channel });
  if (found == this->channelUnits.end()) {
    return;
  }
  Unit& unit = this->units.at(found->second);
  if (unit.request.sequence != aCancel.sequence) {
    return;
  }
  if (unit.connection == 0) {
    const std::uint64_t id = unit.id;
    this->scheduler->Remove(id);
    this->RefuseQueued(id, { id, ResultCode::QueryCanceled, Duration{ 0 } }, aNow);
    return;
  }
  PooledConnection* connection = this->pool.Find(unit.connection);
  if (connection->execution->IsPayloadRunning()) {
    this->SendCancel(*connection);
  } else if (!connection->execution->IsStatementSent()) {
    unit.cancelRequested = true;
  }
}

void DatabaseOwner::CancelFinished(ConnectionId aConnection, Instant aNow)
{
  PooledConnection* connection = this->pool.Find(aConnection);
  if (connection == nullptr || connection->pendingCancellations == 0) {
    return;
  }
  --connection->pendingCancellations;
  if (connection->pendingCancellations == 0 && connection->phase == ConnectionPhase::Quarantined) {
    this->ReturnToPool(*connection, aNow);
    this->ProcessQueue(aNow);
  }
}

void DatabaseOwner::CloseChannel(ChannelKey aChannel, Instant aNow)
{
  this->held.TakeIf([&](const HeldAcknowledgement& aHeld) {
    return aHeld.link == aChannel.link && aHeld.reply.channel == aChannel.channel;
  });
  if (const auto found = this->channelUnits.find(aChannel); found != this->channelUnits.end()) {
    Unit& unit = this->units.at(found->second);
    if (unit.connection == 0) {
      const std::uint64_t id = unit.id;
      this->scheduler->Remove(id);
      this->channelUnits.erase(found);
      this->units.erase(id);
      return;
    }
    unit.channelClosed = true;
    PooledConnection* connection = this->pool.Find(unit.connection);
    // An autocommit write runs to its end. Reads and open transactions are cancelled, because their
    // results can no longer be delivered.
    if ((unit.request.inTransaction || unit.request.readOnly) &&
        connection->execution->IsPayloadRunning()) {
      this->SendCancel(*connection);
    }
    return;
  }
  if (const auto open = this->transactions.find(aChannel); open != this->transactions.end()) {
    this->ReturnToPool(*this->pool.Find(open->second), aNow);
    this->ProcessQueue(aNow);
  }
}

void DatabaseOwner::CloseLink(LinkId aLink, Instant aNow)
{
  std::set<ChannelKey> channels;
  for (const auto& [channel, unit] : this->channelUnits) {
    channels.insert(channel);
  }
  for (const auto& [channel, connection] : this->transactions) {
    channels.insert(channel);
  }
  for (const ChannelKey& channel : channels) {
    if (channel.link == aLink) {
      this->CloseChannel(channel, aNow);
    }
  }
  this->held.TakeIf([&](const HeldAcknowledgement& aHeld) { return aHeld.link == aLink; });
}

// --- Time limits ---

void DatabaseOwner::Tick(Instant aNow)
{
  const bool leaseIsValid = this->lease.CoversEpoch(this->row.ownerEpoch, aNow);
  if (this->leaseWasValid && !leaseIsValid && !this->released) {
    this->Log(LogEvent::OwnerLeaseExpired, "epoch=" + std::to_string(this->row.ownerEpoch));
  }
  this->leaseWasValid = leaseIsValid;
  this->AcknowledgeReceivedWrites(aNow);
  for (HeldAcknowledgement& entry : this->held.TakeIf([&](const HeldAcknowledgement& aHeld) {
         return aNow - aHeld.heldSince > kMaxAcknowledgementWait;
       })) {
    entry.reply.code = ResultCode::OutcomeUnknown;
    entry.reply.runState = RunState::Unknown;
    entry.reply.message = "the in-sync set did not confirm the write in time";
    entry.reply.payload.clear();
    this->Reply(entry.link, std::move(entry.reply), aNow);
  }
  const SlotState* primary = this->slots.Find(this->row.primary);
  this->inSyncSet.UpdateProposal(this->slots,
                                 aNow,
                                 this->held.OldestHeldSince(aNow),
                                 this->held.NewestPosition(),
                                 primary != nullptr ? primary->received : LogPosition{});
  const bool draining = this->stopping || this->row.phase == FailoverPhase::Draining;
  this->CloseMatching(
    [&](const PooledConnection& aConnection) {
      if (aConnection.phase != ConnectionPhase::InTransaction) {
        return false;
      }
      return aNow - aConnection.lastUsed > kIdleTransactionTimeout ||
             (draining && aNow - std::max(aConnection.lastUsed, this->drainingSince) >
                            kDrainingTransactionTimeout);
    },
    "the transaction was idle for too long",
    aNow);
  // A replica that stops responding without closing its connections would block their readers
  // indefinitely.
  this->CloseMatching(
    [&](const PooledConnection& aConnection) {
      return aConnection.slot != this->row.primary &&
             aConnection.phase != ConnectionPhase::Opening &&
             !this->slots.IsAlive(aConnection.slot, aNow);
    },
    "the server stopped responding",
    aNow);
  this->CloseMatching(
    [&](const PooledConnection& aConnection) {
      const SlotState* state = this->slots.Find(aConnection.slot);
      return aConnection.phase == ConnectionPhase::Idle && state != nullptr &&
             this->IsExcludedAsDeparting(*state, aNow);
    },
    "the slot is departing",
    aNow);
  if (this->HasPrimaryWork()) {
    this->quiescentSince = aNow;
  }
  this->ReleaseIfReady(aNow);
  this->ProcessQueue(aNow);
}

// --- Queries ---

bool DatabaseOwner::HasWork() const
{
  return this->scheduler->QueuedCount() > 0 || !this->held.IsEmpty() || !this->units.empty();
}

bool DatabaseOwner::HasHeldWrites() const
{
  return !this->held.IsEmpty();
}

bool DatabaseOwner::IsIdle() const
{
  return !this->HasOpenWork() && this->units.empty();
}

LinkId DatabaseOwner::LinkOf(ConnectionId aConnection)
{
  const PooledConnection* connection = this->pool.Find(aConnection);
  return connection != nullptr && connection->execution != nullptr ? connection->channel.link : 0;
}

OwnerReport DatabaseOwner::Report(Instant aNow) const
{
  OwnerReport report;
  report.database = this->row.name;
  report.epoch = this->row.ownerEpoch;
  report.term = this->row.term;
  report.released = this->released;
  report.proposedInSync = this->inSyncSet.ProposedMembers();
  for (const auto& [name, state] : this->slots.Slots()) {
    SlotObservation observation;
    observation.slot = name;
    observation.reachable = state.answered && state.reachable;
    observation.isPrimary = state.isPrimary;
    observation.term = state.received.term;
    observation.received = state.received.offset;
    observation.applied = state.applied.offset;
    observation.silentMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - state.lastAnswer).count();
    report.slots.push_back(std::move(observation));
  }
  const SlotState* primary = this->slots.Find(this->row.primary);
  const bool draining = this->stopping || this->row.phase == FailoverPhase::Draining;
  if (draining && primary != nullptr && !this->HasPrimaryWork() &&
      primary->lastQueriedAt > this->quiescentSince) {
    report.drained = true;
    report.drainedOffset = primary->received.offset;
  }
  return report;
}

// --- Replies ---

StatementReply DatabaseOwner::MakeReply(const Unit& aUnit) const
{
  StatementReply reply;
  reply.channel = aUnit.request.channel;
  reply.sequence = aUnit.request.sequence;
  reply.database = this->row.name;
  reply.term = this->row.term;
  reply.fromReplica = aUnit.fromReplica;
  return reply;
}

void DatabaseOwner::ReplyFailure(const Unit& aUnit,
                                 ResultCode aCode,
                                 RunState aRunState,
                                 std::string_view aMessage,
                                 char aStatus,
                                 Duration aRetryAfter,
                                 Instant aNow)
{
  if (aUnit.channelClosed) {
    return;
  }
  StatementReply reply = this->MakeReply(aUnit);
  reply.finalPiece = true;
  reply.transactionStatus = aStatus;
  reply.code = aCode;
  reply.runState = aRunState;
  reply.message = aMessage.empty() ? InfoOf(aCode).text : aMessage;
  reply.retryAfterMs = std::chrono::ceil<std::chrono::milliseconds>(aRetryAfter).count();
  this->Reply(aUnit.link, std::move(reply), aNow);
}

void DatabaseOwner::Reply(LinkId aLink, StatementReply&& aReply, Instant aNow)
{
  aReply.leaseLeftUs = this->lease.Remaining(aNow).count();
  if (aReply.payload.size() > kMaxReplyPieceBytes) {
    const std::string payload = std::exchange(aReply.payload, {});
    for (const MessageView& message : SplitMessages(payload)) {
      if (!aReply.payload.empty() &&
          aReply.payload.size() + message.whole.size() > kMaxReplyPieceBytes) {
        StatementReply piece = aReply;
        piece.finalPiece = false;
        this->AddAction(SendReply{ aLink, std::move(piece) });
        aReply.payload.clear();
      }
      aReply.payload.append(message.whole);
    }
  }
  this->AddAction(SendReply{ aLink, std::move(aReply) });
}

void DatabaseOwner::CountServed(const std::string& aClass, Instant aArrival, Instant aNow)
{
  const std::string& name = this->EffectiveClass(aClass);
  const auto target = this->classTargets.find(name);
  const Duration limit = target != this->classTargets.end() ? target->second : kDefaultTarget;
  this->counters.NoteServed(name, aNow - aArrival <= limit);
}

} // namespace oleanderledge
