#pragma once

#include "oleanderledge/entry/OwnerLinks.hpp"
#include "oleanderledge/transport/PeerLinks.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <string>

namespace oleanderledge {

class OwnerLinkServer;

/// Links to owners in other processes, and the in-process path to the owner in this process.
class LinkPool
  : public QObject
  , public OwnerLinks
{
  Q_OBJECT

public:
  /// Messages to the link address of `aSelf` are passed to `aLocal` without a connection. `aLocal`
  /// outlives the pool.
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
  void HandleReceived(const std::string& aAddress, const Message& aMessage);
  void PingLocal();

  std::string selfAddress;
  PeerLinks peers;
  OwnerLinkServer& local;
  OwnerLinksListener* listener = nullptr;
  QTimer localPingTimer; ///< Active while the in-process path is open.
};

} // namespace oleanderledge
