#pragma once

#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QObject>

#include <cstdint>
#include <map>
#include <string>

namespace oleanderledge {

/// Sends directory rows to the proxies that have a link to this control member, as soon as the rows
/// are committed. Each proxy gets only rows that it does not have yet.
///
/// Sends nothing before Start(): the state of a member that has just started may be old, and a
/// proxy that has just started too would use servers that have left and routes that were withdrawn.
class DirectoryPublisher : public QObject
{
  Q_OBJECT

public:
  DirectoryPublisher(const ControlState& aState, QObject* aParent);

  /// The state was confirmed by a leader: sends rows from now on. No effect if it was called
  /// before.
  void Start();
  /// Sends the rows that the sender of a heartbeat lacks. Its newest link replaces earlier ones; on
  /// a new link, the heartbeat tells which version the sender has.
  void OnHeartbeat(LinkConnection* aLink, const Heartbeat& aHeartbeat);

  /// Sends a message to a proxy. Returns false if it has no link to this member.
  bool SendTo(const std::string& aInstance, const Message& aMessage);

  /// Sends new rows to all proxies from the event loop, so that several changes applied together go
  /// out as one update. To be called when the state may have changed.
  void SchedulePublish();

  std::size_t ConnectedProxyCount() const { return this->proxies.size(); }

private:
  struct Proxy
  {
    LinkConnection* link = nullptr;
    std::uint64_t sentVersion = 0; ///< Directory version that the updates sent so far lead to.
  };

  void PublishToAll();
  void PublishTo(Proxy& aProxy);

  const ControlState& state;
  std::map<std::string, Proxy> proxies; ///< By instance id.
  bool isScheduled = false;
  bool isStarted = false;
};

} // namespace oleanderledge
