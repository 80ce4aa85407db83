#include "soak/ProcessFleet.hpp"

#include <QElapsedTimer>
#include <QTcpServer>
#include <QTimer>

#include <csignal>
#include <fstream>

namespace oleanderledge::soak {

namespace {

/// The processes promise to stop within this time.
constexpr int kStopLimitMs = 10'000;

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

ProcessFleet::~ProcessFleet()
{
  this->isStopping = true;
  for (Process& process : this->processes) {
    process.isEndExpected = true;
    process.process->kill();
    process.process->waitForFinished(kStopLimitMs);
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
  added.arguments = { aSubcommand, QString::fromStdString("--settings=" + path) };
  this->processes.push_back(std::move(added));
}

void ProcessFleet::StartAll()
{
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    this->Start(index);
  }
}

void ProcessFleet::Start(std::size_t aIndex)
{
  Process& started = this->processes[aIndex];
  started.process = std::make_unique<QProcess>();
  started.process->setProcessChannelMode(QProcess::MergedChannels);
  started.process->setStandardOutputFile(
    QString::fromStdString(this->LogFolder() + "/" + started.name + ".log"), QIODevice::Append);
  started.isEndExpected = false;
  started.disturbedUntil = MonotonicNow();
  QObject::connect(started.process.get(),
                   &QProcess::finished,
                   &this->context,
                   [this, aIndex](int aCode) { this->HandleEnd(aIndex, aCode); });
  started.process->start(QString::fromStdString(this->program), started.arguments);
  started.process->waitForStarted();
}

void ProcessFleet::HandleEnd(std::size_t aIndex, int aCode)
{
  const Process& ended = this->processes[aIndex];
  if (!ended.isEndExpected) {
    this->violations.Add(ended.name + " ended by itself with " + std::to_string(aCode));
  }
}

void ProcessFleet::Signal(std::size_t aIndex, int aSignal)
{
  const QProcess& process = *this->processes[aIndex].process;
  if (process.state() == QProcess::Running) {
    ::kill(static_cast<pid_t>(process.processId()), aSignal);
  }
}

void ProcessFleet::Kill(std::size_t aIndex, std::chrono::milliseconds aDownTime)
{
  this->Restart(aIndex, SIGKILL, aDownTime);
}

void ProcessFleet::Terminate(std::size_t aIndex, std::chrono::milliseconds aDownTime)
{
  this->Restart(aIndex, SIGTERM, aDownTime);
}

void ProcessFleet::Restart(std::size_t aIndex, int aSignal, std::chrono::milliseconds aDownTime)
{
  Process& process = this->processes[aIndex];
  process.isEndExpected = true;
  process.disturbedUntil = Instant::max();
  QObject::connect(process.process.get(), &QProcess::finished, &this->context, [=, this] {
    // Queued: the process object is replaced.
    QTimer::singleShot(aDownTime, &this->context, [this, aIndex] {
      if (!this->isStopping) {
        this->Start(aIndex);
      }
    });
  });
  this->Signal(aIndex, aSignal);
  QTimer::singleShot(kStopLimitMs, process.process.get(), [this, aIndex] {
    if (this->processes[aIndex].process->state() == QProcess::Running) {
      this->violations.Add(this->processes[aIndex].name + " did not end within 10 s");
      this->Signal(aIndex, SIGKILL);
    }
  });
}

void ProcessFleet::Pause(std::size_t aIndex, std::chrono::milliseconds aTime)
{
  this->processes[aIndex].disturbedUntil = Instant::max();
  this->Signal(aIndex, SIGSTOP);
  QTimer::singleShot(aTime, &this->context, [this, aIndex] {
    this->Signal(aIndex, SIGCONT);
    this->processes[aIndex].disturbedUntil = MonotonicNow();
  });
}

bool ProcessFleet::StopAll()
{
  this->isStopping = true;
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    this->processes[index].isEndExpected = true;
    this->Signal(index, SIGCONT);
    this->Signal(index, SIGTERM);
  }
  QElapsedTimer elapsed;
  elapsed.start();
  bool haveAllEnded = true;
  for (Process& process : this->processes) {
    const int left = std::max(1, kStopLimitMs - static_cast<int>(elapsed.elapsed()));
    haveAllEnded = (process.process->state() == QProcess::NotRunning ||
                    process.process->waitForFinished(left)) &&
                   haveAllEnded;
  }
  return haveAllEnded;
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
