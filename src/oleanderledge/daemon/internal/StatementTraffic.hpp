#pragma once

#include "oleanderledge/daemon/internal/Traffic.hpp"
#include "oleanderledge/settings/settings.hpp"
#include "oleanderledge/statements/statements.hpp"

namespace oleanderledge {

/// The traffic thread of a proxy that serves routes to registered backend servers.
class StatementTraffic : public Traffic
{
  Q_OBJECT

public:
  StatementTraffic(InstanceInfo aSelf,
                   std::unique_ptr<StatementProtocol> aProtocol,
                   Settings aSettings);

  Result<void> Start() override;
  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  /// Backend servers enforce their lead themselves, so there are no leases.
  void ApplyLeases(const std::vector<LeaseGrant>& /*aLeases*/, Instant /*aHeartbeatSent*/) override
  {
  }
  void SetProxyCount(std::uint32_t aCount) override;
  void ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants) override;
  void AddPositions(const std::vector<PrimaryPosition>& aPositions) override;
  TrafficState CollectState() override;
  TrafficCounters CollectCounters() const override;
  void BeginStop() override;
  bool IsIdle() const override;

private:
  InstanceInfo self;
  std::unique_ptr<StatementProtocol> protocol;
  Settings settings;
  std::unique_ptr<StatementService> service;
};

} // namespace oleanderledge
