#include "oleanderledge/entry/internal/LinkPool.hpp"

#include "oleanderledge/entry/ProxyLinks.hpp"
#include "oleanderledge/entry/internal/OwnerLinkServer.hpp"
#include "oleanderledge/transport/transport.hpp"

namespace oleanderledge {

namespace {

constexpr Duration kPingInterval = std::chrono::milliseconds(200);
/// An owner that sends nothing for this long is taken for cut off. As long as control waits before
/// it takes a proxy for dead.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1200);
/// If this process itself stood still for longer, pongs may lie unread, so silence proves nothing.
constexpr Duration kLateTick = std::chrono::milliseconds(600);
/// A lost link that nobody asked for in this time is not opened again.
constexpr Duration kWantedTime = std::chrono::seconds(30);

} // namespace

ProxyLinks CreateProxyLinks(QObject* aParent,
                            const InstanceInfo& aSelf,
                            const EmulatedLatency& aLatency,
                            std::uint64_t aSeed)
{
  auto* incoming = new OwnerLinkServer(aParent);
  auto* outgoing = new LinkPool(aSelf, aLatency, aSeed, *incoming, incoming);
  return { outgoing, incoming };
}

LinkPool::LinkPool(const InstanceInfo& aSelf,
                   const EmulatedLatency& aLatency,
                   std::uint64_t aSeed,
                   OwnerLinkServer& aLocal,
                   QObject* aParent)
  : QObject(aParent)
  , selfInfo(aSelf)
  , latency(aLatency)
  , backOff(aSeed)
  , local(aLocal)
  , lastPing(MonotonicNow())
{
  QObject::connect(
    &this->local,
    &OwnerLinkServer::LocalReply,
    this,
    [this](const StatementReply& aReply) {
      if (this->listener != nullptr) {
        this->listener->OnLinkReply(this->selfInfo.linkAddress, StatementReply(aReply));
      }
    },
    Qt::QueuedConnection);
  QObject::connect(&this->pingTimer, &QTimer::timeout, this, &LinkPool::PingAll);
  this->pingTimer.setTimerType(Qt::PreciseTimer);
  this->pingTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(kPingInterval));
}

LinkPool::~LinkPool()
{
  if (this->listener != nullptr) {
    this->listener->OnLinksGone();
  }
}

void LinkPool::Open(const std::string& aAddress)
{
  if (aAddress == this->selfInfo.linkAddress) {
    if (!this->isLocalReady) {
      this->isLocalReady = true;
      (void)this->local.HandleMessage(kLocalLinkId, LinkPing{ ToMicroseconds(MonotonicNow()) });
      QMetaObject::invokeMethod(
        this,
        [this] {
          if (this->listener != nullptr) {
            this->listener->OnLinkReady(this->selfInfo.linkAddress);
          }
        },
        Qt::QueuedConnection);
    }
    return;
  }
  Peer& peer = this->peers[aAddress];
  peer.wanted = MonotonicNow();
  if (!peer.isOpening && !peer.isReady) {
    this->Connect(aAddress);
  }
}

void LinkPool::Connect(const std::string& aAddress)
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
    // An invalid address fails at once, before the signal was connected.
    link->deleteLater();
    this->HandleClosed(aAddress);
  }
}

void LinkPool::HandleReady(const std::string& aAddress)
{
  Peer& peer = this->peers[aAddress];
  peer.isOpening = false;
  peer.isReady = true;
  peer.failures = 0;
  peer.lastHeard = MonotonicNow();
  // Before any unit, so that the first write acknowledgement can carry a lease bound.
  peer.link->Send(LinkPing{ ToMicroseconds(peer.lastHeard) });
  if (this->listener != nullptr) {
    this->listener->OnLinkReady(aAddress);
  }
}

void LinkPool::HandleReceived(const std::string& aAddress, const Message& aMessage)
{
  Peer& peer = this->peers[aAddress];
  peer.lastHeard = MonotonicNow();
  if (const auto* reply = std::get_if<StatementReply>(&aMessage)) {
    if (this->listener != nullptr) {
      this->listener->OnLinkReply(aAddress, StatementReply(*reply));
    }
    return;
  }
  if (!std::holds_alternative<LinkPong>(aMessage)) {
    WriteLog(LogEvent::OwnerLinkRejected,
             "peer=" + peer.link->Peer().id + " type=" + std::to_string(aMessage.index()));
    peer.link->Close();
  }
}

void LinkPool::HandleClosed(const std::string& aAddress)
{
  Peer& peer = this->peers[aAddress];
  const bool wasReady = peer.isReady;
  peer.link = nullptr;
  peer.isReady = false;
  ++peer.failures;
  peer.isOpening = MonotonicNow() < peer.wanted + kWantedTime;
  if (peer.isOpening) {
    const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(this->backOff.Next(peer.failures));
    QTimer::singleShot(wait, this, [this, aAddress] { this->Connect(aAddress); });
  }
  if (wasReady && this->listener != nullptr) {
    this->listener->OnLinkClosed(aAddress);
  }
}

bool LinkPool::Send(const std::string& aAddress, Message&& aMessage)
{
  if (aAddress == this->selfInfo.linkAddress) {
    return this->isLocalReady && this->local.HandleMessage(kLocalLinkId, std::move(aMessage));
  }
  const auto found = this->peers.find(aAddress);
  if (found == this->peers.end() || !found->second.isReady || !found->second.link->IsReady()) {
    return false;
  }
  found->second.wanted = MonotonicNow();
  found->second.link->Send(aMessage);
  return true;
}

void LinkPool::PingAll()
{
  const Instant now = MonotonicNow();
  const bool isLate = now - this->lastPing > kLateTick;
  this->lastPing = now;
  if (this->isLocalReady) {
    (void)this->local.HandleMessage(kLocalLinkId, LinkPing{ ToMicroseconds(now) });
  }
  for (auto& [address, peer] : this->peers) {
    if (!peer.isReady) {
      continue;
    }
    if (isLate) {
      peer.lastHeard = now;
    }
    if (now - peer.lastHeard > kSilenceLimit) {
      WriteLog(LogEvent::OwnerLinkSilent, "address=" + address);
      peer.link->Close();
      continue;
    }
    peer.link->Send(LinkPing{ ToMicroseconds(now) });
  }
}

} // namespace oleanderledge
