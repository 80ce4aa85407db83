#include "tests/scheduling/FloodScenario.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace oleanderledge;
using namespace oleanderledge::flood;

namespace {

void Print(const std::string& aName, const FloodSimulation& aSimulation)
{
  std::cout << aName;
  for (const std::string workClass : { "bookings", "lookups", "reprints" }) {
    const auto during = aSimulation.Sum(workClass + "/shop", kFloodStartSecond, kFloodEndSecond);
    std::cout << "  " << workClass << "/shop=" << during.InTargetShare();
  }
  const auto total = aSimulation.Sum("", kFloodStartSecond, kFloodEndSecond);
  std::cout << "  goodput="
            << total.inTargetServiceSeconds / (kFloodEndSecond - kFloodStartSecond) /
                 FloodSimulation::kConnections
            << "  longest queue=" << aSimulation.longestQueue << '\n';
}

void CheckRecovery(const FloodSimulation& aSimulation)
{
  // All classes must be in target again 2 s after the flood.
  for (const std::string workClass : { "bookings", "lookups", "reprints" }) {
    const auto after = aSimulation.Sum(workClass, kFloodEndSecond + 2, kLoadEndSecond);
    CHECK(after.InTargetShare() >= 0.99);
  }
}

} // namespace

// A flood of the least urgent class must not affect the others: 99 % of their units stay in target,
// and the total goodput is at least 95 % of the capacity.
TEST_CASE(
  "During a flood of the least urgent class the other classes keep their targets and goodput")
{
  const std::uint64_t seed = GENERATE(1, 2, 3);
  DeadlineScheduler scheduler;
  const auto simulation = Simulate(scheduler, WithFlood("reprints", 8'000), seed);
  Print("least urgent flood, deadline:", simulation);
  for (const std::string workClass : { "bookings", "lookups" }) {
    const auto during = simulation.Sum(workClass, kFloodStartSecond, kFloodEndSecond);
    // A unit that misses its target counts neither as in target nor as goodput.
    CHECK(during.InTargetShare() >= 0.99);
  }
  const auto total = simulation.Sum("", kFloodStartSecond, kFloodEndSecond);
  CHECK(total.inTargetServiceSeconds / (kFloodEndSecond - kFloodStartSecond) /
          FloodSimulation::kConnections >=
        0.95);
  CheckRecovery(simulation);
}

// A flood of the most urgent class must leave the others their normal demand: 99 % of their units
// stay in target, each keeps at least 10 % of the capacity, and the total goodput is at least 95 %.
TEST_CASE("During a flood of the most urgent class the other classes keep their normal demand")
{
  const std::uint64_t seed = GENERATE(1, 2, 3);
  DeadlineScheduler scheduler;
  const auto simulation = Simulate(scheduler, WithFlood("bookings", 4'000), seed);
  Print("most urgent flood, deadline:", simulation);
  for (const std::string workClass : { "lookups", "reprints" }) {
    const auto during = simulation.Sum(workClass, kFloodStartSecond, kFloodEndSecond);
    CHECK(during.InTargetShare() >= 0.99);
    // The guaranteed minimum of 10 % of the capacity, which is below the normal demand.
    CHECK(during.inTargetServiceSeconds / (kFloodEndSecond - kFloodStartSecond) /
            FloodSimulation::kConnections >=
          0.10);
  }
  const auto total = simulation.Sum("", kFloodStartSecond, kFloodEndSecond);
  CHECK(total.inTargetServiceSeconds / (kFloodEndSecond - kFloodStartSecond) /
          FloodSimulation::kConnections >=
        0.95);
  CheckRecovery(simulation);
}

// Guards the guaranteed minimum share after a start, when no demand is known yet.
TEST_CASE("A flood from the first second leaves each other class a tenth of the capacity")
{
  auto streams = NormalStreams();
  streams.push_back(StreamOf("bookings", "flooder", kFloodFactor, 4'000));
  DeadlineScheduler scheduler;
  const auto simulation = Simulate(scheduler, streams, 1);
  for (const std::string workClass : { "lookups", "reprints" }) {
    const auto during = simulation.Sum(workClass, 1, 15);
    CHECK(during.inTargetServiceSeconds / 14 / FloodSimulation::kConnections >= 0.10);
  }
}

// Guards the demand estimate: a long flood must not raise the guaranteed share of its class.
TEST_CASE("A flood does not raise the guaranteed share of its class")
{
  DeadlineScheduler scheduler;
  FloodSimulation simulation(scheduler, ThreeClasses(), 1);
  simulation.Run(WithFlood("reprints", 8'000), (kFloodStartSecond - 1) * kSecond);
  const double before = scheduler.GuaranteedShare("reprints");
  DeadlineScheduler flooded;
  FloodSimulation later(flooded, ThreeClasses(), 1);
  later.Run(WithFlood("reprints", 8'000), kFloodEndSecond * kSecond);
  CHECK(flooded.GuaranteedShare("reprints") <= before * 1.15);
  CHECK(flooded.GuaranteedShare("bookings") >= 0.2);
}

// Guards fairness within a class: the flood of one caller must not displace other callers.
TEST_CASE("A caller with normal demand keeps its service while another floods the same class")
{
  const std::string workClass = GENERATE("bookings", "lookups", "reprints");
  DeadlineScheduler scheduler;
  const auto simulation = Simulate(scheduler, WithFlood(workClass, 4'000), 1);
  const auto during = simulation.Sum(workClass + "/shop", kFloodStartSecond + 1, kFloodEndSecond);
  INFO(workClass);
  CHECK(during.InTargetShare() >= 0.90);
}

// Shows that the load of the scenarios is high enough: schedulers without guaranteed shares and
// early refusal miss the targets.
TEST_CASE("The baselines miss the targets that the deadline scheduler meets")
{
  FifoScheduler fifo;
  const auto leastFifo = Simulate(fifo, WithFlood("reprints", 8'000), 1);
  Print("least urgent flood, fifo:", leastFifo);
  CHECK(leastFifo.Sum("bookings", kFloodStartSecond, kFloodEndSecond).InTargetShare() < 0.99);
  FifoScheduler secondFifo;
  const auto mostFifo = Simulate(secondFifo, WithFlood("bookings", 4'000), 1);
  Print("most urgent flood, fifo:", mostFifo);
  CHECK(mostFifo.Sum("lookups", kFloodStartSecond, kFloodEndSecond).InTargetShare() < 0.99);
  PriorityScheduler priority;
  const auto leastPriority = Simulate(priority, WithFlood("reprints", 8'000), 1);
  Print("least urgent flood, strict priority:", leastPriority);
  PriorityScheduler secondPriority;
  const auto mostPriority = Simulate(secondPriority, WithFlood("bookings", 4'000), 1);
  Print("most urgent flood, strict priority:", mostPriority);
  CHECK(mostPriority.Sum("lookups", kFloodStartSecond, kFloodEndSecond).InTargetShare() < 0.10);
}
