#include "soak/SoakRun.hpp"

#include <QCoreApplication>

#include <algorithm>
#include <cstdio>

namespace oleanderledge::soak {

namespace {

/// Short, so that many drains fit into a run.
constexpr std::chrono::milliseconds kDrainTime(2000);
constexpr std::size_t kCallersPerProxy = 4;
constexpr std::size_t kMostServers = 3;
constexpr Duration kStartLimit = std::chrono::seconds(15);
/// After the last fault: the election, the promotion, and a free connection for each caller.
constexpr Duration kRecoveryLimit = std::chrono::seconds(15);
/// Longer than the time after which the fleet kills processes that do not stop.
constexpr Duration kStopLimit = std::chrono::seconds(20);
constexpr std::chrono::milliseconds kDelayCheckInterval(10);
/// A gap of this length in the event loop makes the measured times unreliable.
constexpr Duration kOwnDelayLimit = std::chrono::milliseconds(100);
/// Late work is not counted for this time after such a gap, or after a pause of the proxy.
constexpr Duration kUncountedAfterDelay = std::chrono::seconds(1);

} // namespace

SoakRun::SoakRun(std::string aProgram, std::uint32_t aSeed, std::chrono::seconds aLength)
  : seed(aSeed)
  , length(aLength)
  , random(aSeed)
  , servers(this->violations)
  , fleet(std::move(aProgram),
          this->servers.PromotionAddress(),
          static_cast<std::uint32_t>(kDrainTime.count()),
          this->violations)
{
  std::vector<std::string> controls;
  for (std::size_t index = 0; index < ProcessFleet::kControls; ++index) {
    controls.push_back(this->fleet.ControlPlaneAddress(index));
  }
  this->servers.SetControlAddresses(std::move(controls));
  this->servers.onWorkAtDrainingServer = [this](const std::string& aId, Duration aSinceDrain) {
    this->CheckWorkAtDrainingServer(aId, aSinceDrain);
  };
  QObject::connect(&this->delayTimer, &QTimer::timeout, [this] { this->CheckOwnDelay(); });
  this->delayTimer.setTimerType(Qt::PreciseTimer);
  this->delayTimer.start(kDelayCheckInterval);
}

bool SoakRun::Run()
{
  this->fleet.StartAll();
  this->servers.Add();
  this->servers.Add();
  this->servers.Configure();
  this->StartCallers();
  const auto haveAllWritten = [this] {
    return std::ranges::all_of(this->callers,
                               [](const auto& aEach) { return aEach->LastWriteAt() != Instant{}; });
  };
  if (!this->WaitUntil(haveAllWritten, kStartLimit)) {
    this->violations.Add("not every caller was served within 15 s of the start");
  }
  const Instant end = MonotonicNow() + this->length;
  while (MonotonicNow() < end) {
    const Instant next = MonotonicNow() + this->DrawTime(300, 1000);
    this->WaitUntil([next] { return MonotonicNow() >= next; }, std::chrono::seconds(2));
    this->InjectFault();
  }
  this->CheckRecovery();
  for (const auto& caller : this->callers) {
    caller->CheckRunsOnce();
    caller->Stop();
  }
  this->fleet.BeginStop();
  this->WaitUntil([this] { return this->fleet.HaveAllEnded(); }, kStopLimit);
  for (const std::string& line : this->violations.Lines()) {
    std::printf("seed %u: %s\n", this->seed, line.c_str());
  }
  if (!this->violations.Lines().empty()) {
    this->fleet.KeepLogs();
    std::printf("seed %u: logs in %s\n", this->seed, this->fleet.LogFolder().c_str());
  }
  return this->violations.Lines().empty();
}

std::string SoakRun::Summary() const
{
  OperationTotals totals;
  for (const auto& caller : this->callers) {
    totals.succeeded += caller->Totals().succeeded;
    totals.refused += caller->Totals().refused;
    totals.uncertain += caller->Totals().uncertain;
  }
  return "seed=" + std::to_string(this->seed) + " succeeded=" + std::to_string(totals.succeeded) +
         " refused=" + std::to_string(totals.refused) +
         " uncertain=" + std::to_string(totals.uncertain) +
         " faults=" + std::to_string(this->faults) + " drains=" + std::to_string(this->drains) +
         " of_last_server=" + std::to_string(this->drainsOfLastServer) +
         " work_while_draining=" + std::to_string(this->worksWhileDraining) +
         " late_not_counted=" + std::to_string(this->lateNotCounted) +
         " broken=" + std::to_string(this->violations.Lines().size());
}

bool SoakRun::WaitUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Instant limit = MonotonicNow() + aLimit;
  while (!aCondition()) {
    if (MonotonicNow() >= limit) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents);
  }
  return true;
}

void SoakRun::StartCallers()
{
  std::vector<std::string> proxies;
  for (std::size_t index = 0; index < ProcessFleet::kProxies; ++index) {
    proxies.push_back(this->fleet.CallersAddress(index));
  }
  for (std::size_t number = 0; number < kCallersPerProxy * ProcessFleet::kProxies; ++number) {
    this->callers.push_back(std::make_unique<CallerLoad>(number,
                                                         proxies,
                                                         this->servers.group,
                                                         static_cast<std::uint32_t>(this->random()),
                                                         this->violations));
  }
}

void SoakRun::InjectFault()
{
  ++this->faults;
  const std::vector<std::size_t> usable = this->servers.UsableIndexes();
  const int kind = this->Draw(10);
  if (kind < 4 && !usable.empty()) {
    ++this->drains;
    this->drainsOfLastServer += usable.size() == 1 ? 1 : 0;
    this->servers.Drain(
      usable[static_cast<std::size_t>(this->Draw(static_cast<int>(usable.size())))],
      kDrainTime + this->DrawTime(100, 2500));
    return;
  }
  if (kind < 6 && this->servers.LiveCount() < kMostServers) {
    this->servers.Add();
    return;
  }
  this->DisturbProcess();
}

void SoakRun::DisturbProcess()
{
  const std::size_t index =
    static_cast<std::size_t>(this->Draw(static_cast<int>(this->fleet.Count())));
  // One control instance and one proxy at a time: the fleet promises to bear that.
  for (std::size_t other = 0; other < this->fleet.Count(); ++other) {
    if (ProcessFleet::IsControl(other) == ProcessFleet::IsControl(index) &&
        this->fleet.IsDisturbed(other)) {
      return;
    }
  }
  switch (this->Draw(3)) {
    case 0:
      this->fleet.Kill(index, this->DrawTime(50, 1500));
      return;
    case 1:
      this->fleet.Terminate(index, this->DrawTime(50, 500));
      return;
    default:
      this->fleet.Pause(index, this->DrawTime(100, 2500));
  }
}

void SoakRun::CheckRecovery()
{
  this->WaitUntil(
    [this] {
      for (std::size_t index = 0; index < this->fleet.Count(); ++index) {
        if (this->fleet.IsDisturbed(index)) {
          return false;
        }
      }
      return true;
    },
    kRecoveryLimit);
  if (this->servers.UsableCount() == 0) {
    this->servers.Add();
  }
  const Instant calmSince = MonotonicNow();
  const auto haveAllWritten = [this, calmSince] {
    return std::ranges::all_of(
      this->callers, [calmSince](const auto& aEach) { return aEach->LastWriteAt() > calmSince; });
  };
  if (!this->WaitUntil(haveAllWritten, kRecoveryLimit)) {
    this->violations.Add("not every caller was served within 15 s of the last fault");
  }
}

void SoakRun::CheckWorkAtDrainingServer(const std::string& aId, Duration aSinceDrain)
{
  ++this->worksWhileDraining;
  if (aSinceDrain <= kDrainTime) {
    return;
  }
  const Instant now = MonotonicNow();
  const Instant disturbedUntil = this->fleet.DisturbedUntil(CallerLoad::ProxyOf(aId));
  const bool wasPaused =
    disturbedUntil == Instant::max() || now - disturbedUntil < kUncountedAfterDelay;
  if (wasPaused || now - this->lastDelayAt < kUncountedAfterDelay) {
    ++this->lateNotCounted;
    return;
  }
  this->violations.Add(
    aId + " reached a server " +
    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aSinceDrain).count()) +
    " ms after its drain was acknowledged, more than " + std::to_string(kDrainTime.count()));
}

void SoakRun::CheckOwnDelay()
{
  const Instant now = MonotonicNow();
  if (this->delayCheckedAt != Instant{} && now - this->delayCheckedAt > kOwnDelayLimit) {
    this->lastDelayAt = now;
  }
  this->delayCheckedAt = now;
}

std::chrono::milliseconds SoakRun::DrawTime(int aShortestMs, int aLongestMs)
{
  return std::chrono::milliseconds(aShortestMs + this->Draw(aLongestMs - aShortestMs));
}

} // namespace oleanderledge::soak
