#pragma once

#include "oleanderledge/daemon/TrafficCounters.hpp"
#include "oleanderledge/daemon/internal/ControlClient.hpp"

#include <QObject>

#include <memory>
#include <vector>

namespace oleanderledge {

/// The traffic thread of a proxy. Every method is called in that thread.
class Traffic : public QObject
{
  Q_OBJECT

public:
  /// Opens the ports. Fails with ListenFailed.
  virtual Result<void> Start() = 0;

  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;
  virtual void ApplyLeases(const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent) = 0;
  /// Number of live proxies, this one included.
  virtual void SetProxyCount(std::uint32_t aCount) = 0;
  /// Connections to backend servers that this proxy may hold.
  virtual void ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants) = 0;
  /// Positions of primaries that other proxies saw.
  virtual void AddPositions(const std::vector<PrimaryPosition>& aPositions) = 0;
  virtual TrafficState CollectState() = 0;
  virtual TrafficCounters CollectCounters() const = 0;

  virtual void BeginStop() = 0;
  /// True once no caller is connected, nothing is owned and no unit runs.
  virtual bool IsIdle() const = 0;
};

} // namespace oleanderledge
