#include "oleanderledge/control/internal/ControlDaemon.hpp"

#include "oleanderledge/control/internal/ConsensusControlGroup.hpp"
#include "oleanderledge/control/internal/ControlJson.hpp"
#include "oleanderledge/control/internal/DirectoryPublisher.hpp"
#include "oleanderledge/control/internal/HeartbeatRelay.hpp"
#include "oleanderledge/control/internal/LibpqBackendAdmin.hpp"
#include "oleanderledge/control/internal/TokenRequestRelay.hpp"

#include <QJsonArray>

#include <algorithm>

namespace oleanderledge {

namespace {

/// Decisions wait for the next tick, which delays each step of a failover by half of this on
/// average.
constexpr std::chrono::milliseconds kTickInterval(20);
/// The same interval as that of the proxies' heartbeats.
constexpr Duration kOwnHeartbeatInterval = std::chrono::milliseconds(200);
/// The first of this number of heartbeats of a proxy, so one each 2 s, is answered with the
/// addresses of the control instances. They change rarely, and replies cross regions.
constexpr std::uint64_t kHeartbeatsPerAddressList = 10;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpUnprocessable = 422;
/// Configurations that are replicated at the same time; the largest has 4 MiB by default.
constexpr std::size_t kMaxPendingConfigurationBytes = std::size_t{ 4 } * 1024 * 1024;
/// Control instances whose HTTP address is remembered; a group has few.
constexpr std::size_t kMaxMemberAddresses = 64;
/// The number of proxies need not be recent, as proxies use it only to divide connection limits.
constexpr Duration kProxyCountInterval = std::chrono::seconds(1);

ControlDaemon::GroupFactory ConsensusGroupFactory(const ControlSettings& aSettings)
{
  return [&aSettings](ReplicatedState& aState, LeadershipListener& aListener) {
    return std::make_unique<ConsensusControlGroup>(aSettings, aState, aListener);
  };
}

std::chrono::milliseconds ToTimer(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDuration);
}

} // namespace

ControlDaemon::ControlDaemon(const ControlSettings& aSettings, QObject* aParent)
  : ControlDaemon(aSettings,
                  ConsensusGroupFactory(aSettings),
                  std::make_unique<LibpqBackendAdmin>(aSettings.backendUser,
                                                      aSettings.backendCallTimeout,
                                                      nullptr),
                  aParent)
{
}

ControlDaemon::ControlDaemon(const ControlSettings& aSettings,
                             const GroupFactory& aGroupFactory,
                             std::unique_ptr<BackendAdmin> aBackendAdmin,
                             QObject* aParent)
  : QObject(aParent)
  , settings(aSettings)
  , latency{ aSettings.latencyBetweenZones, aSettings.latencyBetweenRegions, Duration{ 0 } }
  , notifyingState(this->state, [this] { this->publisher->SchedulePublish(); })
  , leader(this->state, aSettings.timings, aSettings.limits)
  , connectionAllocator(this->state, {})
  , serviceCoordinator(this->state, aSettings.nodeName, aSettings.serviceTimings)
  , ignoredRegistrations(aSettings.serviceTimings.RegistrationTimeout())
  , group(aGroupFactory(this->notifyingState, *this))
  , backendAdmin(std::move(aBackendAdmin))
  , linkServer(aSettings.instance, this->latency, nullptr)
  , publisher(new DirectoryPublisher(this->state, this))
  , relay(new HeartbeatRelay(
      [this](const Message& aMessage) {
        this->group->SendToInstance(this->Log().Leader().instance, aMessage);
      },
      this))
  , tokenRelay(new TokenRequestRelay(
      [this](const Message& aMessage) {
        this->group->SendToInstance(this->Log().Leader().instance, aMessage);
      },
      this))
  , budget(std::make_shared<ResourceBudget>(aSettings.budgetLimits))
  , httpClients(std::make_shared<HttpClients>(aSettings.httpLimits, this->budget))
  , http(*this, this->httpClients, nullptr)
{
  this->linkServer.SetLimits(aSettings.linkLimits, this->budget);
  QObject::connect(&this->linkServer, &LinkServer::Accepted, this, &ControlDaemon::AcceptLink);
  this->tickTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->tickTimer, &QTimer::timeout, this, &ControlDaemon::Tick);
}

ControlDaemon::~ControlDaemon() = default;

Result<void> ControlDaemon::Start()
{
  auto linked = this->linkServer.Listen(this->settings.instance.linkAddress);
  if (!linked) {
    return linked;
  }
  auto listening = this->http.Listen(this->settings.instance.httpAddress);
  if (!listening) {
    return listening;
  }
  auto started = this->group->Start(
    [this](const InstanceInfo& aPeer, const Message& aMessage) {
      this->HandleMemberMessage(aPeer, aMessage);
    },
    [this](const Error& aError) {
      this->isStopping = true;
      this->tickTimer.stop();
      Q_EMIT this->Stopped(aError);
    });
  if (!started) {
    return started;
  }
  this->tickTimer.start(kTickInterval);
  return boost::outcome_v2::success();
}

void ControlDaemon::BeginStop()
{
  if (this->isStopping || this->leaveDeadline) {
    return;
  }
  WriteLog(LogEvent::DaemonStopping, "instance=" + this->settings.instance.id);
  this->leaveDeadline = MonotonicNow() + this->settings.leaveLimit;
  this->group->BeginLeave();
  this->StopIfLeft(MonotonicNow());
}

void ControlDaemon::StopIfLeft(Instant aNow)
{
  if (!this->leaveDeadline || (aNow < *this->leaveDeadline && !this->group->HasLeft())) {
    return;
  }
  this->isStopping = true;
  this->linkServer.Stop();
  this->tickTimer.stop();
  this->group->Stop();
  // Queued, so that operator requests that fail because the log stops are answered before the event
  // loop ends.
  QMetaObject::invokeMethod(
    this, [this] { Q_EMIT this->Stopped({}); }, Qt::QueuedConnection);
}

void ControlDaemon::OnLeadershipGained(std::uint64_t aTerm)
{
  ControlActions actions;
  const Instant now = MonotonicNow();
  this->serviceCoordinator.OnLeadershipGained(now);
  this->ignoredRegistrations.Clear();
  this->connectionAllocator.OnLeadershipGained(now);
  this->positionDistributor.Clear();
  this->tokenAllocator.OnLeadershipGained(aTerm, now);
  this->leader.OnLeadershipGained(now, actions);
  this->UpdateProxyCount(now);
  this->publisher->Start();
  this->Execute(actions);
}

void ControlDaemon::OnLeadershipLost()
{
  this->leader.OnLeadershipLost();
  this->serviceCoordinator.OnLeadershipLost();
  WriteLog(LogEvent::ControlNotLeading, "instance=" + this->settings.instance.id);
}

void ControlDaemon::HandleAnnouncement(const Announcement& aAnnouncement)
{
  ++this->announcementCount;
  const auto handle = [this, aAnnouncement] {
    ControlActions actions;
    this->leader.OnAnnouncement(aAnnouncement, MonotonicNow(), actions);
    this->Execute(actions);
  };
  const Duration delay = this->latency.Between(aAnnouncement.zone, this->settings.instance.zone);
  if (delay == Duration{ 0 }) {
    handle();
  } else {
    QTimer::singleShot(ToTimer(delay), this, handle);
  }
}

bool ControlDaemon::IsCurrentLeader() const
{
  return this->leader.IsLeading() && this->Log().HasLeaderLease(MonotonicNow());
}

std::string ControlDaemon::LeaderHttpAddress() const
{
  if (!this->Log().HasCurrentLeader(MonotonicNow())) {
    return {};
  }
  const std::string instance = this->Log().Leader().instance;
  // The address from its messages comes first: a new leader may not be in the replicated state yet.
  const auto peer = this->memberHttpAddresses.find(instance);
  if (peer != this->memberHttpAddresses.end()) {
    return peer->second;
  }
  const auto found = this->state.Instances().find(instance);
  return found == this->state.Instances().end() ? std::string{} : found->second.httpAddress;
}

void ControlDaemon::HandleClassChange(const ChangeClass& aChange, OperatorCallback aCallback)
{
  const auto answerIfApplied = [this, aChange, aCallback]() {
    const OperatorAnswer* found = this->state.Classes().FindAnswer(aChange);
    if (found == nullptr) {
      return false;
    }
    WriteLog(LogEvent::OperatorChange,
             "class=" + aChange.name + " request_id=" + aChange.requestId +
               " code=" + std::to_string(static_cast<unsigned>(found->code)) +
               " version=" + std::to_string(found->version));
    aCallback(HttpStatusOf(found->code), AnswerToJson(*found));
    return true;
  };
  if (answerIfApplied()) {
    return;
  }
  // The answers to changes that cannot apply are not stored: each that builds on another version
  // has all classes.
  const ClassTable& classes = this->state.Classes();
  if (aChange.baseVersion != classes.Version()) {
    const OperatorAnswer conflict{ ResultCode::VersionConflict,
                                   classes.Version(),
                                   classes.ActiveClasses() };
    aCallback(HttpStatusOf(conflict.code), AnswerToJson(conflict));
    return;
  }
  if (aChange.action == ClassAction::Create &&
      classes.ActiveClasses().size() >= this->settings.limits.classes) {
    aCallback(kHttpUnprocessable,
              ErrorToJson(ResultCode::InvalidClass, "there are too many classes"));
    return;
  }
  this->Log().Propose(
    EncodeCommand(aChange), [answerIfApplied, aCallback](const Result<std::uint64_t>& aIndex) {
      if (!aIndex) {
        aCallback(kHttpUnavailable, ErrorToJson(aIndex.error().code, aIndex.error().message));
        return;
      }
      if (!answerIfApplied()) {
        // Requests without a valid request id are rejected, and no answer is stored for them.
        aCallback(HttpStatusOf(ResultCode::InvalidClass),
                  ErrorToJson(ResultCode::InvalidClass, {}));
      }
    });
}

QJsonObject ControlDaemon::Classes() const
{
  return ClassesToJson(this->state.Classes());
}

QJsonObject ControlDaemon::ClassHistory() const
{
  return HistoryToJson(this->state.Classes());
}

QJsonObject ControlDaemon::Status(std::uint64_t aVersion) const
{
  const std::uint64_t version = aVersion == 0 ? this->state.Classes().Version() : aVersion;
  QJsonObject status = StatusToJson(this->state, this->leader, version, MonotonicNow());
  status.insert("leader", QString::fromStdString(this->Log().Leader().instance));
  QJsonArray members;
  for (const ControlMember& member : this->Log().Members()) {
    members.append(QJsonObject{ { "id", QString::fromStdString(member.id) },
                                { "instance", QString::fromStdString(member.instance) },
                                { "link", QString::fromStdString(member.linkAddress) },
                                { "voter", member.voter } });
  }
  status.insert("members", members);
  return status;
}

bool ControlDaemon::IsReady() const
{
  return !this->isStopping && !this->leaveDeadline &&
         (this->IsCurrentLeader() || this->Log().HasCurrentLeader(MonotonicNow()));
}

QByteArray ControlDaemon::Metrics() const
{
  const auto line = [](const char* aName, const char* aType, std::uint64_t aValue) {
    return QByteArray("# TYPE oleanderledge_control_") + aName + " " + aType +
           "\noleanderledge_control_" + aName + " " + QByteArray::number(qulonglong(aValue)) + "\n";
  };
  std::uint64_t waiting = 0;
  std::uint64_t unsteady = 0;
  for (const auto& [name, record] : this->state.Databases().Records()) {
    waiting += record.row.phase == FailoverPhase::Waiting ? 1 : 0;
    unsteady += record.row.phase != FailoverPhase::Steady ? 1 : 0;
  }
  const VoterHealth voters = this->group->Voters(MonotonicNow());
  QByteArray traffic = "# TYPE oleanderledge_link_bytes_sent_total counter\n";
  for (const LinkTraffic& each : SentBytesByMessage()) {
    traffic += QByteArray("oleanderledge_link_bytes_sent_total{message=\"") +
               QByteArray(each.message.data(), static_cast<qsizetype>(each.message.size())) +
               "\",to=\"" +
               QByteArray(each.distance.data(), static_cast<qsizetype>(each.distance.size())) +
               "\"} " + QByteArray::number(qulonglong(each.bytes)) + "\n";
  }
  QByteArray clients = line("client_bytes", "gauge", this->budget->HeldBytes()) +
                       line("client_connections", "gauge", this->budget->ConnectionCount()) +
                       "# TYPE oleanderledge_control_clients_closed_total counter\n";
  for (const auto& [reason, count] : this->budget->ClosingCounts()) {
    const std::string_view name = ToString(reason);
    clients += "oleanderledge_control_clients_closed_total{reason=\"" +
               QByteArray(name.data(), static_cast<qsizetype>(name.size())) + "\"} " +
               QByteArray::number(qulonglong(count)) + "\n";
  }
  return traffic + clients + line("leading", "gauge", this->IsCurrentLeader() ? 1 : 0) +
         line("current_leader", "gauge", this->Log().HasCurrentLeader(MonotonicNow()) ? 1 : 0) +
         line("configuration_number", "gauge", this->state.Routes().Number()) +
         line("term", "gauge", this->Log().Term()) +
         line("applied_index", "gauge", this->Log().AppliedIndex()) +
         line("voters_answering", "gauge", voters.answering) +
         line("voter_lag_entries", "gauge", voters.furthestLag) +
         line("directory_version", "gauge", this->state.DirectoryVersion()) +
         line("connected_proxies", "gauge", this->publisher->ConnectedProxyCount()) +
         line("databases", "gauge", this->state.Databases().Records().size()) +
         line("databases_unsteady", "gauge", unsteady) +
         line("databases_waiting", "gauge", waiting) +
         line("announcements_total", "counter", this->announcementCount) +
         line("heartbeats_total", "counter", this->heartbeatCount) +
         line("tokens_granted_total", "counter", this->tokenAllocator.GrantedCount()) +
         line("tokens_denied_total", "counter", this->tokenAllocator.DeniedCount());
}

void ControlDaemon::AcceptLink(LinkConnection* aLink)
{
  if (aLink->Peer().role == InstanceRole::Control) {
    this->group->AddLink(aLink);
    return;
  }
  QObject::connect(aLink, &LinkConnection::Received, this, [this, aLink](const Message& aMessage) {
    const auto* heartbeat = std::get_if<Heartbeat>(&aMessage);
    const auto* request = std::get_if<TokenRequest>(&aMessage);
    if (this->isStopping || (heartbeat == nullptr && request == nullptr)) {
      return;
    }
    // A link speaks for one process, so that it cannot invent others.
    const std::string& sender = heartbeat != nullptr ? heartbeat->instance.id : request->instance;
    if (sender != aLink->Peer().id) {
      WriteLog(LogEvent::HeartbeatIrregular,
               "instance=" + aLink->Peer().id + " verdict=other_instance");
      aLink->Close();
      return;
    }
    if (heartbeat != nullptr) {
      this->HandleHeartbeat(aLink, *heartbeat);
    } else {
      this->HandleTokenRequest(aLink, *request);
    }
  });
}

void ControlDaemon::HandleHeartbeat(LinkConnection* aLink, const Heartbeat& aHeartbeat)
{
  ++this->heartbeatCount;
  this->publisher->OnHeartbeat(aLink, aHeartbeat);
  const Instant now = MonotonicNow();
  if (!this->leader.IsLeading() && this->Log().HasCurrentLeader(now)) {
    this->relay->Add(aHeartbeat);
    return;
  }
  ControlActions actions;
  this->relayByInstance.erase(aHeartbeat.instance.id);
  aLink->Send(this->AnswerHeartbeat(aHeartbeat, this->Log().HasLeaderLease(now), now, actions));
  this->Execute(actions);
}

void ControlDaemon::HandleTokenRequest(LinkConnection* aLink, const TokenRequest& aRequest)
{
  if (!this->leader.IsLeading() && this->Log().HasCurrentLeader(MonotonicNow())) {
    this->tokenRelay->Add(aRequest);
    return;
  }
  aLink->Send(this->AnswerTokenRequest(aRequest));
}

TokenReply ControlDaemon::AnswerTokenRequest(const TokenRequest& aRequest)
{
  if (this->IsCurrentLeader()) {
    return this->tokenAllocator.Answer(
      aRequest, this->state.Routes().Organisations(), MonotonicNow());
  }
  TokenReply reply;
  reply.instance = aRequest.instance;
  reply.incarnation = aRequest.incarnation;
  reply.sequence = aRequest.sequence;
  reply.sentUs = aRequest.sentUs;
  return reply;
}

void ControlDaemon::HandleMemberMessage(const InstanceInfo& aPeer, const Message& aMessage)
{
  if (this->isStopping) {
    return;
  }
  if (this->memberHttpAddresses.size() >= kMaxMemberAddresses &&
      !this->memberHttpAddresses.contains(aPeer.id)) {
    // Members send messages all the time, so their addresses are soon known again.
    this->memberHttpAddresses.clear();
  }
  this->memberHttpAddresses[aPeer.id] = aPeer.httpAddress;
  if (const auto* relayed = std::get_if<RelayedHeartbeats>(&aMessage)) {
    this->HandleRelayedHeartbeats(aPeer.id, *relayed);
  } else if (const auto* replies = std::get_if<RelayedReplies>(&aMessage)) {
    for (const HeartbeatReply& reply : replies->replies) {
      this->publisher->SendTo(reply.instance, reply);
    }
  } else if (const auto* requests = std::get_if<RelayedTokenRequests>(&aMessage)) {
    RelayedTokenReplies answers;
    for (const TokenRequest& request : requests->requests) {
      answers.replies.push_back(this->AnswerTokenRequest(request));
    }
    this->group->SendToInstance(aPeer.id, answers);
  } else if (const auto* answers = std::get_if<RelayedTokenReplies>(&aMessage)) {
    for (const TokenReply& reply : answers->replies) {
      this->publisher->SendTo(reply.instance, reply);
    }
  }
}

void ControlDaemon::HandleRelayedHeartbeats(const std::string& aPeer,
                                            const RelayedHeartbeats& aRelayed)
{
  const Instant now = MonotonicNow();
  const bool hasLeaderLease = this->Log().HasLeaderLease(now);
  RelayedReplies replies;
  ControlActions actions;
  for (const Heartbeat& heartbeat : aRelayed.heartbeats) {
    ++this->heartbeatCount;
    replies.replies.push_back(this->AnswerHeartbeat(heartbeat, hasLeaderLease, now, actions));
    if (this->relayByInstance.size() >= this->settings.limits.instances * 2) {
      std::erase_if(this->relayByInstance, [this](const auto& aEach) {
        return this->leader.Heartbeats().Find(aEach.first) == nullptr;
      });
    }
    if (this->leader.Heartbeats().Find(heartbeat.instance.id) != nullptr) {
      this->relayByInstance[heartbeat.instance.id] = aPeer;
    }
  }
  this->group->SendToInstance(aPeer, replies);
  this->Execute(actions);
}

HeartbeatReply ControlDaemon::AnswerHeartbeat(const Heartbeat& aHeartbeat,
                                              bool aHasLeaderLease,
                                              Instant aNow,
                                              ControlActions& aActions)
{
  HeartbeatReply reply = this->leader.OnHeartbeat(aHeartbeat, aHasLeaderLease, aNow, aActions);
  // Reports of processes that are not known, because there are too many, are not kept.
  if (aHeartbeat.instance.role != InstanceRole::Proxy ||
      (aHasLeaderLease && this->leader.IsLeading() &&
       this->leader.Heartbeats().Find(aHeartbeat.instance.id) == nullptr)) {
    return reply;
  }
  this->serviceCoordinator.OnBackendReports(aHeartbeat.instance.id, aHeartbeat.backends, aNow);
  this->serviceCoordinator.OnCommitReports(aHeartbeat.instance.id, aHeartbeat.commits);
  if (aHeartbeat.sequence % kHeartbeatsPerAddressList == 1) {
    for (const ControlMember& member : this->Log().Members()) {
      reply.controlAddresses.push_back(member.linkAddress);
    }
  }
  reply.proxyCount = this->proxyCount;
  this->connectionAllocator.OnBackendReports(aHeartbeat.instance, aHeartbeat.backends, aNow);
  if (this->IsCurrentLeader()) {
    reply.leaderTerm = this->Log().Term();
    reply.leaderUs = ToMicroseconds(aNow);
    if (aHeartbeat.leaderTerm == reply.leaderTerm) {
      this->positionDistributor.Add(aHeartbeat.positions, aNow);
    }
    reply.connections = this->connectionAllocator.TakeChangedGrants(aHeartbeat.instance.id, aNow);
    reply.positions = this->positionDistributor.TakeUpdatesFor(aHeartbeat.instance.id);
    if (this->state.Routes().UsesOrganisations()) {
      reply.quotaShares =
        this->tokenAllocator.OnHeartbeat(aHeartbeat, this->state.Routes().Organisations(), aNow);
    }
  }
  return reply;
}

Heartbeat ControlDaemon::MakeOwnHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.instance = this->settings.instance;
  heartbeat.instance.role = InstanceRole::Control;
  heartbeat.sequence = ++this->ownHeartbeatSequence;
  heartbeat.sentUs = ToMicroseconds(MonotonicNow());
  heartbeat.directoryVersion = this->state.DirectoryVersion();
  return heartbeat;
}

void ControlDaemon::Tick()
{
  const Instant now = MonotonicNow();
  const bool isLeading = this->leader.IsLeading();
  if (this->Log().HasConfirmedState()) {
    this->publisher->Start();
  }
  ControlActions actions;
  if (now - this->lastOwnHeartbeatAt >= kOwnHeartbeatInterval) {
    this->lastOwnHeartbeatAt = now;
    if (isLeading) {
      this->leader.OnHeartbeat(
        this->MakeOwnHeartbeat(), this->Log().HasLeaderLease(now), now, actions);
    } else {
      this->relay->Add(this->MakeOwnHeartbeat());
    }
  }
  // A leader without the leader lease decides nothing, as another member may be leader already.
  // Followers only update the progress of failovers, as each of them may become leader.
  if (!isLeading || this->Log().HasLeaderLease(now)) {
    this->leader.OnTick(now, actions);
    this->serviceCoordinator.OnTick(now, actions);
  }
  if (isLeading && now - this->proxiesCountedAt >= kProxyCountInterval) {
    this->UpdateProxyCount(now);
  }
  if (isLeading) {
    this->connectionAllocator.OnTick(now);
  }
  this->Execute(actions);
  this->StopIfLeft(now);
}

void ControlDaemon::UpdateProxyCount(Instant aNow)
{
  this->proxiesCountedAt = aNow;
  this->proxyCount = this->leader.CountProxies(aNow);
  const HeartbeatMonitor& heartbeats = this->leader.Heartbeats();
  for (const auto& [id, view] : heartbeats.Views()) {
    const InstanceInfo& instance = view.last.instance;
    const bool isProxy = instance.role == InstanceRole::Proxy;
    if (isProxy && heartbeats.HealthOf(id, instance.incarnation, aNow) == InstanceHealth::Dead) {
      this->positionDistributor.RemoveProxy(id);
    }
  }
}

void ControlDaemon::Execute(const ControlActions& aActions)
{
  for (const ControlAction& action : aActions) {
    std::visit([this](const auto& aAction) { this->Execute(aAction); }, action);
  }
}

void ControlDaemon::Execute(const ProposeAction& aAction)
{
  this->Log().Propose(
    EncodeCommand(aAction.command), [this, key = aAction.key](const Result<std::uint64_t>& aIndex) {
      const bool isDefinite = aIndex || aIndex.error().code != ResultCode::OutcomeUnknown;
      // Deferred, because the log may call back from inside Propose().
      QMetaObject::invokeMethod(
        this,
        [this, key, isDefinite] {
          ControlActions actions;
          if (key.starts_with(ServiceCoordinator::kProposalKeyPrefix)) {
            this->serviceCoordinator.OnProposalDone(key);
          } else {
            this->leader.OnProposalDone(key, isDefinite, MonotonicNow(), actions);
          }
          this->Execute(actions);
        },
        Qt::QueuedConnection);
    });
}

void ControlDaemon::Execute(const PromoteSlotAction& aAction)
{
  const Duration roundTrip = this->EmulatedBackendRoundTrip(aAction.database, aAction.slot);
  auto callback = this->MakeBackendCallback(aAction.database, aAction.slot, "platform_promote");
  QTimer::singleShot(ToTimer(roundTrip), this, [this, aAction, callback = std::move(callback)] {
    // If leadership was lost meanwhile, the promotion is up to the new leader, which may have
    // decided on another slot.
    if (!this->IsCurrentLeader()) {
      callback(Fail(ResultCode::NotLeader, "leadership was lost"));
      return;
    }
    this->backendAdmin->Promote(aAction.database, aAction.address, aAction.term, callback);
  });
}

void ControlDaemon::Execute(const QueryStatusAction& aAction)
{
  const Duration roundTrip = this->EmulatedBackendRoundTrip(aAction.database, aAction.slot);
  QTimer::singleShot(ToTimer(roundTrip), this, [this, aAction] {
    this->backendAdmin->QueryStatus(
      aAction.database,
      aAction.address,
      this->MakeBackendCallback(aAction.database, aAction.slot, "platform_status"));
  });
}

void ControlDaemon::Execute(const PushReplyAction& aAction)
{
  const std::string& instance = aAction.reply.instance;
  const auto found = this->relayByInstance.find(instance);
  if (found != this->relayByInstance.end()) {
    this->group->SendToInstance(found->second, RelayedReplies{ { aAction.reply } });
    return;
  }
  this->publisher->SendTo(instance, aAction.reply);
}

void ControlDaemon::Execute(const PromoteBackendAction& aAction)
{
  const auto answer = [this, aAction](PromotionOutcome aOutcome) {
    WriteLog(LogEvent::ServicePromotionAnswered,
             "service=" + aAction.service + " backend=" + aAction.backend + " fence=" +
               std::to_string(aAction.fence) + " outcome=" + std::string(ToString(aOutcome)));
    ControlActions actions;
    this->serviceCoordinator.OnPromotionAnswer(
      aAction.service, aAction.fence, aOutcome, MonotonicNow(), actions);
    this->Execute(actions);
  };
  // If leadership was lost meanwhile, the promotion is up to the new leader.
  if (this->promotionService == nullptr || !this->IsCurrentLeader()) {
    QMetaObject::invokeMethod(
      this, [answer] { answer(PromotionOutcome::Unanswered); }, Qt::QueuedConnection);
    return;
  }
  this->promotionService->Promote(
    aAction.service, aAction.backend, this->settings.nodeName, aAction.fence, answer);
}

void ControlDaemon::Execute(const QueryPositionAction& aAction)
{
  if (this->positionQuery == nullptr) {
    this->serviceCoordinator.OnPosition(aAction.backend.name, aAction.round, std::nullopt);
    return;
  }
  this->positionQuery->QueryReceived(aAction.backend,
                                     [this, name = aAction.backend.name, round = aAction.round](
                                       const std::optional<ServerPosition>& aPosition) {
                                       this->serviceCoordinator.OnPosition(name, round, aPosition);
                                     });
}

void ControlDaemon::Execute(const LogAction& aAction)
{
  WriteLog(aAction.event, aAction.detail);
  if (aAction.failover) {
    Q_EMIT FailoverCompleted(*aAction.failover);
  }
}

void ControlDaemon::SetPeerAddresses(std::vector<std::string> aAddresses)
{
  this->group->SetPeerAddresses(std::move(aAddresses));
}

void ControlDaemon::SetPromotionService(std::unique_ptr<PromotionService> aService)
{
  this->promotionService = std::move(aService);
}

void ControlDaemon::SetPositionQuery(std::unique_ptr<PositionQuery> aQuery)
{
  this->positionQuery = std::move(aQuery);
}

void ControlDaemon::ProposeForRequest(const ControlCommand& aCommand, Callback aCallback)
{
  this->Log().Propose(EncodeCommand(aCommand),
                      [callback = std::move(aCallback)](const Result<std::uint64_t>& aIndex) {
                        callback(aIndex ? Outcome::Done : Outcome::Unavailable);
                      });
}

void ControlDaemon::RegisterBackend(const BackendRow& aBackend, Callback aCallback)
{
  if (!this->IsCurrentLeader()) {
    aCallback(Outcome::NotLeading);
    return;
  }
  const auto known = this->state.Backends().Backends().find(aBackend.name);
  const bool isKnown = known != this->state.Backends().Backends().end();
  // Servers of a service that has left the configuration stay known, as it may return.
  if (!this->state.Routes().MayHaveService(aBackend.service) &&
      (!isKnown || known->second.service != aBackend.service)) {
    WriteLog(
      LogEvent::AnnouncementRejected,
      "backend=" + aBackend.name + " service=" + aBackend.service +
        " reason=no_such_service configuration=" + std::to_string(this->state.Routes().Number()));
    aCallback(Outcome::Done);
    return;
  }
  if (!isKnown && this->CountBackends() >= this->settings.limits.backendServers) {
    WriteLog(LogEvent::AnnouncementRejected,
             "backend=" + aBackend.name + " service=" + aBackend.service +
               " reason=too_many_servers");
    this->RemoveSilentBackend();
    aCallback(Outcome::Unavailable);
    return;
  }
  this->serviceCoordinator.OnRegistration(aBackend, MonotonicNow());
  if (isKnown && IsOutdatedRegistration(aBackend, known->second)) {
    this->HandleOutdatedRegistration(aBackend, known->second, std::move(aCallback));
    return;
  }
  this->ignoredRegistrations.OnAccepted(aBackend.name);
  if (isKnown && IsSameRegistration(known->second, aBackend)) {
    aCallback(Outcome::Done);
    return;
  }
  WriteLog(LogEvent::BackendRegistered,
           "backend=" + aBackend.name + " service=" + aBackend.service +
             " address=" + aBackend.address + " zone=" + aBackend.zone +
             " primary=" + (aBackend.claimsPrimary ? "yes" : "no") +
             " draining=" + (aBackend.draining ? "yes" : "no") +
             " started_ms=" + std::to_string(aBackend.startedUnixMs) +
             " sequence=" + std::to_string(aBackend.sequence));
  this->RecordRegistration(UpdateBackend{ aBackend }, std::move(aCallback));
}

void ControlDaemon::HandleOutdatedRegistration(const BackendRow& aBackend,
                                               const BackendRow& aKnown,
                                               Callback aCallback)
{
  const Instant now = MonotonicNow();
  // A server that drains ends soon. If it were recorded now, its drain time would seem to begin now
  // and not when its first registration as draining was answered.
  const bool isRunning =
    !aBackend.draining && this->ignoredRegistrations.OnIgnored(aBackend, aKnown.version, now);
  if (!isRunning || this->serviceCoordinator.IsSucceeded(aBackend, now) ||
      this->CountBackends() >= this->settings.limits.backendServers) {
    aCallback(Outcome::Done);
    return;
  }
  WriteLog(LogEvent::BackendReinstated,
           "backend=" + aBackend.name + " service=" + aBackend.service +
             " address=" + aBackend.address + " deleted=" + (aKnown.deleted ? "yes" : "no") +
             " started_ms=" + std::to_string(aBackend.startedUnixMs) +
             " sequence=" + std::to_string(aBackend.sequence) +
             " recorded_started_ms=" + std::to_string(aKnown.startedUnixMs) +
             " recorded_sequence=" + std::to_string(aKnown.sequence) +
             " version=" + std::to_string(aKnown.version));
  this->serviceCoordinator.OnReinstated(aBackend, now);
  this->RecordRegistration(ReinstateBackend{ aBackend, aKnown.version }, std::move(aCallback));
}

void ControlDaemon::RecordRegistration(const ControlCommand& aCommand, Callback aCallback)
{
  ++this->pendingBackends;
  this->ProposeForRequest(aCommand, [this, callback = std::move(aCallback)](Outcome aOutcome) {
    --this->pendingBackends;
    callback(aOutcome);
  });
}

void ControlDaemon::RemoveSilentBackend()
{
  const BackendRow* silent = this->serviceCoordinator.FindLongSilent(MonotonicNow());
  if (silent == nullptr || this->isRemovingBackend) {
    return;
  }
  WriteLog(LogEvent::BackendRemoved,
           "backend=" + silent->name + " service=" + silent->service + " reason=silent");
  this->isRemovingBackend = true;
  this->ProposeForRequest(oleanderledge::RemoveBackend{ silent->name, silent->startedUnixMs },
                          [this](Outcome) { this->isRemovingBackend = false; });
}

std::size_t ControlDaemon::CountBackends() const
{
  const auto live = std::ranges::count_if(this->state.Backends().Backends(),
                                          [](const auto& aEach) { return !aEach.second.deleted; });
  return this->pendingBackends + static_cast<std::size_t>(live);
}

void ControlDaemon::RemoveBackend(const std::string& aBackend, Callback aCallback)
{
  if (!this->IsCurrentLeader()) {
    aCallback(Outcome::NotLeading);
    return;
  }
  const BackendRow* known = this->state.Backends().Find(aBackend);
  if (known == nullptr) {
    aCallback(Outcome::Done);
    return;
  }
  WriteLog(LogEvent::BackendRemoved, "backend=" + aBackend + " service=" + known->service);
  this->ProposeForRequest(oleanderledge::RemoveBackend{ aBackend, known->startedUnixMs },
                          std::move(aCallback));
}

void ControlDaemon::StoreConfiguration(RouteConfiguration aConfiguration, Callback aCallback)
{
  // A configuration that this member has applied is committed, even if another member leads.
  if (aConfiguration.number <= this->state.Routes().Number()) {
    aCallback(Outcome::Done);
    return;
  }
  if (!this->IsCurrentLeader()) {
    aCallback(Outcome::NotLeading);
    return;
  }
  const std::uint64_t number = aConfiguration.number;
  const std::size_t bytes = aConfiguration.document.size();
  // Each configuration is held several times until it is replicated: as rows, as command, for the
  // disk and for each member.
  if (this->pendingConfigurationBytes > 0 &&
      this->pendingConfigurationBytes + bytes > kMaxPendingConfigurationBytes) {
    WriteLog(LogEvent::RoutesRejected,
             "number=" + std::to_string(number) + " reason=others_are_being_stored");
    aCallback(Outcome::Unavailable);
    return;
  }
  this->pendingConfigurationBytes += bytes;
  this->ProposeForRequest(StoreRouteConfiguration{ std::move(aConfiguration) },
                          [this, number, bytes, callback = std::move(aCallback)](Outcome aOutcome) {
                            this->pendingConfigurationBytes -= bytes;
                            WriteLog(LogEvent::RoutesStored,
                                     "number=" + std::to_string(number) + " held=" +
                                       std::to_string(this->state.Routes().Number()) + " outcome=" +
                                       (aOutcome == Outcome::Done ? "done" : "unknown"));
                            callback(aOutcome);
                          });
}

Result<std::string> ControlDaemon::ReadConfiguration() const
{
  if (!this->IsCurrentLeader()) {
    return Fail(ResultCode::NotLeader, "another control instance leads");
  }
  if (this->state.Routes().Number() == 0) {
    return Fail(ResultCode::NoQuorum, "no configuration was stored yet");
  }
  return this->state.Routes().Document();
}

std::string ControlDaemon::LeaderIpAddress() const
{
  if (!this->Log().HasCurrentLeader(MonotonicNow())) {
    return {};
  }
  return SplitAddress(this->Log().Leader().linkAddress).first;
}

BackendAdmin::Callback ControlDaemon::MakeBackendCallback(const std::string& aDatabase,
                                                          const std::string& aSlot,
                                                          const std::string& aCall)
{
  return [this, aDatabase, aSlot, aCall](const Result<PlatformStatus>& aAnswer) {
    if (!aAnswer) {
      WriteLog(LogEvent::BackendCallFailed,
               "database=" + aDatabase + " slot=" + aSlot + " call=" + aCall +
                 " reason=" + aAnswer.error().message);
    }
    ControlActions actions;
    this->leader.OnBackendAnswer(aDatabase, aSlot, aAnswer, MonotonicNow(), actions);
    this->Execute(actions);
  };
}

Duration ControlDaemon::EmulatedBackendRoundTrip(const std::string& aDatabase,
                                                 const std::string& aSlot) const
{
  const DatabaseRecord* record = this->state.Databases().Find(aDatabase);
  const SlotRow* slot = record == nullptr ? nullptr : FindSlot(record->row, aSlot);
  return slot == nullptr ? Duration{ 0 }
                         : this->latency.Between(this->settings.instance.zone, slot->zone) * 2;
}

} // namespace oleanderledge
