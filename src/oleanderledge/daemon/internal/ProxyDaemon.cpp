#include "oleanderledge/daemon/internal/ProxyDaemon.hpp"

#include "oleanderledge/daemon/internal/ProxyHttp.hpp"
#include "oleanderledge/daemon/internal/StatementTraffic.hpp"
#include "oleanderledge/daemon/internal/TrafficWorker.hpp"
#include "oleanderledge/platform/platform.hpp"

#include <random>

namespace oleanderledge {

namespace {

constexpr std::chrono::milliseconds kMetricsInterval{ 1000 };
/// The metrics log gets one line for this many rounds of the metrics timer.
constexpr std::uint64_t kRoundsPerLogLine = 10;
constexpr std::chrono::milliseconds kStopPollInterval{ 20 };

InstanceInfo MakeSelf(const Settings& aSettings)
{
  InstanceInfo self;
  self.id = aSettings.instance;
  // Unique for each process start, also if the clock is set back.
  std::random_device source;
  self.incarnation = (std::uint64_t{ source() } << 32U) | source();
  self.role = InstanceRole::Proxy;
  self.zone = aSettings.zone;
  self.linkAddress = aSettings.linkAddress;
  self.httpAddress = aSettings.httpAddress;
  return self;
}

EmulatedLatency LatencyOf(const LatencySettings& aSettings)
{
  return { Duration{ aSettings.betweenZonesUs },
           Duration{ aSettings.betweenRegionsUs },
           Duration{ aSettings.toClientsUs } };
}

} // namespace

ProxyDaemon::ProxyDaemon(const Settings& aSettings,
                         const std::string& aMetricsLog,
                         QObject* aParent)
  : QObject(aParent)
  , settings(aSettings)
  , contact(MakeSelf(aSettings), aSettings.controlAddresses, {})
  , publisher(contact.Self(), metrics, aMetricsLog)
{
  this->client = new ControlClient(
    this->contact,
    LatencyOf(aSettings.emulatedLatency),
    [this](std::function<void(TrafficState)> aDone) { this->RequestState(std::move(aDone)); },
    this);
  this->http = new ProxyHttp(
    this->metrics,
    [this] { return this->IsReady(); },
    [this] { return this->client->Peer().httpAddress; },
    this);
  QObject::connect(this->client, &ControlClient::DirectoryChanged, this, [this] {
    this->InTraffic([directory = this->contact.CurrentDirectory()](Traffic& aWorker) {
      aWorker.ApplyDirectory(directory);
    });
  });
  QObject::connect(
    this->client, &ControlClient::ProxyCountChanged, this, [this](std::uint32_t aCount) {
      this->InTraffic([aCount](Traffic& aTraffic) { aTraffic.SetProxyCount(aCount); });
    });
  QObject::connect(this->client,
                   &ControlClient::ConnectionsGranted,
                   this,
                   [this](const std::vector<ConnectionGrant>& aGrants) {
                     this->InTraffic(
                       [aGrants](Traffic& aTraffic) { aTraffic.ApplyConnectionGrants(aGrants); });
                   });
  QObject::connect(this->client,
                   &ControlClient::PositionsShared,
                   this,
                   [this](const std::vector<PrimaryPosition>& aPositions) {
                     this->InTraffic(
                       [aPositions](Traffic& aTraffic) { aTraffic.AddPositions(aPositions); });
                   });
  if (aSettings.fleet.enabled) {
    this->readiness = new platform::ReadinessServer([this] { return this->IsReady(); }, this);
  }
  QObject::connect(this->client,
                   &ControlClient::LeasesGranted,
                   this,
                   [this](const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent) {
                     this->InTraffic([aLeases, aHeartbeatSent](Traffic& aWorker) {
                       aWorker.ApplyLeases(aLeases, aHeartbeatSent);
                     });
                   });
  QObject::connect(&this->metricsTimer, &QTimer::timeout, this, &ProxyDaemon::PublishMetrics);
  QObject::connect(&this->stopTimer, &QTimer::timeout, this, &ProxyDaemon::CheckStopped);
}

ProxyDaemon::~ProxyDaemon()
{
  if (this->traffic != nullptr) {
    // Sockets and timers end in the thread that they live in.
    QMetaObject::invokeMethod(
      this->traffic, [worker = this->traffic] { delete worker; }, Qt::BlockingQueuedConnection);
  }
  this->trafficThread.quit();
  this->trafficThread.wait();
}

Result<void> ProxyDaemon::Start()
{
  if (this->settings.fleet.enabled) {
    this->traffic = new StatementTraffic(
      this->contact.Self(), std::make_unique<platform::WireProtocol>(), this->settings);
  } else {
    this->traffic = new TrafficWorker(
      this->contact.Self(), this->settings, LatencyOf(this->settings.emulatedLatency));
  }
  this->traffic->moveToThread(&this->trafficThread);
  this->trafficThread.start();
  Result<void> started = boost::outcome_v2::success();
  QMetaObject::invokeMethod(
    this->traffic,
    [this, &started] { started = this->traffic->Start(); },
    Qt::BlockingQueuedConnection);
  if (!started) {
    return started;
  }
  auto listening = this->http->Listen(this->settings.httpAddress);
  if (!listening) {
    return listening;
  }
  if (this->readiness != nullptr) {
    auto asked = this->readiness->Listen(this->settings.fleet.readinessAddress);
    if (!asked) {
      return asked;
    }
  }
  this->client->Start();
  this->metricsTimer.start(kMetricsInterval);
  return boost::outcome_v2::success();
}

/// A proxy that serves routes goes on without contact to the control group: backend servers refuse
/// what a stale directory would do wrong. It must know a configuration, though.
bool ProxyDaemon::IsReady() const
{
  if (this->isStopping) {
    return false;
  }
  return this->settings.fleet.enabled ? this->contact.CurrentDirectory()->ConfigurationNumber() > 0
                                      : this->contact.IsReady(MonotonicNow());
}

void ProxyDaemon::InTraffic(std::function<void(Traffic&)> aFunction)
{
  QMetaObject::invokeMethod(
    this->traffic,
    [worker = this->traffic, function = std::move(aFunction)] { function(*worker); },
    Qt::QueuedConnection);
}

void ProxyDaemon::RequestState(std::function<void(TrafficState)> aDone)
{
  this->InTraffic([this, done = std::move(aDone)](Traffic& aWorker) {
    QMetaObject::invokeMethod(
      this,
      [done, state = aWorker.CollectState()]() mutable { done(std::move(state)); },
      Qt::QueuedConnection);
  });
}

void ProxyDaemon::PublishMetrics()
{
  this->InTraffic([this](Traffic& aWorker) {
    QMetaObject::invokeMethod(
      this,
      [this, counters = aWorker.CollectCounters()] {
        const auto directory = this->contact.CurrentDirectory();
        this->publisher.Publish(counters, *directory, this->contact.IsReady(MonotonicNow()));
        if (this->metricsRounds++ % kRoundsPerLogLine == 0) {
          this->publisher.AppendToLog(counters, *directory);
        }
      },
      Qt::QueuedConnection);
  });
}

void ProxyDaemon::Reload(const Settings& aSettings)
{
  this->contact.SetFirstAddresses(aSettings.controlAddresses);
}

void ProxyDaemon::BeginStop()
{
  if (this->isStopping) {
    return;
  }
  this->isStopping = true;
  this->stopStarted = MonotonicNow();
  WriteLog(LogEvent::DaemonStopping, "instance=" + this->settings.instance);
  this->contact.SetLeaving();
  this->client->SendNow();
  this->InTraffic([](Traffic& aWorker) { aWorker.BeginStop(); });
  this->stopTimer.start(kStopPollInterval);
}

void ProxyDaemon::CheckStopped()
{
  const Instant now = MonotonicNow();
  if (now - this->stopStarted >= std::chrono::milliseconds(this->settings.fleet.stopLimitMs)) {
    this->FinishStop();
    return;
  }
  // The last release must reach the control leader; the answer to a later heartbeat proves it.
  if (this->idleSince != Instant{} && this->contact.LastAcceptedSent() > this->idleSince) {
    this->FinishStop();
    return;
  }
  this->InTraffic([this](Traffic& aWorker) {
    const bool isIdle = aWorker.IsIdle();
    QMetaObject::invokeMethod(
      this,
      [this, isIdle] {
        if (!isIdle) {
          this->idleSince = Instant{};
        } else if (this->idleSince == Instant{}) {
          this->idleSince = MonotonicNow();
          this->client->SendNow();
        }
      },
      Qt::QueuedConnection);
  });
}

void ProxyDaemon::FinishStop()
{
  this->stopTimer.stop();
  const auto took =
    std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicNow() - this->stopStarted);
  WriteLog(LogEvent::DaemonStopped, "took_ms=" + std::to_string(took.count()));
  Q_EMIT this->Stopped(Error{});
}

} // namespace oleanderledge
