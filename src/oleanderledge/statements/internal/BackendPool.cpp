#include "oleanderledge/statements/internal/BackendPool.hpp"

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

} // namespace

BackendPool::BackendPool(const StatementProtocol& aProtocol,
                         const BackendRow& aRow,
                         QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
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

void BackendPool::SetGrant(std::uint32_t aConnections)
{
  this->isGranted = true;
  this->limit = aConnections;
  while (this->connections.size() > this->limit && !this->idle.empty()) {
    this->Drop(this->idle.front(), false);
  }
}

void BackendPool::NoteDemand(std::size_t aConnections)
{
  this->demand = std::max(this->demand, static_cast<std::uint32_t>(aConnections));
}

std::uint32_t BackendPool::TakeDemand()
{
  return std::exchange(this->demand, static_cast<std::uint32_t>(this->InUse()));
}

bool BackendPool::MayOpen(Instant aNow) const
{
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

void BackendPool::Open()
{
  auto* connection = new BackendConnection(this->protocol, this->row.name, this);
  this->connections.push_back(connection);
  ++this->opening;
  ++this->openedCount;
  const Instant startedAt = MonotonicNow();
  QObject::connect(connection, &BackendConnection::Opened, this, [this, connection] {
    --this->opening;
    this->health.OnReachable(MonotonicNow());
    this->idle.push_back(connection);
    Q_EMIT this->Changed();
  });
  QObject::connect(connection, &BackendConnection::Closed, this, [this, connection, startedAt] {
    const Instant now = MonotonicNow();
    const auto& refusal = connection->StartUpError();
    if (refusal && refusal->error == StatementError::Overloaded) {
      this->refusedUntil = now + kRefusedPause;
      this->health.OnAnswer(now - startedAt, now);
    } else {
      this->health.OnFailure(now);
    }
    this->Forget(connection);
    Q_EMIT this->Changed();
  });
  connection->Open(this->row.address, this->row.service);
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
  if (aInTransaction) {
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
  if (this->row.deleted || this->connections.size() > this->limit) {
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
  const auto error = aResult.error ? std::optional(aResult.error->error) : std::nullopt;
  // A server that answers that it is unavailable has a full queue.
  if (error == StatementError::Overloaded || error == StatementError::Unavailable) {
    this->health.OnOverload(aNow);
  } else if (error == StatementError::Lagging) {
    this->health.OnLag(aNow);
  } else if (error && IsNotRun(*error)) {
    // Refused within a moment, which says nothing of the time of answers.
    this->health.OnReachable(aNow);
  } else {
    this->health.OnAnswer(aResult.took, aNow);
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
