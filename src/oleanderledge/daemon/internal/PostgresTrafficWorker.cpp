#include "oleanderledge/daemon/internal/PostgresTrafficWorker.hpp"

namespace oleanderledge {

PostgresTrafficWorker::PostgresTrafficWorker(InstanceInfo aSelf,
                                             Settings aSettings,
                                             const EmulatedLatency& aLatency)
  : self(std::move(aSelf))
  , settings(std::move(aSettings))
  , latency(aLatency)
{
}

PostgresTrafficWorker::~PostgresTrafficWorker() = default;

Result<void> PostgresTrafficWorker::Start()
{
  this->links = CreateProxyLinks(this, this->self, this->latency, this->self.incarnation);
  OwnerSettings ownerSettings;
  ownerSettings.self = this->self;
  ownerSettings.latency = this->latency;
  ownerSettings.queuedUnitsPerClass = this->settings.limits.queuedUnitsPerClass;
  this->owner = CreateOwnerService(this, *this->links.incoming, ownerSettings);
  this->links.incoming->SetOwner(this->owner.get());
  this->linkServer = std::make_unique<LinkServer>(this->self, this->latency, nullptr);
  QObject::connect(
    this->linkServer.get(), &LinkServer::Accepted, this, &PostgresTrafficWorker::AcceptLink);
  auto listening = this->linkServer->Listen(this->settings.linkAddress);
  if (!listening) {
    return listening;
  }
  EntrySettings entrySettings;
  entrySettings.self = this->self;
  entrySettings.callersAddress = this->settings.callersAddress;
  entrySettings.limits.maxMessageBytes = this->settings.limits.maxMessageBytes;
  entrySettings.limits.maxSessions = this->settings.limits.maxCallers;
  entrySettings.emulatedCallerDelay = this->latency.toClients;
  entrySettings.seed = this->self.incarnation;
  auto created = CreateEntryService(this, entrySettings, *this->links.outgoing);
  if (!created) {
    return Fail(created.error().code, created.error().message);
  }
  this->entry = created.value();
  return boost::outcome_v2::success();
}

void PostgresTrafficWorker::AcceptLink(LinkConnection* aLink)
{
  if (aLink->Peer().role != InstanceRole::Proxy) {
    aLink->Close();
    return;
  }
  this->links.incoming->Adopt(aLink);
}

void PostgresTrafficWorker::ApplyDirectory(std::shared_ptr<const Directory> aDirectory)
{
  this->owner->ApplyDirectory(aDirectory);
  this->entry->ApplyDirectory(std::move(aDirectory));
}

void PostgresTrafficWorker::ApplyLeases(const std::vector<LeaseGrant>& aLeases,
                                        Instant aHeartbeatSent)
{
  this->owner->ApplyLeases(aLeases, aHeartbeatSent);
}

TrafficState PostgresTrafficWorker::CollectState()
{
  return { this->owner->Reports(MonotonicNow()), this->owner->ServiceByClass(), {}, {}, {}, {}, 0 };
}

TrafficCounters PostgresTrafficWorker::CollectCounters() const
{
  const EntryCounters& counters = this->entry->Counters();
  TrafficCounters collected;
  collected.sessions = this->entry->SessionCount();
  collected.waitingUnits = this->entry->WaitingUnits();
  collected.unitsForwarded = counters.unitsForwarded;
  collected.unitsAnswered = counters.unitsAnsweredByOwner;
  collected.resends = counters.resends;
  collected.repliesIgnored = counters.repliesIgnored;
  collected.replicaReads = counters.replicaReads;
  collected.primaryReads = counters.primaryReads;
  collected.notRun = counters.errorsNotRun;
  collected.unknown = counters.errorsOutcomeUnknown;
  collected.errors = counters.errors;
  collected.service = this->owner->ServiceByClass();
  return collected;
}

void PostgresTrafficWorker::BeginStop()
{
  this->entry->BeginStop();
  this->owner->BeginRelease();
}

bool PostgresTrafficWorker::IsIdle() const
{
  return this->entry->IsIdle() && this->owner->IsIdle();
}

} // namespace oleanderledge
