#include "oleanderledge/transport/PeerLinks.hpp"

#include "oleanderledge/transport/LinkConnection.hpp"

namespace oleanderledge {

namespace {

constexpr Duration kPingInterval = std::chrono::milliseconds(200);
/// The link to a peer that sends nothing for this long is closed. Equal to the time after which the
/// control group treats a proxy as dead.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1200);
/// If the time since the last pings is longer, this process itself was suspended or blocked.
/// Answers may then have arrived without being read, so the silence of peers is not counted.
constexpr Duration kLatePingThreshold = std::chrono::milliseconds(600);
/// A lost link is reopened only if it was used or requested within this time.
constexpr Duration kReopenPeriod = std::chrono::seconds(30);

} // namespace

PeerLinks::PeerLinks(const InstanceInfo& aSelf,
                     const EmulatedLatency& aLatency,
                     std::uint64_t aSeed,
                     Pinging aPinging,
                     QObject* aParent)
  : QObject(aParent)
  , selfInfo(aSelf)
  , latency(aLatency)
  , backOff(aSeed)
  , pinging(aPinging)
  , lastPing(MonotonicNow())
{
  QObject::connect(&this->pingTimer, &QTimer::timeout, this, &PeerLinks::PingAll);
  this->pingTimer.setTimerType(Qt::PreciseTimer);
  this->pingTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(kPingInterval));
}

void PeerLinks::Open(const std::string& aAddress)
{
  Peer& peer = this->peers[aAddress];
  peer.lastRequested = MonotonicNow();
  if (!peer.isOpening && !peer.isReady) {
    this->Connect(aAddress);
  }
}

void PeerLinks::Connect(const std::string& aAddress)
{
  Peer& peer = this->peers[aAddress];
  peer.isOpening = true;
  auto* link = new LinkConnection(this->selfInfo, aAddress, this->latency, this);
  peer.link = link;
  QObject::connect(
    link, &LinkConnection::Ready, this, [this, aAddress] { this->HandleReady(aAddress); });
  QObject::connect(
    link, &LinkConnection::Received, this, [this, aAddress](const Message& aMessage) {
      this->HandleReceived(aAddress, aMessage);
    });
  QObject::connect(link, &LinkConnection::Closed, this, [this, aAddress, link] {
    link->deleteLater();
    this->HandleClosed(aAddress);
  });
  if (link->IsClosed()) {
    // With an invalid address the link closes in its constructor, before Closed() is connected.
    link->deleteLater();
    this->HandleClosed(aAddress);
  }
}

void PeerLinks::HandleReady(const std::string& aAddress)
{
  Peer& peer = this->peers[aAddress];
  peer.isOpening = false;
  peer.isReady = true;
  peer.failures = 0;
  peer.lastReceived = MonotonicNow();
  // Sent before any other message, so that the first reply of the peer can already echo the ping.
  peer.link->Send(LinkPing{ ToMicroseconds(peer.lastReceived) });
  Q_EMIT this->Ready(aAddress);
}

void PeerLinks::HandleReceived(const std::string& aAddress, const Message& aMessage)
{
  this->peers[aAddress].lastReceived = MonotonicNow();
  if (!std::holds_alternative<LinkPong>(aMessage)) {
    Q_EMIT this->Received(aAddress, aMessage);
  }
}

void PeerLinks::Reject(const std::string& aAddress, const Message& aMessage)
{
  const Peer& peer = this->peers[aAddress];
  if (peer.link != nullptr) {
    WriteLog(LogEvent::PeerLinkRejected,
             "peer=" + peer.link->Peer().id + " type=" + std::to_string(aMessage.index()));
    peer.link->Close();
  }
}

void PeerLinks::HandleClosed(const std::string& aAddress)
{
  Peer& peer = this->peers[aAddress];
  const bool wasReady = peer.isReady;
  peer.link = nullptr;
  peer.isReady = false;
  ++peer.failures;
  peer.isOpening = MonotonicNow() < peer.lastRequested + kReopenPeriod;
  if (peer.isOpening) {
    const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(this->backOff.Next(peer.failures));
    QTimer::singleShot(wait, this, [this, aAddress] { this->Connect(aAddress); });
  }
  if (wasReady) {
    Q_EMIT this->Lost(aAddress);
  }
}

bool PeerLinks::IsReady(const std::string& aAddress) const
{
  const auto found = this->peers.find(aAddress);
  return found != this->peers.end() && found->second.isReady && found->second.link->IsReady();
}

bool PeerLinks::Send(const std::string& aAddress, const Message& aMessage)
{
  if (!this->IsReady(aAddress)) {
    return false;
  }
  Peer& peer = this->peers[aAddress];
  peer.lastRequested = MonotonicNow();
  peer.link->Send(aMessage);
  return true;
}

void PeerLinks::PingAll()
{
  const Instant now = MonotonicNow();
  const bool wasDelayed = now - this->lastPing > kLatePingThreshold;
  this->lastPing = now;
  for (auto& [address, peer] : this->peers) {
    if (!peer.isReady) {
      continue;
    }
    if (wasDelayed) {
      peer.lastReceived = now;
    }
    if (now - peer.lastReceived > kSilenceLimit) {
      WriteLog(LogEvent::PeerLinkSilent, "address=" + address);
      peer.link->Close();
      continue;
    }
    if (this->pinging == Pinging::Always || now - peer.lastReceived >= kPingInterval) {
      peer.link->Send(LinkPing{ ToMicroseconds(now) });
    }
  }
}

} // namespace oleanderledge
