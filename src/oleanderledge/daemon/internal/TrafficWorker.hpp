#pragma once

#include "oleanderledge/daemon/internal/Traffic.hpp"
#include "oleanderledge/entry/entry.hpp"
#include "oleanderledge/owner/owner.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <QObject>

#include <memory>

namespace oleanderledge {

/// The traffic thread of a proxy that serves PostgreSQL callers: callers, links between proxies,
/// and the owner role.
class TrafficWorker : public Traffic
{
  Q_OBJECT

public:
  TrafficWorker(InstanceInfo aSelf, Settings aSettings, const EmulatedLatency& aLatency);
  ~TrafficWorker() override;

  Result<void> Start() override;

  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  void ApplyLeases(const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent) override;
  /// Owners hold all connections to their databases, so there is nothing to share.
  void SetProxyCount(std::uint32_t /*aCount*/) override {}
  void ApplyConnectionGrants(const std::vector<ConnectionGrant>& /*aGrants*/) override {}
  /// Owners know the positions of their databases.
  void AddPositions(const std::vector<PrimaryPosition>& /*aPositions*/) override {}
  TrafficState CollectState() override;
  TrafficCounters CollectCounters() const override;

  void BeginStop() override;
  bool IsIdle() const override;

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
