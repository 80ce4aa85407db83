#include "oleanderledge/entry/internal/CallerServer.hpp"

#include "oleanderledge/transport/transport.hpp"

#include <QHostAddress>
#include <QRandomGenerator>

#include <vector>

namespace oleanderledge {

namespace {

/// Connections accepted beyond the limit on sessions, so that cancel requests get through when the
/// limit is reached.
constexpr std::size_t kExtraStartupConnections = 100;

} // namespace

Result<EntryService*> CreateEntryService(QObject* aParent,
                                         const EntrySettings& aSettings,
                                         OwnerLinks& aLinks)
{
  auto created = std::make_unique<CallerServer>(aSettings, aLinks, nullptr);
  if (auto listening = created->Listen(); !listening) {
    return listening.as_failure();
  }
  created->setParent(aParent);
  return static_cast<EntryService*>(created.release());
}

CallerServer::CallerServer(const EntrySettings& aSettings, OwnerLinks& aLinks, QObject* aParent)
  : QObject(aParent)
  , settings(aSettings)
  , links(&aLinks)
  , forwarder(aSettings.limits, aSettings.seed)
{
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, [this] {
    this->ExecuteActions(this->forwarder.Tick(MonotonicNow()));
  });
  QObject::connect(&this->server, &QTcpServer::newConnection, this, &CallerServer::AcceptPending);
  RetryAcceptingAfterErrors(this->server);
  this->links->SetListener(this);
}

CallerServer::~CallerServer()
{
  if (this->links != nullptr) {
    this->links->SetListener(nullptr);
  }
  const auto open = this->connections;
  for (const auto& [channel, connection] : open) {
    // Connections use other members when they close, so they are deleted before those members.
    connection->Abort();
    delete connection;
  }
}

Result<void> CallerServer::Listen()
{
  const auto [host, port] = SplitAddress(this->settings.callersAddress);
  if (!this->server.listen(QHostAddress(QString::fromStdString(host)), port)) {
    return Fail(ResultCode::ListenFailed,
                this->settings.callersAddress + ": " + this->server.errorString().toStdString());
  }
  return boost::outcome_v2::success();
}

void CallerServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    if (this->connections.size() >= this->settings.limits.maxSessions + kExtraStartupConnections) {
      ++this->counters.sessionsRejected;
      socket->abort();
      socket->deleteLater();
      continue;
    }
    const std::uint64_t channel = this->nextChannel++;
    this->connections[channel] = new CallerConnection(channel, socket, this->settings, *this, this);
  }
}

Result<CancelRequest> CallerServer::OnSessionStart(CallerConnection& aConnection,
                                                   const std::string& aDatabase)
{
  if (this->isStopping) {
    return Fail(ResultCode::ShuttingDown, {});
  }
  if (this->cancelKeys.size() >= this->settings.limits.maxSessions) {
    ++this->counters.sessionsRejected;
    return Fail(ResultCode::StartupRejected, "too many sessions on this proxy");
  }
  // An empty directory means that no update has arrived yet. The session is accepted then, and its
  // units wait for an owner.
  if (this->directory && !this->directory->Databases().empty() &&
      this->directory->FindDatabase(aDatabase) == nullptr) {
    ++this->counters.sessionsRejected;
    return Fail(ResultCode::UnknownDatabase,
                "database \"" + aDatabase + "\" is not known to this proxy");
  }
  CancelRequest key;
  do {
    // The process id is random as well as the secret: proxies share no counter, and a cancel
    // request meant for another proxy must not match a session of this one.
    key.processId = QRandomGenerator::system()->generate();
  } while (key.processId == 0 || this->cancelKeys.contains(key.processId));
  key.secret = QRandomGenerator::system()->generate();
  this->cancelKeys[key.processId] = { aConnection.Channel(), key.secret };
  this->processIds[aConnection.Channel()] = key.processId;
  ++this->counters.sessionsAccepted;
  return key;
}

void CallerServer::OnCancelRequest(const CancelRequest& aRequest)
{
  const auto found = this->cancelKeys.find(aRequest.processId);
  if (found == this->cancelKeys.end() || found->second.secret != aRequest.secret) {
    return;
  }
  this->ExecuteActions(this->forwarder.Cancel(found->second.channel, MonotonicNow()));
}

void CallerServer::OnUnit(ForwardUnit&& aUnit)
{
  this->ExecuteActions(this->forwarder.Submit(std::move(aUnit), MonotonicNow()));
}

void CallerServer::OnOutput(const SessionOutput& aOutput)
{
  this->counters.unitsAnsweredLocally += aOutput.localAnswers;
  for (const auto& [code, runState] : aOutput.errors) {
    ++this->counters.errors[code];
    if (runState == RunState::NotRun) {
      ++this->counters.errorsNotRun;
    } else if (runState == RunState::Unknown) {
      ++this->counters.errorsOutcomeUnknown;
    }
  }
}

void CallerServer::OnDisconnected(CallerConnection& aConnection)
{
  const std::uint64_t channel = aConnection.Channel();
  if (const auto found = this->processIds.find(channel); found != this->processIds.end()) {
    this->cancelKeys.erase(found->second);
    this->processIds.erase(found);
  }
  this->connections.erase(channel);
  aConnection.deleteLater();
  this->ExecuteActions(this->forwarder.CloseChannel(channel));
}

void CallerServer::ApplyDirectory(std::shared_ptr<const Directory> aDirectory)
{
  this->directory = aDirectory;
  this->ExecuteActions(this->forwarder.ApplyDirectory(std::move(aDirectory), MonotonicNow()));
}

void CallerServer::OnLinkReady(const std::string& aAddress)
{
  this->ExecuteActions(this->forwarder.OnLinkReady(aAddress, MonotonicNow()));
}

void CallerServer::OnLinkClosed(const std::string& aAddress)
{
  this->ExecuteActions(this->forwarder.OnLinkClosed(aAddress, MonotonicNow()));
}

void CallerServer::OnLinkReply(const std::string& aAddress, StatementReply&& aReply)
{
  this->ExecuteActions(this->forwarder.OnReply(aAddress, std::move(aReply), MonotonicNow()));
}

void CallerServer::ExecuteActions(Forwarder::Actions&& aActions)
{
  for (ForwardAction& action : aActions) {
    this->pendingActions.push_back(std::move(action));
  }
  if (this->isExecuting) {
    return;
  }
  this->isExecuting = true;
  while (!this->pendingActions.empty()) {
    ForwardAction action = std::move(this->pendingActions.front());
    this->pendingActions.pop_front();
    this->ExecuteAction(std::move(action));
  }
  this->isExecuting = false;
  this->ArmTimer();
}

void CallerServer::ExecuteAction(ForwardAction&& aAction)
{
  if (auto* open = std::get_if<OpenOwnerLink>(&aAction)) {
    if (this->links != nullptr) {
      this->links->Open(open->address);
    }
    return;
  }
  if (auto* send = std::get_if<SendToOwner>(&aAction)) {
    this->ExecuteSend(std::move(*send));
    return;
  }
  StatementReply& reply = std::get<DeliverPiece>(aAction).reply;
  const auto found = this->connections.find(reply.channel);
  if (found == this->connections.end()) {
    return;
  }
  if (reply.finalPiece && reply.code == ResultCode::Ok) {
    ++this->counters.unitsAnsweredByOwner;
  }
  found->second->DeliverReply(std::move(reply));
}

void CallerServer::ExecuteSend(SendToOwner&& aSend)
{
  const auto* request = std::get_if<StatementRequest>(&aSend.message);
  const std::uint64_t channel = request == nullptr ? 0 : request->channel;
  const std::uint64_t sequence = request == nullptr ? 0 : request->sequence;
  const bool isSent =
    this->links != nullptr && this->links->Send(aSend.address, std::move(aSend.message));
  if (!isSent && channel != 0) {
    this->ExecuteActions(this->forwarder.OnSendFailed(channel, sequence, MonotonicNow()));
  }
}

void CallerServer::ArmTimer()
{
  const auto next = this->forwarder.NextTimer();
  if (!next) {
    this->timer.stop();
    return;
  }
  const Duration wait = std::max(Duration{ 0 }, *next - MonotonicNow());
  this->timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void CallerServer::BeginStop()
{
  if (this->isStopping) {
    return;
  }
  this->isStopping = true;
  WriteLog(LogEvent::EntryStopping, "sessions=" + std::to_string(this->cancelKeys.size()));
  this->server.close();
  const auto open = this->connections;
  for (const auto& [channel, connection] : open) {
    connection->BeginStop();
  }
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(this->settings.limits.stopLimit);
  QTimer::singleShot(limit, this, [this] {
    const auto left = this->connections;
    for (const auto& [channel, connection] : left) {
      connection->ForceStop();
    }
  });
}

bool CallerServer::IsIdle() const
{
  return this->connections.empty();
}

const EntryCounters& CallerServer::Counters() const
{
  const Forwarder::Statistics& statistics = this->forwarder.Stats();
  this->counters.unitsForwarded = statistics.forwarded;
  this->counters.resends = statistics.resends;
  this->counters.repliesIgnored = statistics.repliesIgnored;
  this->counters.cancels = statistics.cancels;
  this->counters.replicaReads = statistics.replicaReads;
  this->counters.primaryReads = statistics.primaryReads;
  return this->counters;
}

} // namespace oleanderledge
