#pragma once

#include "oleanderledge/daemon/TrafficCounters.hpp"
#include "oleanderledge/daemon/internal/ControlClient.hpp"
#include "oleanderledge/entry/entry.hpp"
#include "oleanderledge/owner/owner.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <QObject>

#include <memory>

namespace oleanderledge {

/// The traffic thread of a proxy: callers, links between proxies, and the owner role. Every method
/// is called in the traffic thread.
class TrafficWorker : public QObject
{
  Q_OBJECT

public:
  TrafficWorker(InstanceInfo aSelf, Settings aSettings, const EmulatedLatency& aLatency);
  ~TrafficWorker() override;

  /// Opens the ports. Fails with ListenFailed.
  Result<void> Start();

  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory);
  void ApplyLeases(const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent);
  TrafficState CollectState();
  TrafficCounters CollectCounters() const;

  void BeginStop();
  /// True once no caller is connected, nothing is owned and no unit runs.
  bool IsIdle() const;

private:
  void AcceptLink(LinkConnection* aLink);

  InstanceInfo self;
  Settings settings;
  EmulatedLatency latency;
  std::unique_ptr<LinkServer> linkServer;
  ProxyLinks links;
  std::unique_ptr<OwnerService> owner;
  EntryService* entry = nullptr;
};

} // namespace oleanderledge
