#pragma once

#include "oleanderledge/daemon/ClientBudget.hpp"
#include "oleanderledge/daemon/ControlContact.hpp"
#include "oleanderledge/daemon/DrainDeadlines.hpp"
#include "oleanderledge/daemon/internal/ControlClient.hpp"
#include "oleanderledge/daemon/internal/MetricsPublisher.hpp"
#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/settings/settings.hpp"

#include <QObject>
#include <QThread>
#include <QTimer>

#include <functional>
#include <memory>

namespace oleanderledge {

class ProxyHttp;
class TrafficWorker;

namespace platform {
class ReadinessServer;
}

/// A proxy process. This object lives in the control thread; the TrafficWorker with callers, links
/// and the owner role lives in the traffic thread.
class ProxyDaemon : public QObject
{
  Q_OBJECT

public:
  ProxyDaemon(const Settings& aSettings, const std::string& aMetricsLog, QObject* aParent);
  ~ProxyDaemon() override;

  /// Opens the ports and contacts the control group. Fails with ListenFailed.
  Result<void> Start();

  /// Applies the control addresses, the only settings that may change while the proxy runs.
  void Reload(const Settings& aSettings);

  /// Starts a graceful stop; `Stopped` follows within `FleetSettings::stopLimitMs`.
  void BeginStop();

Q_SIGNALS:
  /// The stop is complete or has reached its time limit. The code of the error is Ok in both cases.
  void Stopped(const oleanderledge::Error& aError);

private:
  /// Queues a function to run in the traffic thread.
  void RunInTrafficThread(std::function<void(TrafficWorker&)> aFunction);
  void RequestTrafficState(std::function<void(TrafficState)> aDone);
  void PublishMetrics();
  /// Value of the readiness probes; false while the proxy stops. If `fleet.enabled` is set, it
  /// needs a route configuration but no contact to the control group: backend servers refuse
  /// statements that a stale directory sends to the wrong place.
  bool IsReady() const;
  void CheckStopProgress();
  void FinishStop();

  Settings settings;
  ControlContact contact;
  DrainDeadlines drainDeadlines;
  MetricsRegistry metrics;
  MetricsPublisher publisher;
  std::shared_ptr<ResourceBudget> budget; ///< Shared with the traffic thread.
  std::shared_ptr<HttpClients> httpClients;
  ControlClient* client = nullptr;
  ProxyHttp* http = nullptr;
  platform::ReadinessServer* readiness = nullptr;
  QThread trafficThread;
  TrafficWorker* traffic = nullptr;
  QTimer metricsTimer;
  QTimer stopTimer;
  std::uint64_t metricsRounds = 0;
  Instant stopStarted{};
  Instant idleSince{};
  bool isStopping = false;
};

} // namespace oleanderledge
