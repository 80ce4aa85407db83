#pragma once

#include "oleanderledge/base/base.hpp"
#include "soak/ChildProcess.hpp"
#include "soak/ViolationLog.hpp"

#include <QObject>
#include <QTemporaryDir>
#include <QTimer>

#include <memory>
#include <string>
#include <vector>

namespace oleanderledge::soak {

/// Control instances and proxies as separate processes on loopback addresses, and faults that are
/// injected by signals.
class ProcessFleet
{
public:
  static constexpr std::size_t kControls = 3;
  static constexpr std::size_t kProxies = 3;

  /// `aPromotionAddress` is the service that the control instances call to promote a server.
  ProcessFleet(std::string aProgram,
               const std::string& aPromotionAddress,
               std::uint32_t aBackendDrainMs,
               ViolationLog& aViolations);

  void StartAll();
  /// Sends SIGTERM to all processes, which are not started again.
  void BeginStop();
  bool HaveAllEnded() const;

  // Faults of the process at this index; controls come first. Each ends by itself: the process goes
  // on, or is started again, after the given time.
  void Kill(std::size_t aIndex, std::chrono::milliseconds aDownTime);
  void Terminate(std::size_t aIndex, std::chrono::milliseconds aDownTime);
  void Pause(std::size_t aIndex, std::chrono::milliseconds aTime);
  bool IsDisturbed(std::size_t aIndex) const
  {
    return this->processes[aIndex].disturbedUntil == Instant::max();
  }

  std::size_t Count() const { return this->processes.size(); }
  static bool IsControl(std::size_t aIndex) { return aIndex < kControls; }
  /// Address for callers of a proxy.
  std::string CallersAddress(std::size_t aProxy) const;
  /// Address for registrations and configurations at a control instance.
  std::string ControlPlaneAddress(std::size_t aControl) const;
  /// When the last disturbance of the proxy ended; the end of time during one.
  Instant DisturbedUntil(std::size_t aProxy) const;
  /// Folder of the logs, one for each process.
  std::string LogFolder() const { return this->folder.path().toStdString(); }
  /// Keeps the logs when the fleet is destroyed.
  void KeepLogs() { this->folder.setAutoRemove(false); }

private:
  struct Process
  {
    std::string name;
    std::vector<std::string> arguments;
    std::unique_ptr<ChildProcess> child; ///< Null before the first start and while it is down.
    bool isEndExpected = false;
    Instant endExpectedSince{};
    std::chrono::milliseconds downTime{ 0 }; ///< From an expected end to the next start.
    Instant disturbedUntil{};                ///< The end of time during a disturbance.
  };

  /// Settings of all roles up to the section `listen`, which is left open.
  std::string CommonSettings(const std::string& aInstance, const std::string& aIp) const;
  void AddProcess(const std::string& aName, const char* aSubcommand, const std::string& aSettings);
  void Start(Process& aProcess);
  void EndProcess(std::size_t aIndex, int aSignal, std::chrono::milliseconds aDownTime);
  /// Notices processes that have ended, or that should have.
  void CheckProcesses();

  std::string program;
  ViolationLog& violations;
  QTemporaryDir folder;
  std::string linkPort;
  std::string httpPort;
  std::string servicePort; ///< Control plane of control instances, callers of proxies.
  std::string readinessPort;
  std::vector<Process> processes;
  bool isStopping = false;
  QObject context; ///< Of single-shot timers.
  QTimer checkTimer;
};

} // namespace oleanderledge::soak
