#include "oleanderledge/daemon/internal/StatementTrafficWorker.hpp"

#include "oleanderledge/daemon/ClientBudget.hpp"
#include "oleanderledge/daemon/PortLimitSettings.hpp"

namespace oleanderledge {

namespace {

/// Time before the end of a graceful stop that is left for the last answers to reach callers.
constexpr std::chrono::milliseconds kLastAnswerTime{ 200 };

/// Time for which keys are trusted: a part of the setting, as the clocks of instances may run at
/// slightly different rates.
Duration UsableKeyValidity(const FleetSettings& aFleet)
{
  constexpr int kUsableTenths = 9;
  return Duration{ std::chrono::milliseconds(aFleet.keyValidityMs) } * kUsableTenths / 10;
}

} // namespace

StatementTrafficWorker::StatementTrafficWorker(InstanceInfo aSelf,
                                               std::unique_ptr<StatementProtocol> aProtocol,
                                               Settings aSettings,
                                               std::shared_ptr<ResourceBudget> aBudget)
  : self(std::move(aSelf))
  , protocol(std::move(aProtocol))
  , settings(std::move(aSettings))
  , budget(std::move(aBudget))
{
}

Result<void> StatementTrafficWorker::Start()
{
  this->admission = std::make_unique<QuotaAdmission>(nullptr);
  QObject::connect(this->admission.get(),
                   &QuotaAdmission::TokensRequested,
                   this,
                   &StatementTrafficWorker::TokensRequested);
  StatementServiceSettings serviceSettings;
  serviceSettings.admission = this->admission.get();
  serviceSettings.callersAddress = this->settings.callersAddress;
  serviceSettings.self = this->self;
  serviceSettings.regionOfZone = this->settings.fleet.regionOfZone;
  serviceSettings.keyValidity = UsableKeyValidity(this->settings.fleet);
  serviceSettings.pacesStarts = this->settings.fleet.pacedStarts;
  serviceSettings.answerUnfinishedAfter =
    std::chrono::milliseconds(this->settings.fleet.stopLimitMs) - kLastAnswerTime;
  serviceSettings.clientLimits = ClientLimitsOf(this->settings.limits);
  serviceSettings.linkLimits = ToLinkLimits(this->settings.portLimits);
  serviceSettings.budget = this->budget;
  auto created = CreateStatementService(std::move(this->protocol), serviceSettings);
  if (!created) {
    return Fail(created.error().code, created.error().message);
  }
  this->service = std::move(created.value());
  return boost::outcome_v2::success();
}

void StatementTrafficWorker::ApplyDirectory(std::shared_ptr<const Directory> aDirectory)
{
  this->service->ApplyDirectory(std::move(aDirectory));
}

void StatementTrafficWorker::SetDrainDeadlines(const DrainDeadlineMap& aDeadlines)
{
  this->service->SetDrainDeadlines(aDeadlines);
}

void StatementTrafficWorker::SetDirectoryCurrentAt(Instant aHeartbeatSent)
{
  this->service->SetDirectoryCurrentAt(aHeartbeatSent);
}

void StatementTrafficWorker::SetProxyCount(std::uint32_t aCount)
{
  this->service->SetProxyCount(aCount);
}

void StatementTrafficWorker::ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants)
{
  this->service->ApplyConnectionGrants(aGrants);
}

void StatementTrafficWorker::AddPositions(const std::vector<PrimaryPosition>& aPositions)
{
  this->service->AddPeerPositions(aPositions);
}

void StatementTrafficWorker::HandleTokenReply(const TokenReply& aReply)
{
  this->admission->HandleReply(aReply);
}

void StatementTrafficWorker::HandleShares(std::uint64_t aTerm,
                                          const std::vector<QuotaShare>& aChanged,
                                          Instant aHeartbeatSent)
{
  this->admission->HandleShares(aTerm, aChanged, aHeartbeatSent);
}

TrafficState StatementTrafficWorker::CollectState()
{
  return { {},
           {},
           this->service->TakeBackendReports(MonotonicNow()),
           this->service->ReportCommits(),
           this->service->ObservedPositions(),
           this->admission->TakeOperationCounts(),
           this->admission->QuotaNumber() };
}

TrafficCounters StatementTrafficWorker::CollectCounters() const
{
  const StatementCounters counters = this->service->Counters();
  TrafficCounters collected;
  collected.sessions = counters.sessions;
  collected.waitingUnits = counters.waiting;
  collected.unitsAnswered = counters.answered;
  collected.connectionsOpened = counters.connectionsOpened;
  collected.relayedUses = counters.relayedUses;
  collected.drainingUses = counters.drainingUses;
  collected.pacedBackends = counters.pacedBackends;
  collected.statements = counters.byPriority;
  const TokenLedger& ledger = this->admission->Ledger();
  collected.operationsAdmitted = ledger.AdmittedCount();
  collected.operationsOverLimit = ledger.RefusedCount();
  collected.operationsAwaitingToken = ledger.WaitingCount();
  collected.clientsClosed = counters.clientsClosed;
  collected.clientBytes = counters.clientBytes;
  collected.clientConnections = counters.clientConnections;
  return collected;
}

void StatementTrafficWorker::BeginStop()
{
  this->service->BeginStop();
}

bool StatementTrafficWorker::IsIdle() const
{
  return this->service->IsIdle();
}

} // namespace oleanderledge
