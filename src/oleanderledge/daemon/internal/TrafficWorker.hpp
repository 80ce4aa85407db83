#pragma once

#include "oleanderledge/daemon/TrafficCounters.hpp"
#include "oleanderledge/daemon/internal/ControlClient.hpp"

#include <QObject>

#include <memory>
#include <vector>

namespace oleanderledge {

/// Serves the callers of a proxy in the traffic thread. Every method is called in that thread.
class TrafficWorker : public QObject
{
  Q_OBJECT

public:
  /// Opens the ports. Fails with ListenFailed.
  virtual Result<void> Start() = 0;

  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;
  /// Called before the ApplyDirectory() of the directory that the deadlines belong to.
  virtual void SetDrainDeadlines(const DrainDeadlineMap& aDeadlines) = 0;
  /// The directory that was applied last was current when a heartbeat of this time was sent.
  virtual void SetDirectoryCurrentAt(Instant aHeartbeatSent) = 0;
  /// `aHeartbeatSent` is the time from which the leases count.
  virtual void ApplyLeases(const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent) = 0;
  /// Number of live proxies, this one included.
  virtual void SetProxyCount(std::uint32_t aCount) = 0;
  /// Sets how many connections to each backend server this proxy may hold.
  virtual void ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants) = 0;
  /// Adds positions of primaries that other proxies observed.
  virtual void AddPositions(const std::vector<PrimaryPosition>& aPositions) = 0;
  /// Applies the answer to a request that TokensRequested() announced.
  virtual void HandleTokenReply(const TokenReply& /*aReply*/) {}
  /// See ControlClient::SharesConfirmed().
  virtual void HandleShares(std::uint64_t /*aTerm*/,
                            const std::vector<QuotaShare>& /*aChanged*/,
                            Instant /*aHeartbeatSent*/)
  {
  }
  /// Collects what the next heartbeat reports.
  virtual TrafficState CollectState() = 0;
  virtual TrafficCounters CollectCounters() const = 0;

  /// Starts a graceful stop; IsIdle() tells when it is complete.
  virtual void BeginStop() = 0;
  /// True once no caller is connected, nothing is owned and no unit runs.
  virtual bool IsIdle() const = 0;

Q_SIGNALS:
  /// Tokens are to be requested from the control leader at once.
  void TokensRequested(const oleanderledge::TokenRequest& aRequest);
};

} // namespace oleanderledge
