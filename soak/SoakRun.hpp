#pragma once

#include "soak/CallerLoad.hpp"
#include "soak/ProcessFleet.hpp"
#include "soak/RegisteredServers.hpp"
#include "soak/ViolationLog.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderledge::soak {

/// One run with the faults of one seed: servers drain, end and start, and processes are killed,
/// stopped, paused and started again, while callers work.
class SoakRun
{
public:
  SoakRun(std::string aProgram, std::uint32_t aSeed, std::chrono::seconds aLength);

  /// Runs to the end. Returns false if a promise was broken.
  bool Run();
  /// One line of totals.
  std::string Summary() const;

private:
  /// Runs the event loop until the condition holds. Returns false after `aLimit`.
  bool WaitUntil(const std::function<bool()>& aCondition, Duration aLimit);
  void StartCallers();
  void InjectFault();
  void DisturbProcess();
  void CheckRecovery();
  void CheckWorkAtDrainingServer(const std::string& aId, Duration aSinceDrain);
  /// Notices when this process itself was not scheduled, since its times are then too late.
  void CheckOwnDelay();
  int Draw(int aLimit) { return std::uniform_int_distribution<int>(0, aLimit - 1)(this->random); }
  std::chrono::milliseconds DrawTime(int aShortestMs, int aLongestMs);

  std::uint32_t seed;
  std::chrono::seconds length;
  std::mt19937 random;
  ViolationLog violations;
  RegisteredServers servers;
  ProcessFleet fleet;
  std::vector<std::unique_ptr<CallerLoad>> callers;
  QTimer delayTimer;
  Instant delayCheckedAt{};
  Instant lastDelayAt{};
  std::uint64_t drains = 0;
  std::uint64_t drainsOfLastServer = 0;
  std::uint64_t faults = 0;
  std::uint64_t worksWhileDraining = 0;
  std::uint64_t lateNotCounted = 0; ///< Late work beside a pause of the proxy or of this process.
};

} // namespace oleanderledge::soak
