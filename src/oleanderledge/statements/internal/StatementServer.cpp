#include "oleanderledge/statements/internal/StatementServer.hpp"

#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>

#include <vector>

namespace oleanderledge {

namespace {

/// Interval of the checks of time limits, and thus their resolution.
constexpr std::chrono::milliseconds kCheckInterval(50);
/// Interval at which long idle connections to backend servers are closed.
constexpr Duration kIdleCheckInterval = std::chrono::seconds(1);
/// Pending connections of callers. All sessions of an availability zone may reconnect at once.
constexpr int kListenBacklog = 1024;
/// A stopping proxy closes sessions that were idle for this time. The next statement of a caller
/// that does not pause between statements may be on its way, and would be lost with the connection.
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(50);

} // namespace

StatementServer::StatementServer(std::unique_ptr<StatementProtocol> aProtocol,
                                 StatementServiceSettings aSettings)
  : protocol(std::move(aProtocol))
  , settings(std::move(aSettings))
  , directory(std::make_shared<Directory>())
  , keyGate(this->settings.keyValidity)
  , linkServer(this->settings.self, {}, nullptr)
  , relayClient(this->settings.self, nullptr)
  , relay(
      *this->protocol,
      [this](const std::string& aBackend) { return this->FindDispatcherOf(aBackend); },
      nullptr)
{
  if (this->settings.budget == nullptr) {
    this->settings.budget = std::make_shared<ResourceBudget>(BudgetLimits{});
  }
  this->linkServer.SetLimits(this->settings.linkLimits, this->settings.budget);
  QObject::connect(&this->linkServer, &LinkServer::Accepted, this, [this](LinkConnection* aLink) {
    this->relay.AcceptLink(aLink);
  });
  QObject::connect(
    &this->server, &QTcpServer::newConnection, this, &StatementServer::AcceptPending);
  QObject::connect(&this->checkTimer, &QTimer::timeout, this, &StatementServer::CheckTimeLimits);
  this->server.setListenBacklogSize(kListenBacklog);
  this->server.setMaxPendingConnections(kListenBacklog);
  RetryAcceptingAfterErrors(this->server);
}

StatementServer::~StatementServer()
{
  // Sessions return their connections to the pools of the dispatchers.
  for (StatementSession* session : std::set(this->sessions)) {
    delete session;
  }
  // Connections of the dispatchers use relayClient, a member.
  for (const auto& [name, dispatcher] : this->dispatchers) {
    delete dispatcher;
  }
}

Result<void> StatementServer::Listen()
{
  const auto [host, port] = SplitAddress(this->settings.callersAddress);
  if (!this->server.listen(QHostAddress(QString::fromStdString(host)), port)) {
    return Fail(ResultCode::ListenFailed,
                this->settings.callersAddress + ": " + this->server.errorString().toStdString());
  }
  if (auto linked = this->linkServer.Listen(this->settings.self.linkAddress); !linked) {
    return linked;
  }
  this->checkTimer.start(kCheckInterval);
  return boost::outcome_v2::success();
}

void StatementServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    const auto admission =
      this->Budget().Admit(ClientPort::Callers, socket->peerAddress().toString().toStdString());
    if (admission.refusal) {
      this->Refuse(socket, *admission.refusal);
      continue;
    }
    auto* session = new StatementSession(*this->protocol, *this, socket, admission.client, this);
    this->sessions.insert(session);
    this->sessionOfClient[admission.client] = session;
    QObject::connect(session, &StatementSession::Closed, this, [this, session] {
      this->Budget().Remove(session->Client());
      this->sessionOfClient.erase(session->Client());
      this->sessions.erase(session);
      session->deleteLater();
    });
  }
  this->CloseSessionsOverBudget();
}

void StatementServer::Refuse(QTcpSocket* aSocket, ClosingReason aReason)
{
  this->Budget().RecordClosing(
    ClientPort::Callers, aReason, aSocket->peerAddress().toString().toStdString(), 0);
  const std::string message =
    this->protocol->Failure(StatementError::Overloaded, "too many connections");
  aSocket->write(message.data(), static_cast<qint64>(message.size()));
  aSocket->flush();
  // Also frees the descriptor of a caller that does not read.
  aSocket->abort();
  aSocket->deleteLater();
}

void StatementServer::CloseSessionsOverBudget()
{
  for (const ResourceBudget::Closing& closing : this->Budget().TakeClosings(ClientPort::Callers)) {
    const auto found = this->sessionOfClient.find(closing.client);
    if (found != this->sessionOfClient.end()) {
      found->second->CloseForLimit(closing.reason);
    }
  }
}

void StatementServer::ApplyDirectory(std::shared_ptr<const Directory> aDirectory)
{
  const bool isFirst = this->directory->ConfigurationNumber() == 0;
  this->directory = std::move(aDirectory);
  for (const auto& [name, backend] : this->directory->Backends()) {
    this->DispatcherOf(backend.service);
  }
  for (const auto& [name, dispatcher] : this->dispatchers) {
    this->ApplyDirectoryTo(*dispatcher);
  }
  if (isFirst && this->directory->ConfigurationNumber() > 0) {
    this->ResumeStartUps();
  }
}

void StatementServer::ResumeStartUps()
{
  for (StatementSession* session : std::set(this->sessions)) {
    session->ResumeStartUp();
  }
}

KeyDecision StatementServer::CheckKey(const RouteRow& aRoute, std::string_view aKeyDigest) const
{
  return this->keyGate.Check(*this->directory, aRoute, aKeyDigest, MonotonicNow());
}

void StatementServer::SetDrainDeadlines(const DrainDeadlineMap& aDeadlines)
{
  this->drainDeadlines = aDeadlines;
}

void StatementServer::SetDirectoryCurrentAt(Instant aHeartbeatSent)
{
  this->directoryCurrentAt = std::max(this->directoryCurrentAt, aHeartbeatSent);
  const bool wasOutOfContact = this->keyGate.IsOutOfContact(MonotonicNow());
  this->keyGate.SetDirectoryCurrentAt(aHeartbeatSent);
  if (wasOutOfContact) {
    this->ResumeStartUps();
  }
  for (const auto& [name, dispatcher] : this->dispatchers) {
    dispatcher->SetDirectoryCurrentAt(this->directoryCurrentAt);
  }
}

void StatementServer::ApplyDirectoryTo(ServiceDispatcher& aDispatcher) const
{
  aDispatcher.ApplyDirectory(
    *this->directory, this->settings.regionOfZone, this->proxyCount, this->drainDeadlines);
}

void StatementServer::SetProxyCount(std::uint32_t aCount)
{
  if (aCount == 0 || aCount == this->proxyCount) {
    return;
  }
  this->proxyCount = aCount;
  this->ApplyDirectory(this->directory);
}

ServiceDispatcher& StatementServer::DispatcherOf(const std::string& aService)
{
  const auto found = this->dispatchers.find(aService);
  if (found != this->dispatchers.end()) {
    return *found->second;
  }
  auto* created = new ServiceDispatcher(*this->protocol,
                                        aService,
                                        this->settings.self.zone,
                                        this->relayClient,
                                        this->settings.pacesStarts,
                                        this);
  this->ApplyDirectoryTo(*created);
  created->SetDirectoryCurrentAt(this->directoryCurrentAt);
  this->dispatchers.emplace(aService, created);
  return *created;
}

ServiceDispatcher* StatementServer::FindDispatcherOf(const std::string& aBackend)
{
  const BackendRow* backend = this->directory->FindBackend(aBackend);
  return backend == nullptr ? nullptr : &this->DispatcherOf(backend->service);
}

void StatementServer::CountOutcome(std::uint32_t aPriority,
                                   std::optional<StatementError> aError,
                                   Duration aTook)
{
  ++this->answered;
  PriorityTotals& totals = this->byPriority[aPriority];
  ++totals.outcomes[std::string(aError ? ToString(*aError) : "ok")];
  if (!aError) {
    totals.latency.Record(aTook);
  }
}

void StatementServer::ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants)
{
  for (const ConnectionGrant& grant : aGrants) {
    const BackendRow* backend = this->directory->FindBackend(grant.backend);
    if (backend != nullptr) {
      this->DispatcherOf(backend->service).ApplyGrant(grant);
    }
  }
}

std::vector<BackendReport> StatementServer::TakeBackendReports(Instant aNow)
{
  std::vector<BackendReport> reports;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    std::ranges::move(dispatcher->TakeReports(aNow), std::back_inserter(reports));
  }
  return reports;
}

std::vector<CommitReport> StatementServer::ReportCommits() const
{
  std::vector<CommitReport> reports;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    if (auto report = dispatcher->ReportCommits()) {
      reports.push_back(*std::move(report));
    }
  }
  return reports;
}

std::vector<PrimaryPosition> StatementServer::ObservedPositions() const
{
  std::vector<PrimaryPosition> positions;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    if (const auto& newest = dispatcher->ObservedPosition()) {
      positions.push_back({ name, newest->position, newest->sentAt });
    }
  }
  return positions;
}

void StatementServer::AddPeerPositions(const std::vector<PrimaryPosition>& aPositions)
{
  for (const PrimaryPosition& position : aPositions) {
    this->DispatcherOf(position.service).AddPeerPosition(position.asOf, position.position);
  }
}

StatementCounters StatementServer::Counters() const
{
  StatementCounters counters;
  counters.sessions = this->sessions.size();
  counters.answered = this->answered;
  counters.relayedUses = this->relay.UseCount();
  for (const auto& [name, dispatcher] : this->dispatchers) {
    counters.waiting += dispatcher->WaitingCount();
    counters.drainingUses += dispatcher->DrainingUseCount();
    for (const auto& [backend, pool] : dispatcher->Pools()) {
      counters.connectionsOpened += pool->OpenedCount();
      counters.pacedBackends += pool->IsPaced() && !pool->IsRelayed() ? 1 : 0;
    }
  }
  counters.byPriority = this->byPriority;
  counters.clientsClosed = this->settings.budget->ClosingCounts();
  counters.clientBytes = this->settings.budget->HeldBytes();
  counters.clientConnections = this->settings.budget->ConnectionCount();
  return counters;
}

void StatementServer::CheckTimeLimits()
{
  const Instant now = MonotonicNow();
  for (const auto& [name, dispatcher] : this->dispatchers) {
    dispatcher->CheckUnresponsive(now);
  }
  // A session that closes removes itself from the set.
  for (StatementSession* session : std::vector(this->sessions.begin(), this->sessions.end())) {
    session->CheckTimeLimits(now);
  }
  this->CloseSessionsOverBudget();
  if (now - this->idleClosedAt >= kIdleCheckInterval) {
    this->idleClosedAt = now;
    for (const auto& [name, dispatcher] : this->dispatchers) {
      dispatcher->CloseIdle(now);
    }
  }
  this->CheckStop(now);
}

void StatementServer::BeginStop()
{
  this->isStopping = true;
  this->stopStarted = MonotonicNow();
  this->relay.BeginStop();
  WriteLog(LogEvent::EntryStopping, "sessions=" + std::to_string(this->sessions.size()));
}

void StatementServer::CheckStop(Instant aNow)
{
  if (!this->isStopping || aNow - this->stopStarted < this->settings.closeIdleSessionsAfter) {
    return;
  }
  this->server.close();
  const bool endsTransactions = this->RefusesNewWork();
  if (endsTransactions) {
    this->relay.RefuseStatements();
  }
  const bool endsStatements = aNow - this->stopStarted >= this->settings.answerUnfinishedAfter;
  for (StatementSession* session : std::set(this->sessions)) {
    if (session->IsIdleSince(aNow - kIdleBeforeClose)) {
      session->Close();
      continue;
    }
    if (endsStatements) {
      session->EndStatement();
    }
    if (endsTransactions) {
      session->AbortTransaction("the proxy is stopping");
    }
  }
}

bool StatementServer::RefusesNewWork() const
{
  return this->isStopping &&
         MonotonicNow() - this->stopStarted >= this->settings.abortTransactionsAfter;
}

bool StatementServer::IsIdle() const
{
  return this->sessions.empty() && this->relay.IsIdle();
}

Result<std::unique_ptr<StatementService>> CreateStatementService(
  std::unique_ptr<StatementProtocol> aProtocol,
  const StatementServiceSettings& aSettings)
{
  auto server = std::make_unique<StatementServer>(std::move(aProtocol), aSettings);
  auto listening = server->Listen();
  if (!listening) {
    return Fail(listening.error().code, listening.error().message);
  }
  return std::unique_ptr<StatementService>(std::move(server));
}

} // namespace oleanderledge
