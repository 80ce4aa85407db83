/// Simulates a flood of the least urgent class (low) and one of the most urgent class (high) in
/// virtual time, with the deadline scheduler and with two baselines, FIFO and strict priority.
/// Prints the goodput that the normal callers retain and the recovery time.
#include "tests/scheduling/FloodScenario.hpp"

#include <algorithm>
#include <cstdio>

using namespace oleanderledge;
using namespace oleanderledge::flood;

namespace {

constexpr std::uint64_t kSeed = 1;

void PrintLine(const std::string& aName,
               const std::string& aPolicy,
               double aValue,
               const char* aUnit)
{
  std::printf("%s%s\t%.2f\t%s\n", aName.c_str(), aPolicy.c_str(), aValue, aUnit);
}

/// Percentage of the normal caller's requests of a class that are served in target during the
/// flood.
double InTargetPercent(const FloodSimulation& aSimulation, const std::string& aClass)
{
  return 100.0 *
         aSimulation.Sum(aClass + "/shop", kFloodStartSecond, kFloodEndSecond).InTargetShare();
}

/// Service time of requests served in target during the flood, in percent of the capacity.
double GoodputPercent(const FloodSimulation& aSimulation)
{
  const auto total = aSimulation.Sum("", kFloodStartSecond, kFloodEndSecond);
  return 100.0 * total.inTargetServiceSeconds / (kFloodEndSecond - kFloodStartSecond) /
         FloodSimulation::kConnections;
}

/// Goodput of the two more urgent classes during the flood relative to an equal time before it.
double RetainedGoodputPercent(const FloodSimulation& aSimulation)
{
  double before = 0;
  double during = 0;
  for (const char* workClass : { "bookings/shop", "lookups/shop" }) {
    before += aSimulation.Sum(workClass, kFloodStartSecond - 15, kFloodStartSecond).inTarget;
    during += aSimulation.Sum(workClass, kFloodStartSecond, kFloodEndSecond).inTarget;
  }
  return 100.0 * during / before;
}

/// Time after the flood until every class is 99 % in target for a second, in milliseconds. If that
/// does not happen, the time from the end of the flood to the end of the load.
double RecoveryMs(const FloodSimulation& aSimulation)
{
  for (int second = kFloodEndSecond; second < kLoadEndSecond; ++second) {
    const bool recovered = std::ranges::all_of(
      std::vector<std::string>{ "bookings", "lookups", "reprints" },
      [&](const std::string& aClass) {
        return aSimulation.Sum(aClass + "/shop", second, second + 1).InTargetShare() >= 0.99;
      });
    if (recovered) {
      return 1000.0 * (second - kFloodEndSecond);
    }
  }
  return 1000.0 * (kLoadEndSecond - kFloodEndSecond);
}

template<class Policy>
void Run(const std::string& aSuffix)
{
  Policy lowScheduler;
  const auto low = Simulate(lowScheduler, WithFlood("reprints", 8'000), kSeed);
  PrintLine("flood_low_rank1_in_target", aSuffix, InTargetPercent(low, "bookings"), "%");
  PrintLine("flood_low_rank2_in_target", aSuffix, InTargetPercent(low, "lookups"), "%");
  PrintLine("flood_low_goodput_kept", aSuffix, RetainedGoodputPercent(low), "%");
  Policy highScheduler;
  const auto high = Simulate(highScheduler, WithFlood("bookings", 4'000), kSeed);
  PrintLine("flood_high_rank2_kept", aSuffix, InTargetPercent(high, "lookups"), "%");
  PrintLine("flood_high_rank3_kept", aSuffix, InTargetPercent(high, "reprints"), "%");
  PrintLine("flood_high_total_goodput", aSuffix, GoodputPercent(high), "%");
  PrintLine("flood_recovery", aSuffix, std::max(RecoveryMs(low), RecoveryMs(high)), "ms");
}

} // namespace

int main()
{
  Run<DeadlineScheduler>("");
  Run<FifoScheduler>("_fifo");
  Run<PriorityScheduler>("_strict");
  return 0;
}
