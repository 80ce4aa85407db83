#pragma once

#include "oleanderledge/entry/OwnerLinks.hpp"
#include "oleanderledge/entry/internal/BackOff.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <map>
#include <string>

namespace oleanderledge {

class LinkConnection;
class OwnerLinkServer;

/// One link to each owner's address, opened on demand and re-opened with back-off while it is
/// wanted. Pings measure the lease bound and find owners that fell silent.
class LinkPool
  : public QObject
  , public OwnerLinks
{
  Q_OBJECT

public:
  /// Messages to the link address of `aSelf` go straight to `aLocal`, which outlives the pool.
  LinkPool(const InstanceInfo& aSelf,
           const EmulatedLatency& aLatency,
           std::uint64_t aSeed,
           OwnerLinkServer& aLocal,
           QObject* aParent);
  ~LinkPool() override;

  void SetListener(OwnerLinksListener* aListener) override { this->listener = aListener; }
  void Open(const std::string& aAddress) override;
  bool Send(const std::string& aAddress, Message&& aMessage) override;

private:
  struct Peer
  {
    LinkConnection* link = nullptr;
    Instant wanted;    ///< When the link was last asked for.
    Instant lastHeard; ///< When the last message arrived.
    std::uint32_t failures = 0;
    bool isOpening = false; ///< A link is being opened, or will be after the back-off.
    bool isReady = false;
  };

  void Connect(const std::string& aAddress);
  void HandleReady(const std::string& aAddress);
  void HandleReceived(const std::string& aAddress, const Message& aMessage);
  void HandleClosed(const std::string& aAddress);
  void PingAll();

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  BackOff backOff;
  OwnerLinkServer& local;
  OwnerLinksListener* listener = nullptr;
  std::map<std::string, Peer> peers;
  QTimer pingTimer;
  Instant lastPing;
  bool isLocalReady = false;
};

} // namespace oleanderledge
