#pragma once

#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QObject>

#include <cstdint>
#include <map>
#include <string>

namespace oleanderledge {

/// Links that proxies opened to this control member. Sends each proxy the directory rows that it
/// does not have yet, as soon as they are committed.
class DirectoryPublisher : public QObject
{
  Q_OBJECT

public:
  DirectoryPublisher(const ControlState& aState, QObject* aParent);

  /// Notes the directory version that the sender of a heartbeat has, and sends what it lacks. The
  /// newest link of an instance replaces earlier ones.
  void OnHeartbeat(LinkConnection* aLink, const Heartbeat& aHeartbeat);

  /// Sends to a connected proxy. Returns false if it is not connected here.
  bool SendTo(const std::string& aInstance, const Message& aMessage);

  /// The state may have changed: sends the new rows to all proxies from the event loop, so that
  /// several changes applied together go out as one update.
  void SchedulePublish();

  std::size_t Count() const { return this->proxies.size(); }

private:
  struct Proxy
  {
    LinkConnection* link = nullptr;
    std::uint64_t sentVersion = 0;
  };

  void Publish();
  void PublishTo(Proxy& aProxy);

  const ControlState& state;
  std::map<std::string, Proxy> proxies;
  bool isScheduled = false;
};

} // namespace oleanderledge
