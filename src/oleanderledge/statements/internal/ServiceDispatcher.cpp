#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Interval of the checks for expired requests, and for pools that may open connections again.
constexpr std::chrono::milliseconds kExpiryInterval(20);
/// A server that rejected a statement as not primary is not tried as primary for this time, unless
/// the control plane names a primary again.
constexpr Duration kNotPrimaryPause = std::chrono::milliseconds(300);
/// Without a grant, a proxy holds at most an equal share of the connections divided by this, as
/// other proxies may hold more than an equal share.
constexpr std::uint32_t kProvisionalShareDivisor = 2;

/// A request is refused at its arrival if its forecast wait exceeds the allowed one by half of it.
/// A forecast that is too long would refuse a request that could have been served.
constexpr int kForecastMarginHalves = 3;

/// Interval at which a server is asked again for a position that it lacked: replicas receive
/// commits within some ms of each other.
constexpr std::chrono::milliseconds kWitnessInterval(10);
/// A witness that gives no connection, or no answer, within this time is asked again.
constexpr Duration kWitnessLimit = std::chrono::milliseconds(300);

/// An older answer does not tell the control plane that the server answers; see
/// ServiceTimings::reportLifetime.
constexpr std::int64_t kReportedAnswerAgeMs = 1000;

/// True if the report has the same effect at the control plane as none.
bool IsEmptyReport(const BackendReport& aReport)
{
  return aReport.failingMs == 0 && aReport.demand == 0 && aReport.closedVersion == 0 &&
         (aReport.answeredMsAgo < 0 || aReport.answeredMsAgo >= kReportedAnswerAgeMs);
}

void LogRow(const BackendRow& aRow, std::uint64_t aDirectoryVersion)
{
  WriteLog(LogEvent::BackendRowReceived,
           "backend=" + aRow.name + " service=" + aRow.service + " address=" + aRow.address +
             " draining=" + (aRow.draining ? "yes" : "no") + " deleted=" +
             (aRow.deleted ? "yes" : "no") + " started_ms=" + std::to_string(aRow.startedUnixMs) +
             " version=" + std::to_string(aRow.version) +
             " directory=" + std::to_string(aDirectoryVersion));
}

/// Idle connections of an organisation, and those that are being opened for it.
std::size_t ConnectionsFor(const BackendPool& aPool, std::string_view aOrganisation)
{
  return aPool.IdleCountFor(aOrganisation) + aPool.OpeningCountFor(aOrganisation);
}

/// True if a request that arrived earlier may close the idle connection that `aOther` could use. Of
/// equally urgent ones only after half of its time: a new connection costs the server 12 ms, but
/// without a bound, an organisation whose requests never pause would keep all connections.
bool IsServedBefore(const ConnectionRequest& aEarlier, const PlacementRequest& aOther, Instant aNow)
{
  if (aEarlier.priority != aOther.priority) {
    return aEarlier.priority < aOther.priority;
  }
  return (aNow - aEarlier.arrivedAt) * 2 >= aEarlier.deadline - aEarlier.arrivedAt;
}

} // namespace

ServiceDispatcher::ServiceDispatcher(const StatementProtocol& aProtocol,
                                     std::string aService,
                                     std::string aOwnZone,
                                     RelayClient& aRelayClient,
                                     bool aPacesStarts,
                                     QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , service(std::move(aService))
  , ownZone(std::move(aOwnZone))
  , relayClient(aRelayClient)
  , pacesStarts(aPacesStarts)
{
  QObject::connect(
    &this->relayClient, &RelayClient::RelayReady, this, &ServiceDispatcher::ScheduleDispatch);
  QObject::connect(&this->expiryTimer, &QTimer::timeout, this, &ServiceDispatcher::ExpireWaiting);
  QObject::connect(&this->witnessTimer, &QTimer::timeout, this, &ServiceDispatcher::CheckWitnesses);
}

void ServiceDispatcher::ApplyDirectory(
  const Directory& aDirectory,
  const std::map<std::string, std::string, std::less<>>& aRegionOfZone,
  std::uint32_t aProxyCount,
  const DrainDeadlineMap& aDrainDeadlines)
{
  const auto fullZone = [&aRegionOfZone](const std::string& aZone) {
    const auto found = aRegionOfZone.find(aZone);
    return (found == aRegionOfZone.end() ? std::string{} : found->second) + "/" + aZone;
  };
  const ServiceRow* row = aDirectory.FindService(this->service);
  const std::uint32_t connectionLimit = row == nullptr ? 1 : row->connectionLimit;
  this->commits.SetSynchronous(row != nullptr && row->syncReplicas > 0);
  // While the number of proxies is not known, each of them opens as few connections as possible:
  // after a power loss all start at the same time.
  const std::uint32_t share =
    aProxyCount == 0 ? 0 : connectionLimit / kProvisionalShareDivisor / aProxyCount;
  // At the start of this proxy every server is new to it, though it may have run for long.
  const bool isFirst = this->pools.empty();
  for (const auto& [name, backend] : aDirectory.Backends()) {
    if (backend.service != this->service) {
      continue;
    }
    const auto found = this->pools.find(name);
    if (found == this->pools.end()) {
      if (backend.deleted) {
        continue;
      }
      auto* created =
        new BackendPool(this->protocol, backend, this->relayClient, this->pacesStarts, this);
      if (!isFirst) {
        created->StartPace(MonotonicNow());
      }
      QObject::connect(created, &BackendPool::Changed, this, &ServiceDispatcher::ScheduleDispatch);
      this->pools.emplace(name, created);
      LogRow(backend, aDirectory.Version());
    } else if (found->second->Row().version != backend.version) {
      found->second->Update(backend);
      LogRow(backend, aDirectory.Version());
    }
    BackendPool& pool = *this->pools.find(name)->second;
    // With more proxies than connections, those with a grant act as relays for the others.
    const std::uint32_t least = connectionLimit >= aProxyCount ? 1 : 0;
    pool.SetProvisionalLimit(std::clamp(share, least, std::max(1U, connectionLimit)));
    const auto deadline = aDrainDeadlines.find(name);
    pool.SetDrainDeadline(deadline == aDrainDeadlines.end() ? Instant{} : deadline->second);
    if (backend.deleted) {
      pool.CloseAllIdle();
    }
    this->distances[name] = DistanceBetween(this->ownZone, fullZone(backend.zone));
  }
  this->RetireForgottenPools(aDirectory);
  this->UpdateWitnesses(aDirectory, row == nullptr ? 0 : row->syncReplicas);
  const PrimaryRow* primaryRow = aDirectory.FindPrimary(this->service);
  if (primaryRow != nullptr && primaryRow->version != this->primaryVersion) {
    this->primaryVersion = primaryRow->version;
    this->commits.SetPrimary(primaryRow->phase, primaryRow->fence);
    if (this->primary != primaryRow->backend) {
      this->primary = primaryRow->backend;
      this->positions.Clear();
    }
    this->notPrimaryUntil.clear();
  }
  this->ScheduleDispatch();
}

void ServiceDispatcher::UpdateWitnesses(const Directory& aDirectory, std::uint32_t aSyncReplicas)
{
  std::set<std::string> heard;
  this->silentVersion = 0;
  for (const auto& [name, backend] : aDirectory.Backends()) {
    if (backend.service != this->service || backend.deleted) {
      continue;
    }
    if (backend.isSilent) {
      this->silentVersion = std::max(this->silentVersion, backend.version);
    } else {
      heard.insert(name);
    }
  }
  this->witnesses.Require(std::move(heard), this->silentVersion > 0 ? aSyncReplicas : 0);
}

void ServiceDispatcher::AwaitWitnesses(const LogPosition& aPosition,
                                       const std::string& aExecutedBy,
                                       const CommitWitnesses::Owner& aOwner,
                                       CommitWitnesses::Callback aDone)
{
  this->witnesses.Await(aPosition, aExecutedBy, aOwner, std::move(aDone));
  if (!this->witnessTimer.isActive()) {
    this->witnessTimer.start(kWitnessInterval);
  }
}

void ServiceDispatcher::AskWitness(const std::string& aServer,
                                   const LogPosition& aPosition,
                                   WitnessProbe::Callback aCallback)
{
  PlacementRequest request;
  request.backend = aServer;
  request.arrivedAt = MonotonicNow();
  request.deadline = request.arrivedAt + kWitnessLimit;
  request.settings = &this->noSettings;
  this->RequestConnection(
    this->NewTicket(),
    std::move(request),
    [this, aPosition, done = std::move(aCallback)](std::optional<Placement> aPlacement,
                                                   const PlacementRefusal&) {
      if (!aPlacement) {
        done(false);
        return;
      }
      const std::string server = aPlacement->pool->Row().name;
      this->witnessQueries[server] = { *aPlacement, MonotonicNow(), done };
      aPlacement->connection->Run(
        this->protocol.BeginReadAt(aPosition), [this, server](const StatementResult& aResult) {
          const WitnessQuery query = std::move(this->witnessQueries.extract(server).mapped());
          if (!aResult.lost) {
            query.placement.pool->Release(query.placement.connection,
                                          aResult.ready.state != TransactionState::Idle);
          }
          query.done(aResult.IsSuccess());
        });
    });
}

void ServiceDispatcher::CheckWitnesses()
{
  const Instant now = MonotonicNow();
  for (const auto& [server, query] : std::map(this->witnessQueries)) {
    if (now - query.sentAt >= kWitnessLimit) {
      this->witnessQueries.erase(server);
      query.placement.pool->Drop(query.placement.connection, true);
      query.done(false);
    }
  }
  this->witnesses.AskAgain();
  if (!this->witnesses.IsHolding() && this->witnessQueries.empty()) {
    this->witnessTimer.stop();
  }
}

std::optional<CommitReport> ServiceDispatcher::ReportCommits() const
{
  if (!this->witnesses.IsRequired()) {
    return std::nullopt;
  }
  return CommitReport{ this->service, this->silentVersion };
}

void ServiceDispatcher::RetireForgottenPools(const Directory& aDirectory)
{
  for (const auto& [name, pool] : this->pools) {
    if (pool->Row().deleted || aDirectory.Backends().contains(name)) {
      continue;
    }
    BackendRow row = pool->Row();
    row.deleted = true;
    pool->Update(row);
    pool->CloseAllIdle();
    LogRow(row, aDirectory.Version());
  }
}

void ServiceDispatcher::RequestConnection(Ticket aTicket,
                                          PlacementRequest aRequest,
                                          Callback aCallback)
{
  const Instant now = MonotonicNow();
  if (const auto refusal = this->ForecastRefusal(aRequest, now)) {
    aCallback(std::nullopt, *refusal);
    return;
  }
  const auto position =
    std::ranges::upper_bound(this->waiting, aRequest.priority, {}, [](const WaitingRequest& aEach) {
      return aEach.request.priority;
    });
  this->waiting.insert(position, { aTicket, std::move(aRequest), std::move(aCallback) });
  if (!this->expiryTimer.isActive()) {
    this->expiryTimer.start(kExpiryInterval);
  }
  this->DispatchWaiting();
}

std::optional<PlacementRefusal> ServiceDispatcher::ForecastRefusal(const PlacementRequest& aRequest,
                                                                   Instant aNow)
{
  // Requests of other proxies were admitted there.
  if (!aRequest.backend.empty()) {
    return std::nullopt;
  }
  WaitForecast& forecastOfKind = aRequest.needsPrimary ? this->primaryForecast : this->forecast;
  const std::size_t ahead = this->CountAhead(aRequest);
  const auto expected = forecastOfKind.ExpectedWait(ahead, aNow);
  const Duration allowed = aRequest.deadline - aNow;
  if (ahead == 0 || !expected || *expected * 2 <= allowed * kForecastMarginHalves) {
    return std::nullopt;
  }
  return PlacementRefusal{ StatementError::Overloaded,
                           forecastOfKind.NextReturn(*expected - allowed, aNow) };
}

std::size_t ServiceDispatcher::CountAhead(const PlacementRequest& aRequest) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->waiting, [&aRequest](const WaitingRequest& aEach) {
      return aEach.request.backend.empty() && aEach.request.priority <= aRequest.priority &&
             (!aRequest.needsPrimary || aEach.request.needsPrimary);
    }));
}

void ServiceDispatcher::UpdateForecasts(Instant aNow)
{
  bool isAnyWaiting = false;
  bool isPrimaryAwaited = false;
  for (const WaitingRequest& each : this->waiting) {
    isAnyWaiting = isAnyWaiting || each.request.backend.empty();
    isPrimaryAwaited =
      isPrimaryAwaited || (each.request.backend.empty() && each.request.needsPrimary);
  }
  this->forecast.SetWaiting(isAnyWaiting, aNow);
  this->primaryForecast.SetWaiting(isPrimaryAwaited, aNow);
}

void ServiceDispatcher::Cancel(Ticket aTicket)
{
  std::erase_if(this->waiting,
                [aTicket](const WaitingRequest& aEach) { return aEach.ticket == aTicket; });
}

void ServiceDispatcher::RecordPrimaryPosition(Instant aSentAt, const LogPosition& aPosition)
{
  this->positions.Add(aSentAt, aPosition);
  if (!this->observedPosition || aPosition.term > this->observedPosition->position.term ||
      (aPosition.term == this->observedPosition->position.term &&
       aSentAt > this->observedPosition->sentAt)) {
    this->observedPosition = { aSentAt, aPosition };
  }
}

void ServiceDispatcher::AddPeerPosition(Instant aAsOf, const LogPosition& aPosition)
{
  this->positions.Add(aAsOf, aPosition);
}

void ServiceDispatcher::RecordNotPrimary(const std::string& aBackend, Instant aNow)
{
  this->notPrimaryUntil[aBackend] = aNow + kNotPrimaryPause;
}

void ServiceDispatcher::SetDirectoryCurrentAt(Instant aHeartbeatSent)
{
  this->commits.SetDirectoryCurrentAt(aHeartbeatSent);
}

void ServiceDispatcher::ApplyGrant(const ConnectionGrant& aGrant)
{
  const auto found = this->pools.find(aGrant.backend);
  if (found != this->pools.end()) {
    found->second->ApplyGrant(aGrant);
    this->ScheduleDispatch();
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
    BackendReport report{
      name, milliseconds(health.FailureDuration(aNow)), -1, pool->TakePeakDemand()
    };
    if (health.IsFailing()) {
      // 0 means that the server is not failing.
      report.failingMs = std::max<std::int64_t>(report.failingMs, 1);
    }
    const bool hasCommits = this->commitMarker.use_count() > 1;
    if (name == this->primary && this->commits.MustEndCommits() && !hasCommits) {
      report.closedVersion = this->primaryVersion;
    }
    // The relays of a server report that it answers, so that most heartbeats name few servers.
    if (health.LastAnswer() && !pool->IsRelayed()) {
      report.answeredMsAgo = milliseconds(aNow - *health.LastAnswer());
    }
    if (!IsEmptyReport(report)) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

std::string ServiceDispatcher::DescribePools(Instant aNow) const
{
  std::string text = "service=" + this->service + " primary=" + this->primary +
                     (this->commits.IsReplacingPrimary() ? " promoting=yes" : "") +
                     " waiting=" + std::to_string(this->waiting.size()) + " pools=";
  const char* separator = "";
  for (const auto& [name, pool] : this->pools) {
    if (pool->Row().deleted) {
      continue;
    }
    text += separator + name + ":use" + std::to_string(pool->InUse()) + "/idle" +
            std::to_string(pool->IdleCount()) + "/opening" + std::to_string(pool->OpeningCount()) +
            "/limit" + std::to_string(pool->Limit()) + (pool->IsRelayed() ? "/relayed" : "") +
            "/answer" + std::to_string(pool->Health().AverageAnswerTime().count() / 1000) + "ms" +
            (pool->Row().draining ? (pool->AcceptsNewWork(aNow) ? "/draining" : "/drained") : "") +
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

void ServiceDispatcher::CheckUnresponsive(Instant aNow)
{
  for (const auto& [name, pool] : this->pools) {
    pool->CheckUnresponsive(aNow);
    pool->CheckPaceTime(aNow);
  }
}

void ServiceDispatcher::ScheduleDispatch()
{
  if (this->isDispatchScheduled) {
    return;
  }
  this->isDispatchScheduled = true;
  QMetaObject::invokeMethod(
    this,
    [this] {
      this->isDispatchScheduled = false;
      this->DispatchWaiting();
    },
    Qt::QueuedConnection);
}

void ServiceDispatcher::DispatchWaiting()
{
  // A callback may request its next connection at once, while the outer call iterates.
  if (this->isDispatching) {
    this->ScheduleDispatch();
    return;
  }
  this->isDispatching = true;
  const Instant now = MonotonicNow();
  this->LiftPacesOfNewService(now);
  for (const auto& [name, pool] : this->pools) {
    pool->ResetAwaited();
  }
  std::map<BackendPool*, std::vector<ConnectionRequest>> wanted;
  std::map<BackendPool*, std::size_t> heldByPace;
  for (std::size_t index = 0; index < this->waiting.size();) {
    if (!this->HasServerFor(this->waiting[index].request, now)) {
      this->TakeWaiting(index).callback(std::nullopt, { StatementError::Unavailable, {} });
      continue;
    }
    const Choice choice = this->ChoosePool(this->waiting[index].request, now);
    if (choice.pool == nullptr ||
        !choice.pool->HasCapacityFor(this->waiting[index].request.priority)) {
      ++index;
      continue;
    }
    const PlacementRequest& request = this->waiting[index].request;
    if (!choice.pool->PaceAllows(request.priority, now)) {
      // Otherwise the grant of connections would shrink while the server is paced.
      choice.pool->RecordDemand(choice.pool->InUse() + wanted[choice.pool].size() +
                                ++heldByPace[choice.pool]);
      ++index;
      continue;
    }
    if (choice.pool->IdleCountFor(request.organisation) == 0 ||
        IsReserved(*choice.pool, wanted[choice.pool], request, now)) {
      std::vector<ConnectionRequest>& requests = wanted[choice.pool];
      requests.push_back({ request.priority,
                           request.arrivedAt,
                           request.deadline,
                           *request.settings,
                           request.organisation });
      choice.pool->RecordDemand(choice.pool->InUse() + requests.size());
      if (choice.pool->CanOpen(now) || choice.pool->OpeningCountFor(request.organisation) > 0) {
        choice.pool->AddAwaited();
      }
      ++index;
      continue;
    }
    const WaitingRequest waiter = this->TakeWaiting(index);
    if (waiter.request.backend.empty()) {
      this->forecast.OnPlaced(now);
      if (choice.placement.onPrimary) {
        this->primaryForecast.OnPlaced(now);
      }
    }
    if (choice.pool->Row().draining) {
      this->RecordDrainingUse(*choice.pool);
    }
    Placement placement = choice.placement;
    placement.pool = choice.pool;
    placement.connection = choice.pool->Take(*waiter.request.settings, waiter.request.organisation);
    waiter.callback(placement, PlacementRefusal{});
  }
  for (const auto& [pool, requests] : wanted) {
    OpenMissing(*pool, requests, now);
  }
  for (const auto& [name, pool] : this->pools) {
    pool->ReleaseIdleRelayed();
  }
  this->UpdateForecasts(now);
  this->isDispatching = false;
}

void ServiceDispatcher::LiftPacesOfNewService(Instant aNow)
{
  for (const auto& [name, pool] : this->pools) {
    if (pool->AcceptsNewWork(aNow) && !pool->Health().IsFailing() && !pool->IsPaced()) {
      return;
    }
  }
  for (const auto& [name, pool] : this->pools) {
    if (pool->IsPaced() && !pool->IsRelayed() && pool->HasGoodAnswer()) {
      pool->LiftPace(aNow);
    }
  }
}

bool ServiceDispatcher::IsReserved(const BackendPool& aPool,
                                   std::span<const ConnectionRequest> aRequests,
                                   const PlacementRequest& aRequest,
                                   Instant aNow)
{
  if (aPool.IsRelayed() || aPool.ConnectionCount() < aPool.Limit() || !aPool.CanOpen(aNow)) {
    return false;
  }
  std::map<std::string_view, std::size_t> ahead;
  for (const ConnectionRequest& each : aRequests) {
    if (each.organisation != aRequest.organisation && IsServedBefore(each, aRequest, aNow)) {
      ++ahead[each.organisation];
    }
  }
  std::size_t missing = 0;
  for (const auto& [organisation, count] : ahead) {
    missing += count - std::min(count, ConnectionsFor(aPool, organisation));
  }
  return missing > 0 && missing >= aPool.IdleCount();
}

void ServiceDispatcher::OpenMissing(BackendPool& aPool,
                                    std::span<const ConnectionRequest> aRequests,
                                    Instant aNow)
{
  std::map<std::string_view, std::size_t> available;
  for (const ConnectionRequest& request : aRequests) {
    const auto [position, isNew] = available.try_emplace(request.organisation, 0);
    if (isNew) {
      position->second = ConnectionsFor(aPool, request.organisation);
    }
    if (position->second > 0) {
      --position->second;
      continue;
    }
    if (!aPool.CanOpen(aNow)) {
      return;
    }
    aPool.Open(request);
  }
}

ServiceDispatcher::WaitingRequest ServiceDispatcher::TakeWaiting(std::size_t aIndex)
{
  WaitingRequest taken = std::move(this->waiting[aIndex]);
  this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return taken;
}

bool ServiceDispatcher::HasServerFor(const PlacementRequest& aRequest, Instant aNow) const
{
  return std::ranges::any_of(this->pools, [&aRequest, aNow](const auto& aEach) {
    return (aRequest.backend.empty() || aRequest.backend == aEach.first) &&
           aEach.second->AcceptsNewWork(aNow);
  });
}

void ServiceDispatcher::RecordDrainingUse(const BackendPool& aPool)
{
  ++this->drainingUseCount;
  const BackendRow& row = aPool.Row();
  if (this->loggedDrains.contains(row.name) && this->loggedDrains[row.name] == row.startedUnixMs) {
    return;
  }
  this->loggedDrains[row.name] = row.startedUnixMs;
  WriteLog(LogEvent::DrainingBackendUsed,
           "backend=" + row.name + " version=" + std::to_string(row.version) +
             " named_primary=" + this->primary + " service=" + this->service);
}

void ServiceDispatcher::ExpireWaiting()
{
  const Instant now = MonotonicNow();
  std::vector<WaitingRequest> expired;
  std::erase_if(this->waiting, [now, &expired](WaitingRequest& aEach) {
    if (now < aEach.request.deadline) {
      return false;
    }
    expired.push_back(std::move(aEach));
    return true;
  });
  for (const WaitingRequest& waiter : expired) {
    const auto chosen = this->pools.find(waiter.request.backend);
    const bool isUnreachable =
      (waiter.request.needsPrimary && this->PrimaryPool(now) == nullptr) ||
      (chosen != this->pools.end() && chosen->second->Health().IsFailing());
    waiter.callback(
      std::nullopt,
      { isUnreachable ? StatementError::Unavailable : StatementError::Overloaded, {} });
  }
  if (this->waiting.empty()) {
    this->expiryTimer.stop();
    return;
  }
  this->DispatchWaiting();
}

ServiceDispatcher::Choice ServiceDispatcher::ChoosePool(const PlacementRequest& aRequest,
                                                        Instant aNow) const
{
  if (!aRequest.backend.empty()) {
    const auto found = this->pools.find(aRequest.backend);
    const bool isUsable = found != this->pools.end() && found->second->AcceptsNewWork(aNow);
    return { isUsable ? found->second : nullptr, {} };
  }
  if (!aRequest.needsPrimary) {
    auto await = this->positions.LowestCovering(aRequest.arrivedAt - aRequest.acceptedAge);
    if (await) {
      if (aRequest.ownCommit) {
        await = std::max(*await, *aRequest.ownCommit);
      }
      BackendPool* pool = this->ChooseReadPool(aRequest, *await, aNow);
      if (pool != nullptr) {
        return { pool, { nullptr, nullptr, false, await } };
      }
    }
  }
  // Also for reads if no recent position is known or no server qualifies. A BEGIN then confirms the
  // primary before the read.
  return { this->PrimaryPool(aNow), { nullptr, nullptr, true, std::nullopt } };
}

BackendPool* ServiceDispatcher::PrimaryPool(Instant aNow) const
{
  // Writes on the old primary would be lost in the promotion.
  if (this->commits.IsReplacingPrimary()) {
    return nullptr;
  }
  const auto named = this->pools.find(this->primary);
  if (named != this->pools.end() && this->IsPrimaryCandidate(*named->second, aNow)) {
    return named->second;
  }
  for (const auto& [name, pool] : this->pools) {
    if (!pool->Row().draining && !pool->Health().IsFailing() &&
        this->IsPrimaryCandidate(*pool, aNow)) {
      return pool;
    }
  }
  return nullptr;
}

bool ServiceDispatcher::IsPrimaryCandidate(const BackendPool& aPool, Instant aNow) const
{
  const auto notPrimary = this->notPrimaryUntil.find(aPool.Row().name);
  if (!aPool.AcceptsNewWork(aNow) ||
      (notPrimary != this->notPrimaryUntil.end() && aNow < notPrimary->second)) {
    return false;
  }
  return !aPool.Health().IsFailing() || aPool.IdleCount() > 0 || aPool.OpeningCount() > 0 ||
         aPool.CanOpen(aNow);
}

BackendPool* ServiceDispatcher::ChooseReadPool(const PlacementRequest& aRequest,
                                               const LogPosition& aRequired,
                                               Instant aNow) const
{
  std::vector<ReadCandidate> candidates;
  std::vector<BackendPool*> candidatePools;
  for (const auto& [name, pool] : this->pools) {
    const BackendRow& row = pool->Row();
    if (row.deleted || row.draining || aRequest.excluded.contains(name)) {
      continue;
    }
    const auto distance = this->distances.find(name);
    const bool hasRoom =
      pool->HasCapacityFor(aRequest.priority) && pool->PaceAllows(aRequest.priority, aNow);
    candidates.push_back(
      { name == this->primary,
        distance == this->distances.end() ? ZoneDistance::OtherRegion : distance->second,
        hasRoom && pool->IdleCountFor(aRequest.organisation) > 0,
        hasRoom && (pool->CanOpen(aNow) || pool->OpeningCount() > 0),
        pool->IsRelayed(),
        pool->Health().IsFailing(),
        pool->Health().IsOverloaded(aNow),
        pool->Health().IsLaggingFor(aRequired, aNow),
        pool->OpeningDuration(aNow),
        pool->InUse(),
        row.slots,
        pool->Health().AverageAnswerTime() });
    candidatePools.push_back(pool);
  }
  const auto chosen = ChooseReadCandidate(candidates);
  return chosen ? candidatePools[*chosen] : nullptr;
}

} // namespace oleanderledge
