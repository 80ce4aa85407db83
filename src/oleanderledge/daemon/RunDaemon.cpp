#include "oleanderledge/daemon/RunDaemon.hpp"

#include "oleanderledge/base/ExitLimit.hpp"
#include "oleanderledge/control/internal/ControlDaemon.hpp"
#include "oleanderledge/daemon/PortLimitSettings.hpp"
#include "oleanderledge/daemon/internal/FailoverLog.hpp"
#include "oleanderledge/daemon/internal/ProcessSignals.hpp"
#include "oleanderledge/daemon/internal/ProxyDaemon.hpp"
#include "oleanderledge/daemon/internal/SettingsWatcher.hpp"
#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/platform/platform.hpp"
#include "oleanderledge/statements/statements.hpp"

#include <QCoreApplication>

#include <cstdlib>
#include <optional>
#include <random>

namespace oleanderledge {

namespace {

/// Time to destroy the objects and to write the last log lines, which in general takes a few
/// milliseconds. A proxy stops 5.5 s after SIGTERM at the latest, and the platform kills after 6 s.
constexpr std::chrono::milliseconds kExitLimit(400);

template<class Daemon>
Result<void> RunUntilStopped(Daemon& aDaemon,
                             const std::string& aInstance,
                             SettingsWatcher& aWatcher)
{
  ProcessSignals signals(nullptr);
  QObject::connect(&signals, &ProcessSignals::StopRequested, &aDaemon, &Daemon::BeginStop);
  QObject::connect(
    &signals, &ProcessSignals::ReloadRequested, &aWatcher, &SettingsWatcher::ReloadIfChanged);
  Result<void> finished = boost::outcome_v2::success();
  QObject::connect(&aDaemon, &Daemon::Stopped, qApp, [&finished](const Error& aError) {
    if (aError.code != ResultCode::Ok) {
      finished = Fail(aError.code, aError.message);
    }
    QCoreApplication::quit();
  });
  auto started = aDaemon.Start();
  if (!started) {
    return started;
  }
  WriteLog(LogEvent::DaemonStarted, "instance=" + aInstance);
  QCoreApplication::exec();
  LimitExitTime(kExitLimit, finished ? EXIT_SUCCESS : EXIT_FAILURE);
  WriteLog(LogEvent::DaemonStopped, "instance=" + aInstance + " step=event_loop");
  return finished;
}

/// A few seconds after a voter failed, or restarted without its data, the platform counts the loss
/// as over, so the voter must be replaced by then.
constexpr Duration kFleetVoterLostAfter = std::chrono::milliseconds(1500);

void ApplyFleetSettings(const FleetSettings& aFleet, ControlSettings& aControl)
{
  aControl.nodeName = aFleet.nodeName;
  aControl.voterGoal = std::size_t{ aFleet.toleratedLosses } * 2 + 1;
  aControl.mayFoundGroup = aFleet.mayFoundGroup;
  aControl.voterLostAfter = kFleetVoterLostAfter;
  aControl.leaveLimit = std::chrono::milliseconds(aFleet.stopLimitMs);
  aControl.serviceTimings.registrationInterval =
    std::chrono::milliseconds(aFleet.registrationIntervalMs);
}

ControlSettings ToControlSettings(const Settings& aSettings)
{
  ControlSettings control;
  control.instance.id = aSettings.instance;
  std::random_device source;
  control.instance.incarnation = (std::uint64_t{ source() } << 32U) | source();
  control.instance.role = InstanceRole::Control;
  control.instance.zone = aSettings.zone;
  control.instance.linkAddress = aSettings.linkAddress;
  control.instance.httpAddress = aSettings.httpAddress;
  for (const std::string& address : aSettings.controlAddresses) {
    if (address != aSettings.linkAddress) {
      control.peers.push_back(address);
    }
  }
  for (const InitialMember& member : aSettings.initialMembers) {
    control.initialMembers.push_back({ "", member.instance, member.linkAddress, true });
  }
  control.dataFolder = aSettings.dataFolder;
  control.electionTimeoutMin = std::chrono::milliseconds(aSettings.electionTimeoutMs);
  control.electionTimeoutMax = control.electionTimeoutMin * 2;
  control.latencyBetweenZones = Duration{ aSettings.emulatedLatency.betweenZonesUs };
  control.latencyBetweenRegions = Duration{ aSettings.emulatedLatency.betweenRegionsUs };
  control.nodeName = aSettings.instance;
  control.linkLimits = ToLinkLimits(aSettings.portLimits);
  control.httpLimits = ToHttpLimits(aSettings.portLimits);
  control.budgetLimits.bytes = aSettings.portLimits.heldBytes;
  control.limits.instances = aSettings.portLimits.instances;
  control.limits.backendServers = aSettings.portLimits.backendServers;
  control.limits.databases = aSettings.portLimits.databases;
  control.limits.classes = aSettings.portLimits.classes;
  if (aSettings.fleet.enabled) {
    ApplyFleetSettings(aSettings.fleet, control);
  }
  return control;
}

} // namespace

Result<void> RunProxy(const Settings& aSettings, const DaemonOptions& aOptions)
{
  if (aSettings.fleet.enabled) {
    ReturnLargeBlocks();
  }
  ProxyDaemon daemon(aSettings, aOptions.metricsLog, nullptr);
  SettingsWatcher watcher(aOptions.settingsPath, DaemonKind::Proxy, nullptr);
  QObject::connect(&watcher, &SettingsWatcher::Changed, &daemon, &ProxyDaemon::Reload);
  return RunUntilStopped(daemon, aSettings.instance, watcher);
}

Result<void> RunControl(const Settings& aSettings, const DaemonOptions& aOptions)
{
  const ControlSettings settings = ToControlSettings(aSettings);
  FailoverLog log(settings.instance, aOptions.metricsLog);
  ControlDaemon daemon(settings, nullptr);
  std::optional<platform::ControlPlaneServer> controlPlane;
  if (aSettings.fleet.enabled) {
    ReturnLargeBlocks();
    daemon.SetPromotionService(
      std::make_unique<platform::PromotionClient>(aSettings.fleet.promotionAddress));
    daemon.SetPositionQuery(
      std::make_unique<StatusProbe>(std::make_unique<platform::WireProtocol>()));
    controlPlane.emplace(daemon, daemon.SharedHttpClients(), nullptr);
    auto listening = controlPlane->Listen(aSettings.fleet.controlPlaneAddress);
    if (!listening) {
      return listening;
    }
  }
  QObject::connect(&daemon,
                   &ControlDaemon::FailoverCompleted,
                   &daemon,
                   [&log](const FailoverDurations& aDone) { log.Append(aDone); });
  SettingsWatcher watcher(aOptions.settingsPath, DaemonKind::Control, nullptr);
  QObject::connect(
    &watcher, &SettingsWatcher::Changed, &daemon, [&daemon](const Settings& aChanged) {
      daemon.SetPeerAddresses(aChanged.controlAddresses);
    });
  return RunUntilStopped(daemon, aSettings.instance, watcher);
}

} // namespace oleanderledge
