#include "oleanderledge/statements/internal/BackendPool.hpp"

#include "oleanderledge/statements/internal/RelayedConnection.hpp"
#include "oleanderledge/statements/internal/SocketConnection.hpp"

#include <algorithm>
#include <optional>

namespace oleanderledge {

namespace {

/// Delay before the next connection attempt after the server rejected one because of its connection
/// limit, which other proxies have used up.
constexpr Duration kConnectionLimitPause = std::chrono::milliseconds(250);
/// Connections that are idle for longer are closed, so that other proxies may use the share. A
/// server counts the connections of a proxy that lost power for another 3 s, so few idle ones
/// should exist.
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
/// A server with pending statements that answers nothing for this time counts as failing. 15
/// times the mean execution time of a read in deployments, which is 20 ms.
constexpr Duration kNoResponseLimit = std::chrono::milliseconds(300);
/// Limit of borrowed connections, including requested ones. It only bounds memory, as relays queue
/// requests by priority.
constexpr std::size_t kMaxRelayedConnections = 64;
/// A server that recovers after a failure of this time or longer is paced. The shortest statement
/// timeout in deployments: a single long statement must not count as a failure.
constexpr Duration kPacedFailure = std::chrono::milliseconds(800);
/// A server that flaps is paced at each recovery. The end is logged at most once in this time.
constexpr Duration kPaceLogInterval = std::chrono::seconds(10);

} // namespace

BackendPool::BackendPool(const StatementProtocol& aProtocol,
                         const BackendRow& aRow,
                         RelayClient& aRelayClient,
                         bool aPacesStarts,
                         QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , relayClient(aRelayClient)
  , row(aRow)
  , pacesStarts(aPacesStarts)
{
}

void BackendPool::Update(const BackendRow& aRow)
{
  const bool isOther =
    aRow.address != this->row.address || aRow.startedUnixMs != this->row.startedUnixMs;
  this->row = aRow;
  if (isOther) {
    this->health = BackendHealth{};
    this->StartPace(MonotonicNow());
    for (BackendConnection* connection : std::vector(this->idle)) {
      this->Drop(connection, false);
    }
  }
}

void BackendPool::SetProvisionalLimit(std::uint32_t aLimit)
{
  if (!this->isGranted) {
    this->limit = aLimit;
  }
}

void BackendPool::ApplyGrant(const ConnectionGrant& aGrant)
{
  this->isGranted = true;
  this->limit = aGrant.connections;
  this->relays = aGrant.relays;
  for (const std::string& relay : this->relays) {
    this->relayClient.Connect(relay);
  }
  while (this->connections.size() > this->limit && !this->idle.empty()) {
    this->Drop(this->idle.front(), false);
  }
}

void BackendPool::ReleaseIdleRelayed()
{
  const auto next = [this] {
    return std::ranges::find_if(this->idle, &BackendConnection::IsRelayed);
  };
  for (auto found = next(); found != this->idle.end(); found = next()) {
    this->Drop(*found, false);
  }
}

void BackendPool::RecordDemand(std::size_t aConnections)
{
  this->demand = std::max(this->demand, static_cast<std::uint32_t>(aConnections));
}

std::uint32_t BackendPool::TakePeakDemand()
{
  const std::uint32_t taken =
    std::exchange(this->demand, static_cast<std::uint32_t>(this->InUse()));
  // Relays report the demand of the proxies that use them.
  return this->IsRelayed() ? 0 : taken;
}

bool BackendPool::CanOpen(Instant aNow) const
{
  if (this->IsRelayed()) {
    return this->connections.size() < kMaxRelayedConnections && this->health.AllowsAttempt(aNow) &&
           !this->relayClient.ChooseRelay(this->relays, {}, aNow).empty();
  }
  const bool hasRoom = this->connections.size() < this->limit ||
                       (this->connections.size() == this->limit && !this->idle.empty());
  return hasRoom && this->health.AllowsAttempt(aNow) && aNow >= this->connectionLimitPauseEnd;
}

std::size_t BackendPool::IdleCountFor(std::string_view aOrganisation) const
{
  return static_cast<std::size_t>(
    std::ranges::count(this->idle, aOrganisation, &BackendConnection::organisation));
}

std::size_t BackendPool::OpeningCountFor(std::string_view aOrganisation) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->connections, [aOrganisation](const BackendConnection* aEach) {
      return !aEach->IsOpen() && aEach->organisation == aOrganisation;
    }));
}

Duration BackendPool::OpeningDuration(Instant aNow) const
{
  Duration longest{ 0 };
  for (const BackendConnection* connection : this->connections) {
    if (!connection->IsOpen()) {
      longest = std::max(longest, aNow - connection->OpenedAt());
    }
  }
  return longest;
}

void BackendPool::Open(const ConnectionRequest& aRequest)
{
  if (!this->IsRelayed() && this->connections.size() >= this->limit && !this->idle.empty()) {
    this->Drop(*std::ranges::min_element(this->idle, {}, &BackendConnection::idleSince), false);
  }
  BackendConnection* connection = this->NewConnection(aRequest);
  this->connections.push_back(connection);
  ++this->openingCount;
  QObject::connect(connection, &BackendConnection::Opened, this, [this, connection] {
    --this->openingCount;
    this->RecordResponse(MonotonicNow());
    this->idle.push_back(connection);
    Q_EMIT this->Changed();
  });
  QObject::connect(connection, &BackendConnection::Closed, this, [this, connection] {
    this->HandleClosed(connection);
  });
}

BackendConnection* BackendPool::NewConnection(const ConnectionRequest& aRequest)
{
  if (!this->IsRelayed()) {
    auto* connection = new SocketConnection(this->protocol, this->row.name, this);
    ++this->openedCount;
    connection->organisation = aRequest.organisation;
    connection->Open(this->row.address, this->row.service);
    return connection;
  }
  const Instant now = MonotonicNow();
  RelayOpen request;
  request.backend = this->row.name;
  request.organisation = aRequest.organisation;
  request.priority = aRequest.priority;
  request.waitUs = std::max(Duration{ 0 }, aRequest.deadline - now).count();
  for (const auto& [name, value] : aRequest.settings) {
    request.settings.push_back({ name, value });
  }
  auto* connection = new RelayedConnection(this->relayClient, this->row.name, this);
  connection->organisation = aRequest.organisation;
  const std::string relay = this->relayClient.ChooseRelay(this->relays, aRequest.organisation, now);
  connection->Open(relay, std::move(request));
  return connection;
}

void BackendPool::HandleClosed(BackendConnection* aConnection)
{
  const Instant now = MonotonicNow();
  switch (aConnection->EndReason()) {
    case ConnectionEnd::BackendFull:
      this->connectionLimitPauseEnd = now + kConnectionLimitPause;
      this->RecordResponse(now);
      break;
    case ConnectionEnd::BackendFailed:
      this->health.OnFailure(now);
      break;
    case ConnectionEnd::RelayFailed:
      break;
  }
  this->RemoveConnection(aConnection);
  Q_EMIT this->Changed();
}

BackendConnection* BackendPool::Take(const SettingMap& aSettings, std::string_view aOrganisation)
{
  // Among equals the most recently used one, so that the others reach their idle limit and close.
  auto best = this->idle.end();
  int bestRank = -1;
  for (auto each = this->idle.begin(); each != this->idle.end(); ++each) {
    if ((*each)->organisation != aOrganisation) {
      continue;
    }
    const SettingMap& settings = (*each)->settings;
    const bool isEqual = (*each)->settingsKnown && settings == aSettings;
    const int rank = isEqual ? 2 : (settings.empty() ? 1 : 0);
    if (rank >= bestRank) {
      bestRank = rank;
      best = each;
    }
  }
  if (best == this->idle.end()) {
    return nullptr;
  }
  BackendConnection* connection = *best;
  this->idle.erase(best);
  this->RecordDemand(this->InUse());
  return connection;
}

void BackendPool::Release(BackendConnection* aConnection, bool aInTransaction)
{
  aConnection->SetIdleLossCallback(nullptr);
  // A relay itself rolls back an open transaction.
  if (aInTransaction && !aConnection->IsRelayed()) {
    aConnection->Run(this->protocol.Rollback(),
                     [this, aConnection](const StatementResult& aResult) {
                       if (aResult.lost) {
                         return;
                       }
                       if (aResult.ready.state != TransactionState::Idle) {
                         this->Drop(aConnection, false);
                         return;
                       }
                       this->Release(aConnection, false);
                     });
    return;
  }
  if (aConnection->IsRelayed() || this->row.deleted || this->connections.size() > this->limit) {
    this->Drop(aConnection, false);
    return;
  }
  this->idle.push_back(aConnection);
  Q_EMIT this->Changed();
}

void BackendPool::Drop(BackendConnection* aConnection, bool aIsFailure)
{
  if (aIsFailure) {
    this->health.OnFailure(MonotonicNow());
  }
  aConnection->Close();
  this->RemoveConnection(aConnection);
  Q_EMIT this->Changed();
}

void BackendPool::ReleaseAfterStatement(BackendConnection* aConnection)
{
  aConnection->SetIdleLossCallback(nullptr);
  aConnection->ReplaceCallback([this, aConnection](const StatementResult& aResult) {
    if (!aResult.lost) {
      this->Release(aConnection, aResult.ready.state != TransactionState::Idle);
    }
  });
}

bool BackendPool::CheckUnresponsive(Instant aNow)
{
  std::optional<Instant> oldest;
  for (const BackendConnection* connection : this->connections) {
    if (connection->IsBusy() && (!oldest || connection->SentAt() < *oldest)) {
      oldest = connection->SentAt();
    }
  }
  if (!oldest) {
    return false;
  }
  const Instant since = std::max(*oldest, this->health.LastAnswer().value_or(*oldest));
  if (aNow - since < kNoResponseLimit) {
    return false;
  }
  this->health.OnNoResponse(since, aNow);
  return true;
}

void BackendPool::RecordResult(const StatementResult& aResult,
                               const std::optional<LogPosition>& aRequired,
                               Instant aNow)
{
  this->RecordRelayedResult(aResult, aNow);
  if (aRequired && aResult.error && aResult.error->error == StatementError::Lagging) {
    this->health.OnLag(*aRequired, aNow);
  }
  if (!aResult.error || !MeansNotExecuted(aResult.error->error)) {
    this->health.OnAnswer(aResult.took, aNow);
  }
}

void BackendPool::RecordRelayedResult(const StatementResult& aResult, Instant aNow)
{
  const auto error = aResult.error ? std::optional(aResult.error->error) : std::nullopt;
  // A server answers Unavailable if its queue is full.
  const bool isRejected =
    error == StatementError::Overloaded || error == StatementError::Unavailable;
  this->RecordResponse(aNow);
  if (isRejected) {
    this->health.OnOverload(aNow);
    this->window.OnOverload(this->InUse(), aNow);
    if (!this->IsRelayed()) {
      this->pace.OnOverload(aResult.took, this->InUse(), aNow);
    }
    return;
  }
  if (aResult.ready.position) {
    this->health.OnPosition(*aResult.ready.position);
  }
  if (!error) {
    this->window.OnSuccess(aResult.took, aNow);
    if (this->IsPaced() && !this->IsRelayed()) {
      this->pace.OnSuccess(aResult.took, this->InUse(), this->limit, aNow);
      if (!this->pace.IsActive()) {
        this->LogPaceEnd("answers", aNow);
      }
    }
  }
}

void BackendPool::RecordResponse(Instant aNow)
{
  if (this->health.FailureDuration(aNow) >= kPacedFailure) {
    this->StartPace(aNow);
  }
  this->health.OnReachable(aNow);
}

void BackendPool::StartPace(Instant aNow)
{
  if (this->pacesStarts) {
    this->pace.Start(aNow);
  }
}

void BackendPool::LiftPace(Instant aNow)
{
  this->pace.Lift();
  this->LogPaceEnd("service", aNow);
}

void BackendPool::CheckPaceTime(Instant aNow)
{
  if (!this->IsPaced()) {
    return;
  }
  this->pace.CheckTime(aNow);
  if (!this->pace.IsActive()) {
    this->LogPaceEnd("time", aNow);
    // A statement may have waited for the pause between two statements.
    Q_EMIT this->Changed();
  }
}

void BackendPool::LogPaceEnd(std::string_view aReason, Instant aNow)
{
  const bool isRecent = this->paceLoggedAt && aNow - *this->paceLoggedAt < kPaceLogInterval;
  if (this->IsRelayed() || isRecent) {
    return;
  }
  this->paceLoggedAt = aNow;
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(this->pace.Age(aNow)).count();
  WriteLog(LogEvent::BackendPaceEnded,
           "backend=" + this->row.name + " service=" + this->row.service +
             " ms=" + std::to_string(age) + " reason=" + std::string(aReason));
}

void BackendPool::CloseIdle(Instant aNow)
{
  for (BackendConnection* connection : std::vector(this->idle)) {
    // One that was being opened when the limit was lowered is surplus once nobody has taken it.
    const bool isSurplus = !connection->IsRelayed() && this->connections.size() > this->limit;
    const bool isOld = this->idle.size() > 1 && aNow - connection->idleSince >= kMaxIdleTime;
    if (!isSurplus && !isOld) {
      continue;
    }
    this->Drop(connection, false);
  }
}

void BackendPool::CloseAllIdle()
{
  for (BackendConnection* connection : std::vector(this->idle)) {
    this->Drop(connection, false);
  }
}

void BackendPool::RemoveConnection(BackendConnection* aConnection)
{
  if (std::erase(this->connections, aConnection) == 0) {
    return;
  }
  if (std::erase(this->idle, aConnection) == 0 && aConnection->idleSince == Instant{}) {
    --this->openingCount;
  }
}

} // namespace oleanderledge
