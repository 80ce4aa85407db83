#include "oleanderledge/entry/internal/Forwarder.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// How long a reply of the former owner is awaited after the database has a new owner. A new owner
/// is assigned only after the former one has released the database or its lease has expired, so
/// only replies already in transit can still arrive. The longest one-way delay between regions is
/// 12 ms.
constexpr Duration kFormerOwnerReplyTimeout = std::chrono::seconds(1);

/// Leases are never longer than this; a larger value in a reply is treated as corrupt.
constexpr std::int64_t kMaxLeaseUs = 60'000'000;

StatementReply BuildFailure(const ForwardUnit& aUnit, ResultCode aCode, RunState aRunState)
{
  StatementReply reply;
  reply.channel = aUnit.request.channel;
  reply.database = aUnit.request.database;
  reply.finalPiece = true;
  reply.code = aCode;
  reply.runState = aRunState;
  return reply;
}

/// True for refusals that a later attempt can avoid, once the owner or the primary has changed.
bool IsRetriable(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::NoOwner:
    case ResultCode::NoPrimary:
    case ResultCode::NotOwner:
    case ResultCode::ShuttingDown:
    case ResultCode::BackendConnectionLost:
      return true;
    default:
      return false;
  }
}

/// True if the lease in a write acknowledgement has not expired. Only this process's clock is used:
/// the remaining lease counts from the send time of the last ping, which the owner echoes.
bool IsLeaseInForce(const StatementReply& aReply, Instant aNow)
{
  if (aReply.pingEchoUs <= 0 || aReply.leaseLeftUs <= 0 || aReply.leaseLeftUs > kMaxLeaseUs) {
    return false;
  }
  const Instant ping = FromMicroseconds(aReply.pingEchoUs);
  return ping <= aNow && aNow < ping + Duration{ aReply.leaseLeftUs };
}

std::size_t BytesOf(const StatementRequest& aRequest)
{
  std::size_t bytes = aRequest.payload.size();
  for (const PreparedStatement& prepared : aRequest.prepared) {
    bytes += prepared.parseMessage.size();
  }
  return bytes;
}

} // namespace

Forwarder::Forwarder(const EntryLimits& aLimits, std::uint64_t aSeed)
  : limits(aLimits)
  , backOff(aSeed)
{
}

Forwarder::Actions Forwarder::ApplyDirectory(std::shared_ptr<const Directory> aDirectory,
                                             Instant aNow)
{
  Actions actions;
  this->directory = std::move(aDirectory);
  std::vector<std::pair<Instant, std::uint64_t>> dispatchable;
  for (auto& [id, channel] : this->channels) {
    if (!channel.unit) {
      continue;
    }
    Unit& unit = *channel.unit;
    if (unit.state == UnitState::Waiting) {
      dispatchable.emplace_back(unit.forward.arrived, id);
      continue;
    }
    const DatabaseRow* row = this->directory->FindDatabase(unit.forward.request.database);
    if (row == nullptr || row->ownerEpoch == unit.epoch) {
      continue;
    }
    if (unit.state == UnitState::BackingOff) {
      dispatchable.emplace_back(unit.forward.arrived, id);
    } else if (!unit.timer) {
      this->SetState(id, unit, UnitState::Sent, aNow + kFormerOwnerReplyTimeout);
    }
  }
  std::sort(dispatchable.begin(), dispatchable.end());
  for (const auto& [arrived, id] : dispatchable) {
    this->Dispatch(id, this->channels.at(id), aNow, actions);
  }
  return actions;
}

Forwarder::Actions Forwarder::OnLinkReady(const std::string& aAddress, Instant aNow)
{
  Actions actions;
  this->readyLinks.insert(aAddress);
  const auto candidates = this->waiting;
  for (const auto& [arrived, id] : candidates) {
    this->Dispatch(id, this->channels.at(id), aNow, actions);
  }
  return actions;
}

Forwarder::Actions Forwarder::OnLinkClosed(const std::string& aAddress, Instant aNow)
{
  Actions actions;
  this->readyLinks.erase(aAddress);
  for (auto& [id, channel] : this->channels) {
    channel.contactedOwners.erase(aAddress);
    if (channel.transactionOwnerAddress == aAddress) {
      channel.transactionOwnerAddress.clear();
    }
    if (channel.unit && channel.unit->state == UnitState::Sent &&
        channel.unit->address == aAddress) {
      this->HandleUnknownOutcome(
        id,
        channel,
        BuildFailure(channel.unit->forward, ResultCode::OutcomeUnknown, RunState::Unknown),
        aNow,
        actions);
    }
  }
  return actions;
}

Forwarder::Actions Forwarder::Submit(ForwardUnit&& aUnit, Instant aNow)
{
  Actions actions;
  const std::uint64_t id = aUnit.request.channel;
  Channel& channel = this->channels[id];
  channel.unit = Unit{};
  Unit& unit = *channel.unit;
  unit.forward = std::move(aUnit);
  unit.deadline = unit.forward.arrived + this->limits.waitLimit;
  ++this->statistics.forwarded;
  ++this->unsentUnits;
  this->bufferedBytes += BytesOf(unit.forward.request);
  this->SetState(id, unit, UnitState::Waiting, unit.deadline);
  if (this->unsentUnits > this->limits.maxWaitingUnits ||
      this->bufferedBytes > this->limits.maxBufferedBytes) {
    this->FinishWithFailure(id, channel, ResultCode::Overloaded, RunState::NotRun, actions);
    return actions;
  }
  this->Dispatch(id, channel, aNow, actions);
  return actions;
}

void Forwarder::Dispatch(std::uint64_t aId, Channel& aChannel, Instant aNow, Actions& aActions)
{
  Unit& unit = *aChannel.unit;
  const StatementRequest& request = unit.forward.request;
  if (request.inTransaction) {
    if (aChannel.transactionOwnerAddress.empty() ||
        !this->readyLinks.contains(aChannel.transactionOwnerAddress)) {
      this->FinishWithFailure(
        aId, aChannel, ResultCode::BackendConnectionLost, RunState::NotRun, aActions);
      return;
    }
    this->SendUnit(aId,
                   aChannel,
                   aChannel.transactionOwnerAddress,
                   aChannel.transactionOwnerEpoch,
                   aNow,
                   aActions);
    return;
  }
  if (!this->directory || this->directory->Version() == 0) {
    this->SetState(aId, unit, UnitState::Waiting, unit.deadline);
    return;
  }
  const DatabaseRow* row = this->directory->FindDatabase(request.database);
  if (row == nullptr) {
    this->FinishWithFailure(aId, aChannel, ResultCode::UnknownDatabase, RunState::NotRun, aActions);
    return;
  }
  if (row->owner.empty() || row->ownerAddress.empty()) {
    this->SetState(aId, unit, UnitState::Waiting, unit.deadline);
    return;
  }
  if (!this->readyLinks.contains(row->ownerAddress)) {
    this->SetState(aId, unit, UnitState::Waiting, unit.deadline);
    aActions.emplace_back(OpenOwnerLink{ row->ownerAddress });
    return;
  }
  this->SendUnit(aId, aChannel, row->ownerAddress, row->ownerEpoch, aNow, aActions);
}

void Forwarder::SendUnit(std::uint64_t aId,
                         Channel& aChannel,
                         const std::string& aAddress,
                         std::uint64_t aEpoch,
                         Instant aNow,
                         Actions& aActions)
{
  Unit& unit = *aChannel.unit;
  unit.address = aAddress;
  unit.epoch = aEpoch;
  unit.sequence = aChannel.nextSequence++;
  unit.leaseExpired = false;
  StatementRequest request = unit.forward.request;
  request.sequence = unit.sequence;
  request.ownerEpoch = aEpoch;
  request.waitedUs = (aNow - unit.forward.arrived).count();
  aChannel.contactedOwners.insert(aAddress);
  this->SetState(aId, unit, UnitState::Sent, std::nullopt);
  aActions.emplace_back(SendToOwner{ aAddress, std::move(request) });
}

Forwarder::Actions Forwarder::OnReply(const std::string& aAddress,
                                      StatementReply&& aReply,
                                      Instant aNow)
{
  Actions actions;
  const auto found = this->channels.find(aReply.channel);
  if (found == this->channels.end() || !found->second.unit ||
      found->second.unit->state != UnitState::Sent ||
      found->second.unit->sequence != aReply.sequence || found->second.unit->address != aAddress) {
    ++this->statistics.repliesIgnored;
    return actions;
  }
  Channel& channel = found->second;
  Unit& unit = *channel.unit;
  if (aReply.code == ResultCode::Ok && aReply.isWriteAcknowledgement &&
      !IsLeaseInForce(aReply, aNow)) {
    unit.leaseExpired = true;
  }
  if (aReply.finalPiece) {
    this->HandleFinalPiece(aReply.channel, channel, std::move(aReply), aNow, actions);
  } else if (!unit.leaseExpired) {
    unit.piecesDelivered = true;
    actions.emplace_back(DeliverPiece{ std::move(aReply) });
  }
  return actions;
}

void Forwarder::HandleFinalPiece(std::uint64_t aId,
                                 Channel& aChannel,
                                 StatementReply&& aReply,
                                 Instant aNow,
                                 Actions& aActions)
{
  Unit& unit = *aChannel.unit;
  const bool isOpen = aReply.transactionStatus == 'T' || aReply.transactionStatus == 'E';
  aChannel.transactionOwnerAddress = isOpen ? unit.address : std::string{};
  aChannel.transactionOwnerEpoch = unit.epoch;
  if (unit.leaseExpired) {
    StatementReply failure =
      BuildFailure(unit.forward, ResultCode::LeaseExpired, RunState::Unknown);
    failure.transactionStatus = aReply.transactionStatus;
    this->HandleUnknownOutcome(aId, aChannel, std::move(failure), aNow, aActions);
    return;
  }
  if (aReply.code == ResultCode::Ok) {
    this->budget.RecordSuccess(aNow);
    if (unit.forward.request.readOnly) {
      ++(aReply.fromReplica ? this->statistics.replicaReads : this->statistics.primaryReads);
    }
    this->FinishUnit(aId, aChannel, std::move(aReply), aActions);
    return;
  }
  if (aReply.runState == RunState::Unknown) {
    this->HandleUnknownOutcome(aId, aChannel, std::move(aReply), aNow, aActions);
    return;
  }
  const bool shouldRetry = aReply.runState == RunState::NotRun && IsRetriable(aReply.code) &&
                           !isOpen && !unit.forward.request.inTransaction &&
                           !unit.piecesDelivered && !unit.canceled && aNow < unit.deadline;
  if (!shouldRetry) {
    this->FinishUnit(aId, aChannel, std::move(aReply), aActions);
    return;
  }
  unit.lastRefusal = std::move(aReply);
  this->BackOffUntilRetry(aId, unit, aNow);
}

void Forwarder::HandleUnknownOutcome(std::uint64_t aId,
                                     Channel& aChannel,
                                     StatementReply&& aFailure,
                                     Instant aNow,
                                     Actions& aActions)
{
  Unit& unit = *aChannel.unit;
  unit.mayHaveRun = true;
  const bool isOpen = aFailure.transactionStatus != 'I';
  const bool shouldResend = unit.forward.isRetrySafe && !unit.forward.request.inTransaction &&
                            !isOpen && !unit.piecesDelivered && !unit.canceled &&
                            aNow < unit.deadline && this->budget.TryConsume(aNow);
  if (!shouldResend) {
    this->FinishUnit(aId, aChannel, std::move(aFailure), aActions);
    return;
  }
  ++this->statistics.resends;
  this->BackOffUntilRetry(aId, unit, aNow);
}

void Forwarder::BackOffUntilRetry(std::uint64_t aId, Unit& aUnit, Instant aNow)
{
  ++aUnit.failures;
  const Instant next = aNow + this->backOff.Next(aUnit.failures);
  this->SetState(aId, aUnit, UnitState::BackingOff, std::min(next, aUnit.deadline));
}

Forwarder::Actions Forwarder::OnSendFailed(std::uint64_t aChannel,
                                           std::uint64_t aSequence,
                                           Instant aNow)
{
  Actions actions;
  const auto found = this->channels.find(aChannel);
  if (found == this->channels.end() || !found->second.unit ||
      found->second.unit->state != UnitState::Sent || found->second.unit->sequence != aSequence) {
    return actions;
  }
  Unit& unit = *found->second.unit;
  if (unit.forward.request.inTransaction) {
    this->FinishWithFailure(
      aChannel, found->second, ResultCode::BackendConnectionLost, RunState::NotRun, actions);
  } else {
    this->BackOffUntilRetry(aChannel, unit, aNow);
  }
  return actions;
}

Forwarder::Actions Forwarder::Cancel(std::uint64_t aChannel, Instant /*aNow*/)
{
  Actions actions;
  const auto found = this->channels.find(aChannel);
  if (found == this->channels.end() || !found->second.unit) {
    return actions;
  }
  ++this->statistics.cancels;
  Unit& unit = *found->second.unit;
  unit.canceled = true;
  if (unit.state == UnitState::Sent) {
    actions.emplace_back(SendToOwner{ unit.address, CancelStatement{ aChannel, unit.sequence } });
  } else {
    this->FinishWithFailure(
      aChannel, found->second, ResultCode::QueryCanceled, RunState::NotRun, actions);
  }
  return actions;
}

Forwarder::Actions Forwarder::CloseChannel(std::uint64_t aChannel)
{
  Actions actions;
  const auto found = this->channels.find(aChannel);
  if (found == this->channels.end()) {
    return actions;
  }
  this->RemoveUnit(aChannel, found->second);
  for (const std::string& address : found->second.contactedOwners) {
    actions.emplace_back(SendToOwner{ address, oleanderledge::CloseChannel{ aChannel } });
  }
  this->channels.erase(found);
  return actions;
}

Forwarder::Actions Forwarder::Tick(Instant aNow)
{
  Actions actions;
  while (!this->timers.empty() && this->timers.begin()->first <= aNow) {
    const std::uint64_t id = this->timers.begin()->second;
    this->HandleTimer(id, this->channels.at(id), aNow, actions);
  }
  return actions;
}

void Forwarder::HandleTimer(std::uint64_t aId, Channel& aChannel, Instant aNow, Actions& aActions)
{
  Unit& unit = *aChannel.unit;
  if (unit.state == UnitState::Sent) {
    // The former owner may still have the unit or an open transaction of this channel. Closing the
    // channel there prevents either from running on while the new owner serves the channel.
    aActions.emplace_back(SendToOwner{ unit.address, oleanderledge::CloseChannel{ aId } });
    aChannel.contactedOwners.erase(unit.address);
    aChannel.transactionOwnerAddress.clear();
    this->HandleUnknownOutcome(
      aId,
      aChannel,
      BuildFailure(unit.forward, ResultCode::OutcomeUnknown, RunState::Unknown),
      aNow,
      aActions);
    return;
  }
  if (aNow < unit.deadline) {
    this->Dispatch(aId, aChannel, aNow, aActions);
    return;
  }
  if (unit.lastRefusal) {
    this->FinishUnit(aId, aChannel, StatementReply(*unit.lastRefusal), aActions);
    return;
  }
  this->FinishWithFailure(aId, aChannel, ResultCode::NoOwner, RunState::NotRun, aActions);
}

std::optional<Instant> Forwarder::NextTimer() const
{
  return this->timers.empty() ? std::nullopt : std::optional(this->timers.begin()->first);
}

void Forwarder::FinishWithFailure(std::uint64_t aId,
                                  Channel& aChannel,
                                  ResultCode aCode,
                                  RunState aRunState,
                                  Actions& aActions)
{
  this->FinishUnit(aId, aChannel, BuildFailure(aChannel.unit->forward, aCode, aRunState), aActions);
}

void Forwarder::FinishUnit(std::uint64_t aId,
                           Channel& aChannel,
                           StatementReply&& aReply,
                           Actions& aActions)
{
  const Unit& unit = *aChannel.unit;
  // NotRun is reported only if it holds for every attempt, not just for the last one.
  if (aReply.code != ResultCode::Ok && aReply.runState == RunState::NotRun &&
      (unit.mayHaveRun || unit.piecesDelivered)) {
    if (aReply.code != ResultCode::QueryCanceled) {
      aReply.code = ResultCode::OutcomeUnknown;
    }
    aReply.runState = RunState::Unknown;
    aReply.message.clear();
    aReply.retryAfterMs = 0;
  }
  this->RemoveUnit(aId, aChannel);
  aActions.emplace_back(DeliverPiece{ std::move(aReply) });
}

void Forwarder::SetState(std::uint64_t aId,
                         Unit& aUnit,
                         UnitState aState,
                         std::optional<Instant> aTimer)
{
  const std::pair position(aUnit.forward.arrived, aId);
  if (aUnit.state == UnitState::Waiting) {
    this->waiting.erase(position);
  }
  if (aState == UnitState::Waiting) {
    this->waiting.insert(position);
  }
  if (aUnit.state != UnitState::Sent && aState == UnitState::Sent) {
    --this->unsentUnits;
  } else if (aUnit.state == UnitState::Sent && aState != UnitState::Sent) {
    ++this->unsentUnits;
  }
  if (aUnit.timer) {
    this->timers.erase({ *aUnit.timer, aId });
  }
  if (aTimer) {
    this->timers.emplace(*aTimer, aId);
  }
  aUnit.state = aState;
  aUnit.timer = aTimer;
}

void Forwarder::RemoveUnit(std::uint64_t aId, Channel& aChannel)
{
  if (!aChannel.unit) {
    return;
  }
  this->SetState(aId, *aChannel.unit, UnitState::Sent, std::nullopt);
  this->bufferedBytes -= BytesOf(aChannel.unit->forward.request);
  aChannel.unit.reset();
}

} // namespace oleanderledge
