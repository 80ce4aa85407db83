#include "oleanderledge/owner/internal/QtOwnerService.hpp"

namespace oleanderledge {

namespace {

constexpr int kBusyTickIntervalMs = 5;
constexpr int kIdleTickIntervalMs = 50;

} // namespace

std::unique_ptr<OwnerService> CreateOwnerService(QObject* aParent,
                                                 ReplySink& aSink,
                                                 const OwnerSettings& aSettings)
{
  return std::make_unique<QtOwnerService>(aParent, aSink, aSettings);
}

QtOwnerService::QtOwnerService(QObject* aParent, ReplySink& aSink, OwnerSettings aSettings)
  : sink(aSink)
  , settings(std::move(aSettings))
{
  // The service is no child of aParent, because the unique_ptr that CreateOwnerService() returns
  // owns it. It only has to live in the same thread.
  if (aParent != nullptr) {
    this->moveToThread(aParent->thread());
  }
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &QtOwnerService::Tick);
  this->timer.start(kIdleTickIntervalMs);
}

QtOwnerService::~QtOwnerService()
{
  // The sockets are deleted first, because their signals call lambdas that use the entries.
  for (auto& [name, entry] : this->owned) {
    for (auto& [id, socket] : entry->sockets) {
      delete socket;
    }
    for (auto& [slot, monitor] : entry->monitors) {
      delete monitor;
    }
  }
}

bool QtOwnerService::IsOwnedHere(const DatabaseRow& aRow) const
{
  return aRow.owner == this->settings.self.id &&
         aRow.ownerIncarnation == this->settings.self.incarnation;
}

std::unique_ptr<Scheduler> QtOwnerService::CreateScheduler() const
{
  switch (this->settings.scheduler) {
    case SchedulerKind::Fifo:
      return std::make_unique<FifoScheduler>();
    case SchedulerKind::StrictPriority:
      return std::make_unique<PriorityScheduler>();
    case SchedulerKind::Deadline:
      break;
  }
  return std::make_unique<DeadlineScheduler>(this->settings.queuedUnitsPerClass);
}

// --- Events from entry processes ---

void QtOwnerService::Submit(LinkId aLink, StatementRequest&& aRequest)
{
  const auto found = this->owned.find(aRequest.database);
  if (found != this->owned.end()) {
    found->second->owner->Submit(aLink, std::move(aRequest), MonotonicNow());
    this->ExecuteActions(*found->second);
    this->AdjustTimer();
    return;
  }
  const bool isKnown =
    this->directory != nullptr && this->directory->FindDatabase(aRequest.database) != nullptr;
  StatementReply reply;
  reply.channel = aRequest.channel;
  reply.sequence = aRequest.sequence;
  reply.database = aRequest.database;
  reply.finalPiece = true;
  reply.code = isKnown ? ResultCode::NotOwner : ResultCode::UnknownDatabase;
  reply.runState = RunState::NotRun;
  reply.message = InfoOf(reply.code).text;
  this->sink.Deliver(aLink, std::move(reply));
}

void QtOwnerService::Cancel(LinkId aLink, const CancelStatement& aCancel)
{
  for (auto& [name, entry] : this->owned) {
    entry->owner->Cancel(aLink, aCancel, MonotonicNow());
    this->ExecuteActions(*entry);
  }
}

void QtOwnerService::CloseChannel(LinkId aLink, std::uint64_t aChannel)
{
  for (auto& [name, entry] : this->owned) {
    entry->owner->CloseChannel({ aLink, aChannel }, MonotonicNow());
    this->ExecuteActions(*entry);
  }
}

void QtOwnerService::CloseLink(LinkId aLink)
{
  this->lastPingUs.erase(aLink);
  for (auto& [name, entry] : this->owned) {
    entry->owner->CloseLink(aLink, MonotonicNow());
    this->ExecuteActions(*entry);
  }
}

void QtOwnerService::RecordPing(LinkId aLink, const LinkPing& aPing)
{
  this->lastPingUs[aLink] = aPing.sentUs;
}

// --- Control plane events ---

void QtOwnerService::ApplyDirectory(std::shared_ptr<const Directory> aDirectory)
{
  this->directory = std::move(aDirectory);
  this->classes.clear();
  for (const auto& [name, row] : this->directory->Classes()) {
    if (!row.deleted) {
      this->classes.push_back({ name, std::chrono::milliseconds(row.targetMs) });
    }
  }
  for (auto& [name, entry] : this->owned) {
    entry->owner->ApplyClasses(this->classes);
  }
  for (const auto& [name, row] : this->directory->Databases()) {
    const auto found = this->owned.find(name);
    if (!this->IsOwnedHere(row)) {
      if (found != this->owned.end()) {
        this->RemoveDatabase(name);
      }
      continue;
    }
    if (found == this->owned.end()) {
      this->AddDatabase(row);
    } else if (found->second->rowVersion != row.version) {
      found->second->rowVersion = row.version;
      found->second->owner->ApplyRow(row, MonotonicNow());
      this->UpdateMonitors(*found->second);
      this->ExecuteActions(*found->second);
    }
  }
}

void QtOwnerService::AddDatabase(const DatabaseRow& aRow)
{
  auto& entry = this->owned[aRow.name];
  entry = std::make_unique<OwnedDatabase>();
  entry->rowVersion = aRow.version;
  entry->owner = std::make_unique<DatabaseOwner>(
    this->settings.self.zone, this->CreateScheduler(), this->counters);
  entry->owner->ApplyClasses(this->classes);
  entry->owner->ApplyRow(aRow, MonotonicNow());
  if (this->stopping) {
    entry->owner->BeginRelease(MonotonicNow());
  }
  this->UpdateMonitors(*entry);
  // A lease can arrive before the directory row that it belongs to.
  const auto pending = this->pendingLeases.find(aRow.name);
  if (pending != this->pendingLeases.end()) {
    entry->owner->ApplyLease(pending->second.grant, pending->second.sent, MonotonicNow());
    this->pendingLeases.erase(pending);
  }
  this->ExecuteActions(*entry);
}

void QtOwnerService::RemoveDatabase(const std::string& aDatabase)
{
  const auto found = this->owned.find(aDatabase);
  OwnedDatabase& entry = *found->second;
  entry.owner->ReleaseImmediately(MonotonicNow());
  this->ExecuteActions(entry);
  for (auto& [slot, monitor] : entry.monitors) {
    monitor->disconnect(this);
    monitor->deleteLater();
  }
  while (!entry.sockets.empty()) {
    this->CloseSocket(entry, entry.sockets.begin()->first);
  }
  this->owned.erase(found);
}

void QtOwnerService::ApplyLeases(std::span<const LeaseGrant> aLeases, Instant aHeartbeatSent)
{
  for (const LeaseGrant& grant : aLeases) {
    const auto found = this->owned.find(grant.database);
    if (found == this->owned.end()) {
      if (grant.lengthUs > 0) {
        this->pendingLeases[grant.database] = { grant, aHeartbeatSent };
      }
      continue;
    }
    found->second->owner->ApplyLease(grant, aHeartbeatSent, MonotonicNow());
    this->ExecuteActions(*found->second);
  }
}

std::vector<OwnerReport> QtOwnerService::Reports(Instant aNow)
{
  std::vector<OwnerReport> reports;
  reports.reserve(this->owned.size());
  for (auto& [name, entry] : this->owned) {
    reports.push_back(entry->owner->Report(aNow));
  }
  return reports;
}

std::vector<ClassService> QtOwnerService::ServiceByClass() const
{
  return this->counters.Snapshot();
}

void QtOwnerService::BeginRelease()
{
  this->stopping = true;
  for (auto& [name, entry] : this->owned) {
    entry->owner->BeginRelease(MonotonicNow());
    this->ExecuteActions(*entry);
  }
}

bool QtOwnerService::IsIdle() const
{
  return this->owned.empty();
}

// --- Backend servers ---

BackendEndpoint QtOwnerService::EndpointOf(const OwnedDatabase& aOwned,
                                           const std::string& aSlot) const
{
  BackendEndpoint endpoint;
  endpoint.user = this->settings.backendUser;
  endpoint.database = aOwned.owner->Row().name;
  for (const SlotRow& slot : aOwned.owner->Row().slots) {
    if (slot.name == aSlot) {
      endpoint.address = slot.address;
      endpoint.latency = this->settings.latency.Between(this->settings.self.zone, slot.zone);
    }
  }
  return endpoint;
}

void QtOwnerService::UpdateMonitors(OwnedDatabase& aOwned)
{
  std::map<std::string, BackendMonitor*> kept;
  for (const SlotRow& slot : aOwned.owner->Row().slots) {
    const auto found = aOwned.monitors.find(slot.name);
    if (found != aOwned.monitors.end() && found->second->Address() == slot.address) {
      kept[slot.name] = found->second;
      aOwned.monitors.erase(found);
      continue;
    }
    auto* monitor = new BackendMonitor(
      slot.name, this->EndpointOf(aOwned, slot.name), this->settings.statusInterval, this);
    kept[slot.name] = monitor;
    QObject::connect(
      monitor, &BackendMonitor::StatusReceived, this, [this, &aOwned](const auto& aStatus) {
        aOwned.owner->SlotStatusReceived(aStatus, MonotonicNow());
        this->ExecuteActions(aOwned);
      });
    QObject::connect(
      monitor, &BackendMonitor::Unreachable, this, [this, &aOwned, name = slot.name] {
        aOwned.owner->SlotUnreachable(name, MonotonicNow());
        this->ExecuteActions(aOwned);
      });
  }
  for (auto& [name, monitor] : aOwned.monitors) {
    monitor->disconnect(this);
    monitor->deleteLater();
  }
  aOwned.monitors = std::move(kept);
}

void QtOwnerService::ExecuteActions(OwnedDatabase& aOwned)
{
  // A nested call leaves its actions to the outer call, which executes them in order.
  if (aOwned.executingActions) {
    return;
  }
  aOwned.executingActions = true;
  for (auto actions = aOwned.owner->TakeActions(); !actions.empty();
       actions = aOwned.owner->TakeActions()) {
    for (OwnerAction& action : actions) {
      this->ExecuteAction(aOwned, action);
    }
  }
  aOwned.executingActions = false;
  const Duration interval = aOwned.owner->HasHeldWrites() ? this->settings.fastStatusInterval
                                                          : this->settings.statusInterval;
  for (auto& [slot, monitor] : aOwned.monitors) {
    monitor->SetInterval(interval);
  }
}

void QtOwnerService::ExecuteAction(OwnedDatabase& aOwned, OwnerAction& aAction)
{
  if (auto* send = std::get_if<SendToBackend>(&aAction)) {
    const auto found = aOwned.sockets.find(send->connection);
    if (found != aOwned.sockets.end()) {
      found->second->Send(std::move(send->bytes));
    }
  } else if (auto* reply = std::get_if<SendReply>(&aAction)) {
    const auto ping = this->lastPingUs.find(reply->link);
    reply->reply.pingEchoUs = ping != this->lastPingUs.end() ? ping->second : 0;
    this->sink.Deliver(reply->link, std::move(reply->reply));
  } else if (const auto* open = std::get_if<OpenConnection>(&aAction)) {
    this->OpenSocket(aOwned, *open);
  } else if (const auto* close = std::get_if<CloseConnection>(&aAction)) {
    this->CloseSocket(aOwned, close->connection);
  } else if (const auto* cancel = std::get_if<CancelOnBackend>(&aAction)) {
    const auto found = aOwned.sockets.find(cancel->connection);
    if (found != aOwned.sockets.end()) {
      found->second->RequestCancel();
    }
  } else if (const auto* log = std::get_if<WriteOwnerLog>(&aAction)) {
    WriteLog(log->event, log->detail);
  }
}

void QtOwnerService::OpenSocket(OwnedDatabase& aOwned, const OpenConnection& aAction)
{
  const ConnectionId id = aAction.connection;
  auto* socket = new BackendSocket(this->EndpointOf(aOwned, aAction.slot), this);
  aOwned.sockets[id] = socket;
  QObject::connect(socket, &BackendSocket::Ready, this, [this, &aOwned, id] {
    aOwned.owner->ConnectionOpened(id, MonotonicNow());
    this->ExecuteActions(aOwned);
  });
  QObject::connect(socket, &BackendSocket::Received, this, [this, &aOwned, id](const auto& aText) {
    this->HandleBackendMessage(aOwned, id, aText);
  });
  QObject::connect(socket, &BackendSocket::CancelFinished, this, [this, &aOwned, id] {
    aOwned.owner->CancelFinished(id, MonotonicNow());
    this->ExecuteActions(aOwned);
  });
  // Queued, because the socket can fail while it is being opened. A queued call arrives even after
  // disconnect(), so it looks up database and socket again.
  QObject::connect(
    socket,
    &BackendSocket::Closed,
    this,
    [this, id, socket, database = aOwned.owner->Row().name](const std::string& aReason) {
      const auto entry = this->owned.find(database);
      if (entry == this->owned.end()) {
        return;
      }
      const auto found = entry->second->sockets.find(id);
      if (found == entry->second->sockets.end() || found->second != socket) {
        return;
      }
      entry->second->owner->ConnectionLost(id, aReason, MonotonicNow());
      this->ExecuteActions(*entry->second);
    },
    Qt::QueuedConnection);
}

void QtOwnerService::CloseSocket(OwnedDatabase& aOwned, ConnectionId aConnection)
{
  const auto found = aOwned.sockets.find(aConnection);
  if (found == aOwned.sockets.end()) {
    return;
  }
  BackendSocket* socket = found->second;
  aOwned.sockets.erase(found);
  aOwned.pausedConnections.erase(aConnection);
  socket->disconnect(this);
  socket->deleteLater();
}

void QtOwnerService::HandleBackendMessage(OwnedDatabase& aOwned,
                                          ConnectionId aConnection,
                                          const std::string& aMessage)
{
  for (const MessageView& message : SplitMessages(aMessage)) {
    aOwned.owner->BackendMessage(aConnection, message, MonotonicNow());
  }
  this->ExecuteActions(aOwned);
  const LinkId link = aOwned.owner->LinkOf(aConnection);
  const auto found = aOwned.sockets.find(aConnection);
  if (link != 0 && found != aOwned.sockets.end() &&
      this->sink.QueuedBytes(link) > this->settings.linkQueueLimitBytes) {
    found->second->SetPaused(true);
    aOwned.pausedConnections.insert(aConnection);
  }
}

void QtOwnerService::ResumePaused(OwnedDatabase& aOwned)
{
  std::erase_if(aOwned.pausedConnections, [&](ConnectionId aConnection) {
    const LinkId link = aOwned.owner->LinkOf(aConnection);
    if (link != 0 && this->sink.QueuedBytes(link) > this->settings.linkQueueLimitBytes / 2) {
      return false;
    }
    aOwned.sockets.at(aConnection)->SetPaused(false);
    return true;
  });
}

void QtOwnerService::Tick()
{
  for (auto& [name, entry] : this->owned) {
    entry->owner->Tick(MonotonicNow());
    this->ExecuteActions(*entry);
    this->ResumePaused(*entry);
  }
  this->AdjustTimer();
}

void QtOwnerService::AdjustTimer()
{
  bool busy = false;
  for (const auto& [name, entry] : this->owned) {
    busy = busy || entry->owner->HasWork();
  }
  const int interval = busy ? kBusyTickIntervalMs : kIdleTickIntervalMs;
  if (this->timer.interval() != interval) {
    this->timer.start(interval);
  }
}

} // namespace oleanderledge
