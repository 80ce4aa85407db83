#include "oleanderledge/daemon/internal/ControlClient.hpp"

namespace oleanderledge {

namespace {

/// A position is reported only if it is newer by this much than the one that the leader shared
/// last, so that not every proxy that observes a primary reports it.
constexpr Duration kMinPositionAdvance = std::chrono::milliseconds(150);

} // namespace

ControlClient::ControlClient(ControlContact& aContact,
                             const EmulatedLatency& aLatency,
                             StateRequest aStateRequest,
                             QObject* aParent)
  : QObject(aParent)
  , contact(aContact)
  , latency(aLatency)
  , stateRequest(std::move(aStateRequest))
{
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, &ControlClient::OnTimer);
}

void ControlClient::Start()
{
  this->OnTimer();
}

void ControlClient::SendNow()
{
  this->timer.start(0);
}

void ControlClient::SendTokenRequest(TokenRequest aRequest)
{
  if (this->link == nullptr || !this->link->IsReady()) {
    return;
  }
  aRequest.instance = this->contact.Self().id;
  aRequest.incarnation = this->contact.Self().incarnation;
  this->link->Send(aRequest);
}

InstanceInfo ControlClient::Peer() const
{
  return this->link != nullptr && this->link->IsReady() ? this->link->Peer() : InstanceInfo{};
}

void ControlClient::OnTimer()
{
  this->EnsureLink();
  this->timer.start(
    std::chrono::duration_cast<std::chrono::milliseconds>(this->contact.NextInterval()));
  if (this->link == nullptr || !this->link->IsReady() || this->stateRequested) {
    return;
  }
  this->stateRequested = true;
  this->stateRequest([this](TrafficState aState) {
    this->stateRequested = false;
    this->SendHeartbeat(std::move(aState));
  });
}

void ControlClient::EnsureLink()
{
  const std::string& address = this->contact.SelectAddress(MonotonicNow());
  if (this->link != nullptr && this->linkAddress == address) {
    return;
  }
  this->DropLink();
  WriteLog(LogEvent::ControlAddressTried,
           "address=" + address + " last_answer_ms_ago=" +
             std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              MonotonicNow() - this->contact.LastAcceptedSentAt())
                              .count()));
  this->linkAddress = address;
  this->link = new LinkConnection(this->contact.Self(), address, this->latency, this);
  QObject::connect(this->link, &LinkConnection::Ready, this, [this] {
    this->contact.HandleLinkReady(MonotonicNow());
    this->SendNow();
  });
  QObject::connect(this->link, &LinkConnection::Received, this, &ControlClient::HandleMessage);
  QObject::connect(this->link, &LinkConnection::Closed, this, [this] {
    this->contact.HandleLinkClosed(MonotonicNow());
    this->DropLink();
  });
}

void ControlClient::DropLink()
{
  if (this->link == nullptr) {
    return;
  }
  this->link->disconnect(this);
  this->link->Close();
  this->link->deleteLater();
  this->link = nullptr;
}

void ControlClient::SendHeartbeat(TrafficState aState)
{
  if (this->link == nullptr || !this->link->IsReady()) {
    return;
  }
  // The state was collected earlier, so a lease that counts from now starts after what the state
  // reports.
  Heartbeat heartbeat =
    this->contact.MakeHeartbeat(std::move(aState.owned), std::move(aState.service), MonotonicNow());
  heartbeat.backends = std::move(aState.backends);
  heartbeat.commits = std::move(aState.commits);
  heartbeat.leaderTerm = this->leaderClock.Term();
  heartbeat.positions = this->SelectNewerPositions(aState.positions);
  heartbeat.operationCounts = std::move(aState.operationCounts);
  heartbeat.quotaNumber = aState.quotaNumber;
  this->link->Send(heartbeat);
}

void ControlClient::HandleMessage(const Message& aMessage)
{
  if (const auto* update = std::get_if<DirectoryUpdate>(&aMessage)) {
    if (this->contact.HandleUpdate(*update)) {
      Q_EMIT this->DirectoryChanged();
      // Reports the new version, and any release that it requires, before the next interval.
      this->SendNow();
    }
    return;
  }
  if (const auto* reply = std::get_if<HeartbeatReply>(&aMessage)) {
    this->HandleReply(*reply);
    return;
  }
  const auto* tokens = std::get_if<TokenReply>(&aMessage);
  if (tokens != nullptr && tokens->incarnation == this->contact.Self().incarnation) {
    Q_EMIT this->TokensAnswered(*tokens);
  }
}

void ControlClient::HandleReply(const HeartbeatReply& aReply)
{
  const Instant now = MonotonicNow();
  const std::uint32_t previousCount = this->contact.ProxyCount();
  if (!this->contact.HandleReply(aReply, now)) {
    return;
  }
  Q_EMIT this->ReplyAccepted(aReply);
  if (this->contact.ProxyCount() != previousCount) {
    Q_EMIT this->ProxyCountChanged(this->contact.ProxyCount());
  }
  if (!aReply.connections.empty()) {
    Q_EMIT this->ConnectionsGranted(aReply.connections);
  }
  // Shares count by the term of the leader that granted them.
  const bool usesOrganisations = this->contact.CurrentDirectory()->UsesOrganisations();
  if (aReply.leaderTerm != 0 && (usesOrganisations || !aReply.quotaShares.empty())) {
    Q_EMIT this->SharesConfirmed(
      aReply.leaderTerm, aReply.quotaShares, FromMicroseconds(aReply.sentUs));
  }
  this->leaderClock.RecordReply(aReply, now);
  std::vector<PrimaryPosition> positions;
  for (const PositionSample& sample : aReply.positions) {
    const Instant at = LeaderClock::FromLeaderUs(aReply, sample.leaderUs);
    this->lastSharedAt[sample.service] = at;
    positions.push_back({ sample.service, sample.position, at });
  }
  if (!positions.empty()) {
    Q_EMIT this->PositionsShared(positions);
  }
  Q_EMIT this->LeasesGranted(aReply.leases, FromMicroseconds(aReply.sentUs));
}

std::vector<PositionSample> ControlClient::SelectNewerPositions(
  const std::vector<PrimaryPosition>& aPositions) const
{
  std::vector<PositionSample> samples;
  for (const PrimaryPosition& position : aPositions) {
    const auto known = this->lastSharedAt.find(position.service);
    if (known != this->lastSharedAt.end() && position.asOf < known->second + kMinPositionAdvance) {
      continue;
    }
    if (const auto leaderUs = this->leaderClock.ToLeaderUs(position.asOf)) {
      samples.push_back({ position.service, position.position, *leaderUs });
    }
  }
  return samples;
}

} // namespace oleanderledge
