#include "oleanderledge/control/internal/DirectoryPublisher.hpp"

#include <cstdint>
#include <numeric>
#include <utility>

namespace oleanderledge {

namespace {

/// No further update is sent while more bytes are queued for all proxies together.
constexpr std::int64_t kMaxQueuedBytes = std::int64_t{ 32 } * 1024 * 1024;

} // namespace

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
  // The directory is sent to all proxies at the same time. The others get it after their next
  // heartbeat, so that not one copy for each proxy is held.
  const auto queued = std::accumulate(
    this->proxies.begin(),
    this->proxies.end(),
    std::int64_t{ 0 },
    [](std::int64_t aSum, const auto& aEach) { return aSum + aEach.second.link->QueuedBytes(); });
  if (queued > kMaxQueuedBytes) {
    return;
  }
  DirectoryUpdate update = this->state.ChangesSince(aProxy.sentVersion);
  aProxy.sentVersion = update.version;
  aProxy.link->Send(std::move(update));
}

} // namespace oleanderledge
