#pragma once

#include "oleanderledge/daemon/internal/TrafficWorker.hpp"
#include "oleanderledge/settings/settings.hpp"
#include "oleanderledge/statements/statements.hpp"

namespace oleanderledge {

/// Serves callers over routes to registered backend servers.
class StatementTrafficWorker : public TrafficWorker
{
  Q_OBJECT

public:
  StatementTrafficWorker(InstanceInfo aSelf,
                         std::unique_ptr<StatementProtocol> aProtocol,
                         Settings aSettings,
                         std::shared_ptr<ResourceBudget> aBudget);

  Result<void> Start() override;
  void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) override;
  void SetDrainDeadlines(const DrainDeadlineMap& aDeadlines) override;
  void SetDirectoryCurrentAt(Instant aHeartbeatSent) override;
  /// Ignored: there are no leases, because backend servers enforce by themselves that only one of
  /// them acts as primary.
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
  std::shared_ptr<ResourceBudget> budget;
  std::unique_ptr<StatementService> service;
};

} // namespace oleanderledge
