#include "oleanderledge/statements/internal/BackendPool.hpp"

#include "oleanderledge/statements/internal/RelayedConnection.hpp"
#include "oleanderledge/statements/internal/SocketConnection.hpp"

#include <algorithm>
#include <optional>

namespace oleanderledge {

namespace {

/// Pause after the server refused a connection for its limit; other proxies hold the rest.
constexpr Duration kRefusedPause = std::chrono::milliseconds(250);
/// A connection that is idle for longer is closed, so that other proxies may use the share. A
/// server counts connections of a proxy that lost power for 3 s more, so few should stand open
/// unused.
constexpr Duration kIdleLimit = std::chrono::seconds(4);
/// A server that answers nothing for this time, while statements run on it, counts as failing. Ten
/// times the mean work of a read.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(300);
/// Uses of relays at the same time, with requests for more. Relays queue by priority, so the bound
/// only limits memory.
constexpr std::size_t kMostRelayed = 64;

} // namespace

BackendPool::BackendPool(const StatementProtocol& aProtocol,
                         const BackendRow& aRow,
                         RelayClient& aRelayClient,
                         QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , relayClient(aRelayClient)
  , row(aRow)
{
}

void BackendPool::Update(const BackendRow& aRow)
{
  const bool isOther =
    aRow.address != this->row.address || aRow.startedUnixMs != this->row.startedUnixMs;
  this->row = aRow;
  if (isOther) {
    this->health = BackendHealth{};
    for (BackendConnection* connection : std::vector(this->idle)) {
      this->Drop(connection, false);
    }
  }
}

void BackendPool::SetFirstLimit(std::uint32_t aLimit)
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

void BackendPool::ReturnUnused()
{
  const auto next = [this] {
    return std::ranges::find_if(this->idle, &BackendConnection::IsRelayed);
  };
  for (auto found = next(); found != this->idle.end(); found = next()) {
    this->Drop(*found, false);
  }
}

void BackendPool::NoteDemand(std::size_t aConnections)
{
  this->demand = std::max(this->demand, static_cast<std::uint32_t>(aConnections));
}

std::uint32_t BackendPool::TakeDemand()
{
  const std::uint32_t taken =
    std::exchange(this->demand, static_cast<std::uint32_t>(this->InUse()));
  // The relays report it.
  return this->IsRelayed() ? 0 : taken;
}

bool BackendPool::MayOpen(Instant aNow) const
{
  if (this->IsRelayed()) {
    return this->connections.size() < kMostRelayed && this->health.MayTry(aNow) &&
           !this->relayClient.Choose(this->relays, aNow).empty();
  }
  return this->connections.size() < this->limit && this->health.MayTry(aNow) &&
         aNow >= this->refusedUntil;
}

Duration BackendPool::OpeningFor(Instant aNow) const
{
  Duration longest{ 0 };
  for (const BackendConnection* connection : this->connections) {
    if (!connection->IsOpen()) {
      longest = std::max(longest, aNow - connection->OpenedAt());
    }
  }
  return longest;
}

void BackendPool::Open(const ConnectionNeed& aNeed)
{
  BackendConnection* connection = this->NewConnection(aNeed);
  this->connections.push_back(connection);
  ++this->opening;
  QObject::connect(connection, &BackendConnection::Opened, this, [this, connection] {
    --this->opening;
    this->health.OnReachable(MonotonicNow());
    this->idle.push_back(connection);
    Q_EMIT this->Changed();
  });
  QObject::connect(connection, &BackendConnection::Closed, this, [this, connection] {
    this->HandleClosed(connection);
  });
}

BackendConnection* BackendPool::NewConnection(const ConnectionNeed& aNeed)
{
  if (!this->IsRelayed()) {
    auto* connection = new SocketConnection(this->protocol, this->row.name, this);
    ++this->openedCount;
    connection->Open(this->row.address, this->row.service);
    return connection;
  }
  const Instant now = MonotonicNow();
  RelayOpen request;
  request.backend = this->row.name;
  request.priority = aNeed.priority;
  request.waitUs = std::max(Duration{ 0 }, aNeed.giveUpAt - now).count();
  for (const auto& [name, value] : aNeed.settings) {
    request.settings.push_back({ name, value });
  }
  auto* connection = new RelayedConnection(this->relayClient, this->row.name, this);
  connection->Open(this->relayClient.Choose(this->relays, now), std::move(request));
  return connection;
}

void BackendPool::HandleClosed(BackendConnection* aConnection)
{
  const Instant now = MonotonicNow();
  switch (aConnection->End()) {
    case ConnectionEnd::BackendFull:
      this->refusedUntil = now + kRefusedPause;
      this->health.OnReachable(now);
      break;
    case ConnectionEnd::BackendFailed:
      this->health.OnFailure(now);
      break;
    case ConnectionEnd::RelayFailed:
      break;
  }
  this->Forget(aConnection);
  Q_EMIT this->Changed();
}

BackendConnection* BackendPool::Take(const SettingMap& aSettings)
{
  if (this->idle.empty()) {
    return nullptr;
  }
  // The most recently used one otherwise, so that the rest become idle for long and close.
  auto best = std::prev(this->idle.end());
  int bestRank = -1;
  for (auto each = this->idle.begin(); each != this->idle.end(); ++each) {
    const SettingMap& settings = (*each)->settings;
    const bool isEqual = (*each)->settingsKnown && settings == aSettings;
    const int rank = isEqual ? 2 : (settings.empty() ? 1 : 0);
    if (rank >= bestRank) {
      bestRank = rank;
      best = each;
    }
  }
  BackendConnection* connection = *best;
  this->idle.erase(best);
  this->NoteDemand(this->InUse());
  return connection;
}

void BackendPool::Release(BackendConnection* aConnection, bool aInTransaction)
{
  aConnection->SetLostWhileIdle(nullptr);
  // A relay rolls an open transaction back by itself.
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
  this->Forget(aConnection);
  Q_EMIT this->Changed();
}

void BackendPool::ReleaseWhenDone(BackendConnection* aConnection)
{
  aConnection->SetLostWhileIdle(nullptr);
  aConnection->ReplaceCallback([this, aConnection](const StatementResult& aResult) {
    if (!aResult.lost) {
      this->Release(aConnection, aResult.ready.state != TransactionState::Idle);
    }
  });
}

bool BackendPool::CheckSilence(Instant aNow)
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
  if (aNow - since < kSilenceLimit) {
    return false;
  }
  this->health.OnSilence(since, aNow);
  return true;
}

void BackendPool::NoteResult(const StatementResult& aResult, Instant aNow)
{
  this->NoteRelayedResult(aResult, aNow);
  if (!aResult.error || !IsNotRun(aResult.error->error)) {
    this->health.OnAnswer(aResult.took, aNow);
  }
}

void BackendPool::NoteRelayedResult(const StatementResult& aResult, Instant aNow)
{
  const auto error = aResult.error ? std::optional(aResult.error->error) : std::nullopt;
  // A server that answers that it is unavailable has a full queue.
  if (error == StatementError::Overloaded || error == StatementError::Unavailable) {
    this->health.OnOverload(aNow);
    this->window.OnOverload(this->InUse(), aNow);
    return;
  }
  if (error == StatementError::Lagging) {
    this->health.OnLag(aNow);
    return;
  }
  this->health.OnReachable(aNow);
  if (!error) {
    this->window.OnSuccess(aResult.took, aNow);
  }
}

void BackendPool::CloseIdle(Instant aNow)
{
  for (BackendConnection* connection : std::vector(this->idle)) {
    if (this->idle.size() <= 1 || aNow - connection->idleSince < kIdleLimit) {
      continue;
    }
    this->Drop(connection, false);
  }
}

void BackendPool::CloseAll()
{
  for (BackendConnection* connection : std::vector(this->idle)) {
    this->Drop(connection, false);
  }
}

void BackendPool::Forget(BackendConnection* aConnection)
{
  if (std::erase(this->connections, aConnection) == 0) {
    return;
  }
  if (std::erase(this->idle, aConnection) == 0 && aConnection->idleSince == Instant{}) {
    --this->opening;
  }
}

} // namespace oleanderledge
