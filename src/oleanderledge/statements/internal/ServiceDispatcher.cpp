#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Interval at which waiting statements are checked for having waited too long, or for a pause of a
/// pool that has ended.
constexpr std::chrono::milliseconds kExpiryInterval(20);
/// A server that denied to lead is not asked again for this time, unless control names it anew.
constexpr Duration kNotLeadingPause = std::chrono::milliseconds(300);
/// Until connections are granted, a proxy holds at most this part of an equal share, 1 in so many,
/// since the others may hold more than theirs.
constexpr std::uint32_t kFirstSharePart = 2;

} // namespace

ServiceDispatcher::ServiceDispatcher(const StatementProtocol& aProtocol,
                                     std::string aService,
                                     std::string aOwnZone,
                                     RelayClient& aRelayClient,
                                     QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , service(std::move(aService))
  , ownZone(std::move(aOwnZone))
  , relayClient(aRelayClient)
{
  QObject::connect(
    &this->relayClient, &RelayClient::RelayReady, this, &ServiceDispatcher::SchedulePump);
  QObject::connect(&this->expiryTimer, &QTimer::timeout, this, &ServiceDispatcher::Expire);
}

void ServiceDispatcher::ApplyDirectory(
  const Directory& aDirectory,
  const std::map<std::string, std::string, std::less<>>& aRegionOfZone,
  std::uint32_t aProxyCount)
{
  const auto fullZone = [&aRegionOfZone](const std::string& aZone) {
    const auto found = aRegionOfZone.find(aZone);
    return (found == aRegionOfZone.end() ? std::string{} : found->second) + "/" + aZone;
  };
  const ServiceRow* row = aDirectory.FindService(this->service);
  const std::uint32_t connectionLimit = row == nullptr ? 1 : row->connectionLimit;
  const std::uint32_t share = connectionLimit / kFirstSharePart / std::max(1U, aProxyCount);
  for (const auto& [name, backend] : aDirectory.Backends()) {
    if (backend.service != this->service) {
      continue;
    }
    const auto found = this->pools.find(name);
    if (found == this->pools.end()) {
      if (backend.deleted) {
        continue;
      }
      auto* created = new BackendPool(this->protocol, backend, this->relayClient, this);
      QObject::connect(created, &BackendPool::Changed, this, &ServiceDispatcher::SchedulePump);
      this->pools.emplace(name, created);
    } else if (found->second->Row().version != backend.version) {
      found->second->Update(backend);
    }
    BackendPool& pool = *this->pools.find(name)->second;
    // With more proxies than connections, those that are granted some relay for the others.
    const std::uint32_t least = connectionLimit >= aProxyCount ? 1 : 0;
    pool.SetFirstLimit(std::clamp(share, least, std::max(1U, connectionLimit)));
    if (backend.deleted) {
      pool.CloseAll();
    }
    this->distances[name] = DistanceBetween(this->ownZone, fullZone(backend.zone));
  }
  const PrimaryRow* primaryRow = aDirectory.FindPrimary(this->service);
  if (primaryRow != nullptr && primaryRow->version != this->primaryVersion) {
    this->primaryVersion = primaryRow->version;
    this->isPromoting = primaryRow->phase == PrimaryPhase::Promoting;
    if (this->primary != primaryRow->backend) {
      this->primary = primaryRow->backend;
      this->positions.Clear();
    }
    this->deniedUntil.clear();
  }
  this->SchedulePump();
}

void ServiceDispatcher::Request(Ticket aTicket, PlacementRequest aRequest, Callback aCallback)
{
  const auto position =
    std::ranges::upper_bound(this->waiting, aRequest.priority, {}, [](const Waiter& aEach) {
      return aEach.request.priority;
    });
  this->waiting.insert(position, { aTicket, std::move(aRequest), std::move(aCallback) });
  if (!this->expiryTimer.isActive()) {
    this->expiryTimer.start(kExpiryInterval);
  }
  this->Pump();
}

void ServiceDispatcher::Cancel(Ticket aTicket)
{
  std::erase_if(this->waiting, [aTicket](const Waiter& aEach) { return aEach.ticket == aTicket; });
}

void ServiceDispatcher::NotePrimaryPosition(Instant aSentAt, const LogPosition& aPosition)
{
  this->positions.Add(aSentAt, aPosition);
  if (!this->ownPosition || aPosition.term > this->ownPosition->position.term ||
      (aPosition.term == this->ownPosition->position.term && aSentAt > this->ownPosition->sentAt)) {
    this->ownPosition = { aSentAt, aPosition };
  }
}

void ServiceDispatcher::AddPosition(Instant aAt, const LogPosition& aPosition)
{
  this->positions.Add(aAt, aPosition);
}

void ServiceDispatcher::NoteNotLeading(const std::string& aBackend, Instant aNow)
{
  this->deniedUntil[aBackend] = aNow + kNotLeadingPause;
}

void ServiceDispatcher::ApplyGrant(const ConnectionGrant& aGrant)
{
  const auto found = this->pools.find(aGrant.backend);
  if (found != this->pools.end()) {
    found->second->ApplyGrant(aGrant);
    this->SchedulePump();
  }
}

bool ServiceDispatcher::HoldsConnectionsTo(const std::string& aBackend) const
{
  const auto found = this->pools.find(aBackend);
  return found != this->pools.end() && !found->second->Row().deleted &&
         !found->second->IsRelayed() && found->second->Limit() > 0;
}

std::vector<BackendReport> ServiceDispatcher::TakeReports(Instant aNow)
{
  const auto milliseconds = [](Duration aDuration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  };
  std::vector<BackendReport> reports;
  for (const auto& [name, pool] : this->pools) {
    const BackendHealth& health = pool->Health();
    if (pool->Row().deleted) {
      continue;
    }
    BackendReport report{ name, milliseconds(health.FailingFor(aNow)), -1, pool->TakeDemand() };
    if (health.IsFailing()) {
      report.failingMs = std::max<std::int64_t>(report.failingMs, 1);
    }
    if (health.LastAnswer()) {
      report.answeredMsAgo = milliseconds(aNow - *health.LastAnswer());
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

std::string ServiceDispatcher::Describe(Instant aNow) const
{
  std::string text = "service=" + this->service + " primary=" + this->primary +
                     (this->isPromoting ? " promoting=yes" : "") +
                     " waiting=" + std::to_string(this->waiting.size()) + " pools=";
  const char* separator = "";
  for (const auto& [name, pool] : this->pools) {
    if (pool->Row().deleted) {
      continue;
    }
    text += separator + name + ":use" + std::to_string(pool->InUse()) + "/idle" +
            std::to_string(pool->IdleCount()) + "/opening" + std::to_string(pool->OpeningCount()) +
            "/limit" + std::to_string(pool->Limit()) + (pool->IsRelayed() ? "/relayed" : "") +
            "/answer" + std::to_string(pool->Health().AnswerTime().count() / 1000) + "ms" +
            (pool->Health().IsFailing() ? "/failing" : "") +
            (pool->Health().IsOverloaded(aNow) ? "/overloaded" : "") +
            (pool->Health().IsLagging(aNow) ? "/lagging" : "");
    separator = ",";
  }
  return text;
}

void ServiceDispatcher::CloseIdle(Instant aNow)
{
  for (const auto& [name, pool] : this->pools) {
    pool->CloseIdle(aNow);
  }
}

void ServiceDispatcher::CheckSilence(Instant aNow)
{
  for (const auto& [name, pool] : this->pools) {
    pool->CheckSilence(aNow);
  }
}

void ServiceDispatcher::SchedulePump()
{
  if (this->isPumpScheduled) {
    return;
  }
  this->isPumpScheduled = true;
  QMetaObject::invokeMethod(
    this,
    [this] {
      this->isPumpScheduled = false;
      this->Pump();
    },
    Qt::QueuedConnection);
}

void ServiceDispatcher::Pump()
{
  // A callback may ask for its next connection at once; the outer call goes on with it.
  if (this->isPumping) {
    this->SchedulePump();
    return;
  }
  this->isPumping = true;
  const Instant now = MonotonicNow();
  std::map<BackendPool*, std::vector<ConnectionNeed>> wanted;
  for (std::size_t index = 0; index < this->waiting.size();) {
    const Choice choice = this->Choose(this->waiting[index].request, now);
    if (choice.pool == nullptr || !choice.pool->HasRoom(this->waiting[index].request.priority)) {
      ++index;
      continue;
    }
    if (!choice.pool->HasIdle()) {
      const PlacementRequest& request = this->waiting[index].request;
      std::vector<ConnectionNeed>& needs = wanted[choice.pool];
      needs.push_back({ request.priority, request.giveUpAt, *request.settings });
      choice.pool->NoteDemand(choice.pool->InUse() + needs.size());
      ++index;
      continue;
    }
    Waiter waiter = std::move(this->waiting[index]);
    this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(index));
    Placement placement = choice.placement;
    placement.pool = choice.pool;
    placement.connection = choice.pool->Take(*waiter.request.settings);
    waiter.callback(placement, {});
  }
  for (const auto& [pool, needs] : wanted) {
    while (pool->OpeningCount() < needs.size() && pool->MayOpen(now)) {
      pool->Open(needs[pool->OpeningCount()]);
    }
  }
  for (const auto& [name, pool] : this->pools) {
    pool->ReturnUnused();
  }
  this->isPumping = false;
}

void ServiceDispatcher::Expire()
{
  const Instant now = MonotonicNow();
  std::vector<Waiter> expired;
  std::erase_if(this->waiting, [now, &expired](Waiter& aEach) {
    if (now < aEach.request.giveUpAt) {
      return false;
    }
    expired.push_back(std::move(aEach));
    return true;
  });
  for (const Waiter& waiter : expired) {
    const auto chosen = this->pools.find(waiter.request.backend);
    const bool isUnreachable =
      (waiter.request.needsPrimary && this->PrimaryPool(now) == nullptr) ||
      (chosen != this->pools.end() && chosen->second->Health().IsFailing());
    waiter.callback(std::nullopt,
                    isUnreachable ? StatementError::Unavailable : StatementError::Overloaded);
  }
  if (this->waiting.empty()) {
    this->expiryTimer.stop();
    return;
  }
  this->Pump();
}

ServiceDispatcher::Choice ServiceDispatcher::Choose(const PlacementRequest& aRequest,
                                                    Instant aNow) const
{
  if (!aRequest.backend.empty()) {
    const auto found = this->pools.find(aRequest.backend);
    return { found == this->pools.end() ? nullptr : found->second, {} };
  }
  if (!aRequest.needsPrimary) {
    auto await = this->positions.CoveringSince(aRequest.arrivedAt - aRequest.acceptedAge);
    if (await) {
      if (aRequest.ownCommit) {
        await = std::max(*await, *aRequest.ownCommit);
      }
      BackendPool* pool = this->PoolOfRead(aRequest, aNow);
      // With no other server left, the primary serves the read by proving that it leads.
      if (pool != nullptr) {
        return { pool, { nullptr, nullptr, false, await } };
      }
    }
  }
  return { this->PrimaryPool(aNow), { nullptr, nullptr, true, std::nullopt } };
}

BackendPool* ServiceDispatcher::PrimaryPool(Instant aNow) const
{
  // Writes on the old primary would be lost with its lead.
  if (this->isPromoting) {
    return nullptr;
  }
  const auto named = this->pools.find(this->primary);
  if (named != this->pools.end() && this->MayBePrimary(*named->second, aNow)) {
    return named->second;
  }
  for (const auto& [name, pool] : this->pools) {
    if (!pool->Row().draining && !pool->Health().IsFailing() && this->MayBePrimary(*pool, aNow)) {
      return pool;
    }
  }
  return nullptr;
}

bool ServiceDispatcher::MayBePrimary(const BackendPool& aPool, Instant aNow) const
{
  const auto denied = this->deniedUntil.find(aPool.Row().name);
  if (aPool.Row().deleted || (denied != this->deniedUntil.end() && aNow < denied->second)) {
    return false;
  }
  return !aPool.Health().IsFailing() || aPool.HasIdle() || aPool.OpeningCount() > 0 ||
         aPool.MayOpen(aNow);
}

BackendPool* ServiceDispatcher::PoolOfRead(const PlacementRequest& aRequest, Instant aNow) const
{
  std::vector<ReadCandidate> candidates;
  std::vector<BackendPool*> candidatePools;
  for (const auto& [name, pool] : this->pools) {
    const BackendRow& row = pool->Row();
    if (row.deleted || row.draining || aRequest.excluded.contains(name)) {
      continue;
    }
    const auto distance = this->distances.find(name);
    const bool hasRoom = pool->HasRoom(aRequest.priority);
    candidates.push_back(
      { name == this->primary,
        distance == this->distances.end() ? ZoneDistance::OtherRegion : distance->second,
        hasRoom && pool->HasIdle(),
        hasRoom && (pool->MayOpen(aNow) || pool->OpeningCount() > 0),
        pool->IsRelayed(),
        pool->Health().IsFailing(),
        pool->Health().IsOverloaded(aNow),
        pool->Health().IsLagging(aNow),
        pool->OpeningFor(aNow),
        pool->InUse(),
        row.slots,
        pool->Health().AnswerTime() });
    candidatePools.push_back(pool);
  }
  const auto chosen = ChooseForRead(candidates);
  return chosen ? candidatePools[*chosen] : nullptr;
}

} // namespace oleanderledge
