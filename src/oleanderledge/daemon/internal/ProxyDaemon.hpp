#pragma once

#include "oleanderledge/daemon/ControlContact.hpp"
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
class Traffic;

namespace platform {
class ReadinessServer;
}

/// A proxy process. This object lives in the control thread; callers, links and the owner role live
/// in the traffic thread.
class ProxyDaemon : public QObject
{
  Q_OBJECT

public:
  ProxyDaemon(const Settings& aSettings, const std::string& aMetricsLog, QObject* aParent);
  ~ProxyDaemon() override;

  /// Opens the ports and contacts the control group. Fails with ListenFailed.
  Result<void> Start();

  /// Uses what may change while the proxy runs: the control addresses.
  void Reload(const Settings& aSettings);

  /// Starts a graceful stop; `Stopped` follows within the limit of the settings.
  void BeginStop();

Q_SIGNALS:
  /// The code of the error is Ok after a graceful stop.
  void Stopped(const oleanderledge::Error& aError);

private:
  /// Runs a function in the traffic thread.
  void InTraffic(std::function<void(Traffic&)> aFunction);
  void RequestState(std::function<void(TrafficState)> aDone);
  void PublishMetrics();
  bool IsReady() const;
  void CheckStopped();
  void FinishStop();

  Settings settings;
  ControlContact contact;
  MetricsRegistry metrics;
  MetricsPublisher publisher;
  ControlClient* client = nullptr;
  ProxyHttp* http = nullptr;
  platform::ReadinessServer* readiness = nullptr;
  QThread trafficThread;
  Traffic* traffic = nullptr;
  QTimer metricsTimer;
  QTimer stopTimer;
  std::uint64_t metricsRounds = 0;
  Instant stopStarted{};
  Instant idleSince{};
  bool isStopping = false;
};

} // namespace oleanderledge
