#pragma once

#include "oleanderledge/daemon/internal/TrafficWorker.hpp"
#include "oleanderledge/entry/entry.hpp"
#include "oleanderledge/owner/owner.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <QObject>

#include <memory>

namespace oleanderledge {

/// Serves PostgreSQL callers: runs their sessions, the links between proxies and the owner role.
class PostgresTrafficWorker : public TrafficWorker
{
  Q_OBJECT

public:
  PostgresTrafficWorker(InstanceInfo aSelf, Settings aSettings, const EmulatedLatency& aLatency);
  ~PostgresTrafficWorker() override;

  Result<void> Start() override;

  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  void ApplyLeases(const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent) override;
  /// Ignored: the owner of a database limits the work of departing slots itself.
  void SetDrainDeadlines(const DrainDeadlineMap& /*aDeadlines*/) override {}
  /// Not used: the leases of databases limit commits.
  void SetDirectoryCurrentAt(Instant /*aHeartbeatSent*/) override {}
  /// Ignored, like connection grants: the owner of a database holds all connections to it.
  void SetProxyCount(std::uint32_t /*aCount*/) override {}
  void ApplyConnectionGrants(const std::vector<ConnectionGrant>& /*aGrants*/) override {}
  /// Ignored: an owner observes the positions of its databases itself.
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
