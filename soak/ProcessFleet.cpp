#include "soak/ProcessFleet.hpp"

#include <QTcpServer>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace oleanderledge::soak {

namespace {

/// The processes promise to stop within this time.
constexpr Duration kStopLimit = std::chrono::seconds(10);
constexpr std::chrono::milliseconds kCheckInterval(10);
/// Time after which a process that ended by itself is started again.
constexpr std::chrono::milliseconds kRestartDelay(200);

/// A port that was free on all loopback addresses at the time of the call.
std::string FreePort()
{
  QTcpServer probe;
  probe.listen(QHostAddress::AnyIPv4, 0);
  return std::to_string(probe.serverPort());
}

std::string ControlIp(std::size_t aIndex)
{
  return "127.0.0." + std::to_string(11 + aIndex);
}

std::string ProxyIp(std::size_t aIndex)
{
  return "127.0.0." + std::to_string(31 + aIndex);
}

/// A line "KEY: 'VALUE'" of a settings file.
std::string Line(std::string_view aIndent, std::string_view aKey, std::string_view aValue)
{
  std::string line(aIndent);
  line.append(aKey).append(": '").append(aValue).append("'\n");
  return line;
}

} // namespace

ProcessFleet::ProcessFleet(std::string aProgram,
                           const std::string& aPromotionAddress,
                           std::uint32_t aBackendDrainMs,
                           ViolationLog& aViolations)
  : program(std::move(aProgram))
  , violations(aViolations)
  , linkPort(FreePort())
  , httpPort(FreePort())
  , servicePort(FreePort())
  , readinessPort(FreePort())
{
  QObject::connect(
    &this->checkTimer, &QTimer::timeout, &this->context, [this] { this->CheckProcesses(); });
  std::string seeds;
  for (std::size_t index = 0; index < kControls; ++index) {
    seeds.append(seeds.empty() ? "['" : ", '").append(this->ControlPlaneAddress(index)).append("'");
  }
  std::string fleet = "  seeds: ";
  fleet.append(seeds).append("]\n  zones: [{name: near, region: east}]\n");
  for (std::size_t index = 0; index < kControls; ++index) {
    const std::string name = "control-" + std::to_string(index + 1);
    std::string text = this->CommonSettings(ControlIp(index), ControlIp(index));
    text += Line("", "data_folder", this->LogFolder() + "/" + name + "-data");
    text.append("fleet:\n").append(fleet);
    text += Line("  ", "node_name", name);
    text += Line("  ", "control_plane", this->ControlPlaneAddress(index));
    text += Line("  ", "promotion", aPromotionAddress);
    text += "  registration_interval_ms: 300\n  tolerated_losses: 1\n  may_found_group: true\n";
    text += Line("  ", "stop_limit_ms", "5000");
    this->AddProcess(name, "control", text);
  }
  for (std::size_t index = 0; index < kProxies; ++index) {
    const std::string name = "proxy-" + std::to_string(index + 1);
    std::string text = this->CommonSettings(name, ProxyIp(index));
    text += Line("  ", "callers", this->CallersAddress(index));
    text.append("fleet:\n").append(fleet);
    text += Line("  ", "node_name", name);
    text += Line("  ", "readiness", ProxyIp(index) + ":" + this->readinessPort);
    text += Line("  ", "backend_drain_ms", std::to_string(aBackendDrainMs));
    text += Line("  ", "stop_limit_ms", "5500");
    this->AddProcess(name, "proxy", text);
  }
}

std::string ProcessFleet::CommonSettings(const std::string& aInstance, const std::string& aIp) const
{
  std::string text = Line("", "instance", aInstance) + "zone: east/near\nlisten:\n";
  text += Line("  ", "link", aIp + ":" + this->linkPort);
  text += Line("  ", "http", aIp + ":" + this->httpPort);
  return text;
}

void ProcessFleet::AddProcess(const std::string& aName,
                              const char* aSubcommand,
                              const std::string& aSettings)
{
  const std::string path = this->LogFolder() + "/" + aName + ".yaml";
  std::ofstream(path) << aSettings;
  Process added;
  added.name = aName;
  added.arguments = { aSubcommand, "--settings=" + path };
  this->processes.push_back(std::move(added));
}

void ProcessFleet::StartAll()
{
  for (Process& process : this->processes) {
    this->Start(process);
  }
  this->checkTimer.start(kCheckInterval);
}

void ProcessFleet::Start(Process& aProcess)
{
  aProcess.child = std::make_unique<ChildProcess>(
    this->program, aProcess.arguments, this->LogFolder() + "/" + aProcess.name + ".log");
  aProcess.isEndExpected = false;
  aProcess.disturbedUntil = MonotonicNow();
}

void ProcessFleet::CheckProcesses()
{
  const Instant now = MonotonicNow();
  for (Process& process : this->processes) {
    if (process.child == nullptr) {
      continue;
    }
    if (!process.child->HasEnded()) {
      if (process.isEndExpected && now - process.endExpectedSince > kStopLimit) {
        this->violations.Add(
          process.name + " did not end within 10 s; threads: " + process.child->DescribeThreads());
        process.endExpectedSince = now;
        process.child->Signal(SIGKILL);
      }
      continue;
    }
    if (!process.isEndExpected) {
      this->violations.Add(process.name + " ended by itself with status " +
                           std::to_string(process.child->Status()));
      process.downTime = kRestartDelay;
    }
    process.child.reset();
    process.disturbedUntil = Instant::max();
    QTimer::singleShot(process.downTime, &this->context, [this, &process] {
      if (!this->isStopping) {
        this->Start(process);
      }
    });
  }
}

void ProcessFleet::EndProcess(std::size_t aIndex, int aSignal, std::chrono::milliseconds aDownTime)
{
  Process& process = this->processes[aIndex];
  process.isEndExpected = true;
  process.endExpectedSince = MonotonicNow();
  process.downTime = aDownTime;
  process.disturbedUntil = Instant::max();
  if (process.child != nullptr) {
    process.child->Signal(aSignal);
  }
}

void ProcessFleet::Kill(std::size_t aIndex, std::chrono::milliseconds aDownTime)
{
  this->EndProcess(aIndex, SIGKILL, aDownTime);
}

void ProcessFleet::Terminate(std::size_t aIndex, std::chrono::milliseconds aDownTime)
{
  this->EndProcess(aIndex, SIGTERM, aDownTime);
}

void ProcessFleet::Pause(std::size_t aIndex, std::chrono::milliseconds aTime)
{
  Process& process = this->processes[aIndex];
  if (process.child == nullptr) {
    return;
  }
  process.disturbedUntil = Instant::max();
  process.child->Signal(SIGSTOP);
  QTimer::singleShot(aTime, &this->context, [&process] {
    if (process.child != nullptr) {
      process.child->Signal(SIGCONT);
      process.disturbedUntil = MonotonicNow();
    }
  });
}

void ProcessFleet::BeginStop()
{
  this->isStopping = true;
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    if (this->processes[index].child != nullptr) {
      this->processes[index].child->Signal(SIGCONT);
    }
    this->EndProcess(index, SIGTERM, std::chrono::milliseconds(0));
  }
}

bool ProcessFleet::HaveAllEnded() const
{
  return std::ranges::all_of(this->processes,
                             [](const Process& aEach) { return aEach.child == nullptr; });
}

std::string ProcessFleet::CallersAddress(std::size_t aProxy) const
{
  return ProxyIp(aProxy) + ":" + this->servicePort;
}

std::string ProcessFleet::ControlPlaneAddress(std::size_t aControl) const
{
  return ControlIp(aControl) + ":" + this->servicePort;
}

Instant ProcessFleet::DisturbedUntil(std::size_t aProxy) const
{
  return this->processes[kControls + aProxy].disturbedUntil;
}

} // namespace oleanderledge::soak
