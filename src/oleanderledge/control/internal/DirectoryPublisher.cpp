#include "oleanderledge/control/internal/DirectoryPublisher.hpp"

#include <utility>

namespace oleanderledge {

DirectoryPublisher::DirectoryPublisher(const ControlState& aState, QObject* aParent)
  : QObject(aParent)
  , state(aState)
{
}

void DirectoryPublisher::OnHeartbeat(LinkConnection* aLink, const Heartbeat& aHeartbeat)
{
  const std::string& id = aHeartbeat.instance.id;
  Proxy& proxy = this->proxies[id];
  if (proxy.link != aLink) {
    proxy.link = aLink;
    proxy.sentVersion = aHeartbeat.directoryVersion;
    QObject::connect(aLink, &LinkConnection::Closed, this, [this, id, aLink] {
      const auto found = this->proxies.find(id);
      if (found != this->proxies.end() && found->second.link == aLink) {
        this->proxies.erase(found);
      }
    });
  }
  this->PublishTo(proxy);
}

bool DirectoryPublisher::SendTo(const std::string& aInstance, const Message& aMessage)
{
  const auto found = this->proxies.find(aInstance);
  if (found == this->proxies.end()) {
    return false;
  }
  found->second.link->Send(aMessage);
  return true;
}

void DirectoryPublisher::SchedulePublish()
{
  if (this->isScheduled) {
    return;
  }
  this->isScheduled = true;
  QMetaObject::invokeMethod(
    this,
    [this] {
      this->isScheduled = false;
      this->PublishToAll();
    },
    Qt::QueuedConnection);
}

void DirectoryPublisher::Start()
{
  if (std::exchange(this->isStarted, true)) {
    return;
  }
  this->PublishToAll();
}

void DirectoryPublisher::PublishToAll()
{
  for (auto& [id, proxy] : this->proxies) {
    this->PublishTo(proxy);
  }
}

void DirectoryPublisher::PublishTo(Proxy& aProxy)
{
  if (!this->isStarted || aProxy.sentVersion >= this->state.DirectoryVersion()) {
    return;
  }
  DirectoryUpdate update = this->state.ChangesSince(aProxy.sentVersion);
  aProxy.sentVersion = update.version;
  aProxy.link->Send(std::move(update));
}

} // namespace oleanderledge
