#include "oleanderledge/entry/internal/LinkPool.hpp"

#include "oleanderledge/entry/ProxyLinks.hpp"
#include "oleanderledge/entry/internal/OwnerLinkServer.hpp"

namespace oleanderledge {

namespace {

/// Same interval as on the links to other processes.
constexpr std::chrono::milliseconds kLocalPingInterval(200);

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
  , selfAddress(aSelf.linkAddress)
  , peers(aSelf, aLatency, aSeed, PeerLinks::Pinging::Always, nullptr)
  , local(aLocal)
{
  QObject::connect(
    &this->local,
    &OwnerLinkServer::LocalReply,
    this,
    [this](const StatementReply& aReply) {
      if (this->listener != nullptr) {
        this->listener->OnLinkReply(this->selfAddress, StatementReply(aReply));
      }
    },
    Qt::QueuedConnection);
  QObject::connect(&this->peers, &PeerLinks::Ready, this, [this](const std::string& aAddress) {
    if (this->listener != nullptr) {
      this->listener->OnLinkReady(aAddress);
    }
  });
  QObject::connect(&this->peers, &PeerLinks::Lost, this, [this](const std::string& aAddress) {
    if (this->listener != nullptr) {
      this->listener->OnLinkClosed(aAddress);
    }
  });
  QObject::connect(&this->peers, &PeerLinks::Received, this, &LinkPool::HandleReceived);
  QObject::connect(&this->localPingTimer, &QTimer::timeout, this, &LinkPool::PingLocal);
  this->localPingTimer.setTimerType(Qt::PreciseTimer);
}

LinkPool::~LinkPool()
{
  if (this->listener != nullptr) {
    this->listener->OnLinksDestroyed();
  }
}

void LinkPool::Open(const std::string& aAddress)
{
  if (aAddress != this->selfAddress) {
    this->peers.Open(aAddress);
    return;
  }
  if (this->localPingTimer.isActive()) {
    return;
  }
  this->localPingTimer.start(kLocalPingInterval);
  this->PingLocal();
  QMetaObject::invokeMethod(
    this,
    [this] {
      if (this->listener != nullptr) {
        this->listener->OnLinkReady(this->selfAddress);
      }
    },
    Qt::QueuedConnection);
}

void LinkPool::HandleReceived(const std::string& aAddress, const Message& aMessage)
{
  const auto* reply = std::get_if<StatementReply>(&aMessage);
  if (reply == nullptr) {
    this->peers.Reject(aAddress, aMessage);
    return;
  }
  if (this->listener != nullptr) {
    this->listener->OnLinkReply(aAddress, StatementReply(*reply));
  }
}

bool LinkPool::Send(const std::string& aAddress, Message&& aMessage)
{
  if (aAddress == this->selfAddress) {
    return this->localPingTimer.isActive() &&
           this->local.HandleMessage(kLocalLinkId, std::move(aMessage));
  }
  return this->peers.Send(aAddress, aMessage);
}

void LinkPool::PingLocal()
{
  (void)this->local.HandleMessage(kLocalLinkId, LinkPing{ ToMicroseconds(MonotonicNow()) });
}

} // namespace oleanderledge
