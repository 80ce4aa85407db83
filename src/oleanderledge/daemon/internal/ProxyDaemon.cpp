#include "oleanderledge/daemon/internal/ProxyDaemon.hpp"

#include "oleanderledge/daemon/PortLimitSettings.hpp"
#include "oleanderledge/daemon/internal/PostgresTrafficWorker.hpp"
#include "oleanderledge/daemon/internal/ProxyHttp.hpp"
#include "oleanderledge/daemon/internal/StatementTrafficWorker.hpp"
#include "oleanderledge/platform/platform.hpp"

#include <random>

namespace oleanderledge {

namespace {

constexpr std::chrono::milliseconds kMetricsInterval{ 1000 };
/// Ticks of the metrics timer per line of the metrics log.
constexpr std::uint64_t kRoundsPerLogLine = 10;
constexpr std::chrono::milliseconds kStopPollInterval{ 20 };

InstanceInfo MakeInstanceInfo(const Settings& aSettings)
{
  InstanceInfo self;
  self.id = aSettings.instance;
  // Random, so that it is unique for each process start even if the clock is set back.
  std::random_device source;
  self.incarnation = (std::uint64_t{ source() } << 32U) | source();
  self.role = InstanceRole::Proxy;
  self.zone = aSettings.zone;
  self.linkAddress = aSettings.linkAddress;
  self.httpAddress = aSettings.httpAddress;
  return self;
}

/// Part of the drain time that is left for a statement to arrive after the decision to send it. An
/// overloaded link delays packets by up to this time.
constexpr std::chrono::milliseconds kDrainDeliveryTime{ 500 };

/// Part of the drain time during which statements may be sent.
Duration UsableDrainTime(const FleetSettings& aFleet)
{
  return std::chrono::milliseconds(aFleet.backendDrainMs) - kDrainDeliveryTime;
}

EmulatedLatency ToEmulatedLatency(const LatencySettings& aSettings)
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
  , contact(MakeInstanceInfo(aSettings), aSettings.controlAddresses, {})
  , drainDeadlines(UsableDrainTime(aSettings.fleet))
  , publisher(contact.Self(), metrics, aMetricsLog)
  , budget(std::make_shared<ResourceBudget>(BudgetLimitsOf(aSettings.limits)))
  , httpClients(std::make_shared<HttpClients>(ToHttpLimits(aSettings.portLimits), this->budget))
{
  this->client = new ControlClient(
    this->contact,
    ToEmulatedLatency(aSettings.emulatedLatency),
    [this](std::function<void(TrafficState)> aDone) {
      this->RequestTrafficState(std::move(aDone));
    },
    this);
  this->http = new ProxyHttp(
    this->metrics,
    [this] { return this->IsReady(); },
    [this] { return this->client->Peer().httpAddress; },
    this->httpClients,
    this);
  QObject::connect(this->client, &ControlClient::DirectoryChanged, this, [this] {
    const auto directory = this->contact.CurrentDirectory();
    this->RunInTrafficThread(
      [directory,
       deadlines = this->drainDeadlines.Update(*directory),
       currentAt = this->drainDeadlines.DirectoryCurrentAt(*directory)](TrafficWorker& aWorker) {
        aWorker.SetDrainDeadlines(deadlines);
        aWorker.ApplyDirectory(directory);
        aWorker.SetDirectoryCurrentAt(currentAt);
      });
  });
  QObject::connect(
    this->client, &ControlClient::ReplyAccepted, this, [this](const HeartbeatReply& aReply) {
      this->drainDeadlines.RecordReply(aReply);
      const auto directory = this->contact.CurrentDirectory();
      this->RunInTrafficThread(
        [currentAt = this->drainDeadlines.DirectoryCurrentAt(*directory)](TrafficWorker& aWorker) {
          aWorker.SetDirectoryCurrentAt(currentAt);
        });
    });
  QObject::connect(
    this->client, &ControlClient::ProxyCountChanged, this, [this](std::uint32_t aCount) {
      this->RunInTrafficThread([aCount](TrafficWorker& aWorker) { aWorker.SetProxyCount(aCount); });
    });
  QObject::connect(this->client,
                   &ControlClient::ConnectionsGranted,
                   this,
                   [this](const std::vector<ConnectionGrant>& aGrants) {
                     this->RunInTrafficThread([aGrants](TrafficWorker& aWorker) {
                       aWorker.ApplyConnectionGrants(aGrants);
                     });
                   });
  QObject::connect(this->client,
                   &ControlClient::PositionsShared,
                   this,
                   [this](const std::vector<PrimaryPosition>& aPositions) {
                     this->RunInTrafficThread(
                       [aPositions](TrafficWorker& aWorker) { aWorker.AddPositions(aPositions); });
                   });
  QObject::connect(
    this->client, &ControlClient::TokensAnswered, this, [this](const TokenReply& aReply) {
      this->RunInTrafficThread(
        [aReply](TrafficWorker& aWorker) { aWorker.HandleTokenReply(aReply); });
    });
  QObject::connect(
    this->client,
    &ControlClient::SharesConfirmed,
    this,
    [this](std::uint64_t aTerm, const std::vector<QuotaShare>& aChanged, Instant aHeartbeatSent) {
      this->RunInTrafficThread([aTerm, aChanged, aHeartbeatSent](TrafficWorker& aWorker) {
        aWorker.HandleShares(aTerm, aChanged, aHeartbeatSent);
      });
    });
  if (aSettings.fleet.enabled) {
    this->readiness =
      new platform::ReadinessServer([this] { return this->IsReady(); }, this->httpClients, this);
  }
  QObject::connect(this->client,
                   &ControlClient::LeasesGranted,
                   this,
                   [this](const std::vector<LeaseGrant>& aLeases, Instant aHeartbeatSent) {
                     this->RunInTrafficThread([aLeases, aHeartbeatSent](TrafficWorker& aWorker) {
                       aWorker.ApplyLeases(aLeases, aHeartbeatSent);
                     });
                   });
  QObject::connect(&this->metricsTimer, &QTimer::timeout, this, &ProxyDaemon::PublishMetrics);
  QObject::connect(&this->stopTimer, &QTimer::timeout, this, &ProxyDaemon::CheckStopProgress);
}

ProxyDaemon::~ProxyDaemon()
{
  if (this->traffic != nullptr) {
    // Sockets and timers must be destroyed in the thread that they live in.
    QMetaObject::invokeMethod(
      this->traffic, [worker = this->traffic] { delete worker; }, Qt::BlockingQueuedConnection);
  }
  this->trafficThread.quit();
  this->trafficThread.wait();
}

Result<void> ProxyDaemon::Start()
{
  if (this->settings.fleet.enabled) {
    this->traffic = new StatementTrafficWorker(this->contact.Self(),
                                               std::make_unique<platform::WireProtocol>(),
                                               this->settings,
                                               this->budget);
  } else {
    this->traffic = new PostgresTrafficWorker(
      this->contact.Self(), this->settings, ToEmulatedLatency(this->settings.emulatedLatency));
  }
  // Queued, as the worker lives in the traffic thread.
  QObject::connect(this->traffic,
                   &TrafficWorker::TokensRequested,
                   this->client,
                   &ControlClient::SendTokenRequest,
                   Qt::QueuedConnection);
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
    auto readinessListening = this->readiness->Listen(this->settings.fleet.readinessAddress);
    if (!readinessListening) {
      return readinessListening;
    }
  }
  this->client->Start();
  this->metricsTimer.start(kMetricsInterval);
  return boost::outcome_v2::success();
}

bool ProxyDaemon::IsReady() const
{
  if (this->isStopping) {
    return false;
  }
  return this->settings.fleet.enabled ? this->contact.CurrentDirectory()->ConfigurationNumber() > 0
                                      : this->contact.IsReady(MonotonicNow());
}

void ProxyDaemon::RunInTrafficThread(std::function<void(TrafficWorker&)> aFunction)
{
  QMetaObject::invokeMethod(
    this->traffic,
    [worker = this->traffic, function = std::move(aFunction)] { function(*worker); },
    Qt::QueuedConnection);
}

void ProxyDaemon::RequestTrafficState(std::function<void(TrafficState)> aDone)
{
  this->RunInTrafficThread([this, done = std::move(aDone)](TrafficWorker& aWorker) {
    QMetaObject::invokeMethod(
      this,
      [done, state = aWorker.CollectState()]() mutable { done(std::move(state)); },
      Qt::QueuedConnection);
  });
}

void ProxyDaemon::PublishMetrics()
{
  this->RunInTrafficThread([this](TrafficWorker& aWorker) {
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
  this->contact.SetConfiguredAddresses(aSettings.controlAddresses);
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
  this->RunInTrafficThread([](TrafficWorker& aWorker) { aWorker.BeginStop(); });
  this->stopTimer.start(kStopPollInterval);
}

void ProxyDaemon::CheckStopProgress()
{
  const Instant now = MonotonicNow();
  if (now - this->stopStarted >= std::chrono::milliseconds(this->settings.fleet.stopLimitMs)) {
    this->FinishStop();
    return;
  }
  // The last release must reach the control leader. It has when the leader accepts a heartbeat that
  // was sent after the traffic thread became idle.
  if (this->idleSince != Instant{} && this->contact.LastAcceptedSentAt() > this->idleSince) {
    this->FinishStop();
    return;
  }
  this->RunInTrafficThread([this](TrafficWorker& aWorker) {
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
