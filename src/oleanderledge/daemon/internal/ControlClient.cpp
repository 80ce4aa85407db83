#include "oleanderledge/daemon/internal/ControlClient.hpp"

namespace oleanderledge {

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
  const std::string& address = this->contact.AddressAt(MonotonicNow());
  if (this->link != nullptr && this->linkAddress == address) {
    return;
  }
  this->DropLink();
  WriteLog(LogEvent::ControlAddressTried,
           "address=" + address + " last_answer_ms_ago=" +
             std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              MonotonicNow() - this->contact.LastAcceptedSent())
                              .count()));
  this->linkAddress = address;
  this->link = new LinkConnection(this->contact.Self(), address, this->latency, this);
  QObject::connect(this->link, &LinkConnection::Ready, this, &ControlClient::SendNow);
  QObject::connect(this->link, &LinkConnection::Received, this, &ControlClient::HandleMessage);
  QObject::connect(this->link, &LinkConnection::Closed, this, [this] {
    this->contact.NoteLinkClosed(MonotonicNow());
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
  // The state was collected before this moment, so a lease counted from here covers what it
  // reports.
  Heartbeat heartbeat =
    this->contact.MakeHeartbeat(std::move(aState.owned), std::move(aState.service), MonotonicNow());
  heartbeat.backends = std::move(aState.backends);
  this->link->Send(heartbeat);
}

void ControlClient::HandleMessage(const Message& aMessage)
{
  if (const auto* update = std::get_if<DirectoryUpdate>(&aMessage)) {
    if (this->contact.HandleUpdate(*update)) {
      Q_EMIT this->DirectoryChanged();
      // Reports the new version, and any release it asks for, without waiting for the interval.
      this->SendNow();
    }
    return;
  }
  if (const auto* reply = std::get_if<HeartbeatReply>(&aMessage)) {
    const std::uint32_t countBefore = this->contact.ProxyCount();
    if (this->contact.HandleReply(*reply, MonotonicNow())) {
      if (this->contact.ProxyCount() != countBefore) {
        Q_EMIT this->ProxyCountChanged(this->contact.ProxyCount());
      }
      if (!reply->connections.empty()) {
        Q_EMIT this->ConnectionsGranted(reply->connections);
      }
      Q_EMIT this->LeasesGranted(reply->leases, FromMicroseconds(reply->sentUs));
    }
  }
}

} // namespace oleanderledge
