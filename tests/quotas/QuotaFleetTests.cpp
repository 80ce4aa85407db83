#include "tests/quotas/QuotaFleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requirement Q1: operations of an organisation in any 5 s.
double LimitInWindow(double aPerSecond, std::uint32_t aBurst)
{
  return (aPerSecond * 5 + aBurst) * 1.1 + 20;
}

std::size_t CountAfter(const std::vector<Instant>& aTimes, Instant aStart)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aTimes, [aStart](Instant aTime) { return aTime >= aStart; }));
}

} // namespace

// Requirement Q1 under leader changes, suspended proxies, lost and late messages, with limits from
// one operation in 2 s to 300/s, and bursts below and above the number of proxies.
TEST_CASE("No window of 5 s has more operations than the limit allows", "[quota_limit]")
{
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 random(seed);
    QuotaFleet fleet(seed % 3 == 0 ? 82 : 5 + random() % 30, seed);
    const double perSecond = std::array{ 0.5, 4.0, 30.0, 300.0 }[random() % 4];
    const auto burst =
      static_cast<std::uint32_t>(random() % 3 == 0 ? random() % 8 : perSecond * 2 + 10);
    fleet.SetLimit("miny", perSecond, burst);
    fleet.SetLoad("miny", perSecond * 7.5 + 10);
    fleet.SetFaults(seed % 2 == 0 ? 0.02 : 0);
    for (int round = 0; round < 12; ++round) {
      fleet.Run(milliseconds(500 + random() % 4000));
      switch (random() % 4) {
        case 0:
          fleet.RemoveLeader();
          fleet.Run(milliseconds(random() % 2000));
          fleet.ElectLeader();
          break;
        case 1:
          fleet.ElectLeader();
          break;
        case 2:
          fleet.Suspend(0, milliseconds(random() % 7000));
          fleet.Suspend(1, milliseconds(random() % 400));
          break;
        default:
          // The organisation is silent, so that its buckets fill.
          fleet.SetLoad("miny", 0);
          fleet.Run(seconds(6));
          fleet.SetLoad("miny", perSecond * 7.5 + 10);
      }
    }
    INFO("seed " << seed << " rate " << perSecond << " burst " << burst);
    CHECK(static_cast<double>(fleet.MostInWindow("miny")) <= LimitInWindow(perSecond, burst));
    CHECK_FALSE(fleet.HistoryOf("miny").runs.empty());
  }
}

TEST_CASE("A lowered limit binds the windows after it", "[quota_limit]")
{
  QuotaFleet fleet(20, 1);
  fleet.SetLimit("miny", 100, 200);
  fleet.SetLoad("miny", 400);
  fleet.Run(seconds(20));
  fleet.SetLimit("miny", 5, 10);
  fleet.Run(seconds(5));
  const Instant binding = fleet.Now();
  fleet.Run(seconds(5));
  CHECK(static_cast<double>(CountAfter(fleet.HistoryOf("miny").runs, binding)) <=
        LimitInWindow(5, 10));
}

// Guards against a change of a limit that gives an organisation tokens of both limits.
TEST_CASE("Limits that change often are kept", "[quota_limit]")
{
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    QuotaFleet fleet(20, seed);
    fleet.SetFaults(0.02);
    fleet.SetLoad("miny", 400);
    for (int round = 0; round < 20; ++round) {
      const bool isHigh = random() % 2 == 0;
      fleet.SetLimit("miny", isHigh ? 60 : 2, isHigh ? 90 : 4);
      fleet.Run(milliseconds(200 + random() % 3000));
      if (random() % 5 == 0) {
        fleet.ElectLeader();
      }
    }
    INFO("seed " << seed);
    CHECK(static_cast<double>(fleet.MostInWindow("miny")) <= LimitInWindow(60, 90));
    // Binding 5 s after 4 s of contact.
    fleet.SetLimit("miny", 2, 4);
    fleet.Run(seconds(9));
    const Instant binding = fleet.Now();
    fleet.Run(seconds(5));
    CHECK(static_cast<double>(CountAfter(fleet.HistoryOf("miny").runs, binding)) <=
          LimitInWindow(2, 4));
  }
}

// Requirement Q2: most organisations send 1/1.6 of their limit.
TEST_CASE("An organisation below its limit has nothing refused", "[quota_use]")
{
  QuotaFleet fleet(82, 3);
  fleet.SetLimit("large", 160, 320);
  fleet.SetLimit("middle", 16, 32);
  fleet.SetLimit("small", 3.2, 20);
  fleet.Run(seconds(20));
  fleet.SetLoad("large", 100);
  fleet.SetLoad("middle", 10);
  fleet.SetLoad("small", 2);
  fleet.Run(seconds(60));
  for (const char* organisation : { "large", "middle", "small" }) {
    INFO(organisation);
    CHECK(fleet.HistoryOf(organisation).refusals.empty());
    CHECK(fleet.HistoryOf(organisation).runs.size() > 80);
  }
}

// Requirement Q2: a flood may use the whole limit of its organisation, and nothing of the others'.
TEST_CASE("A flood uses its own limit and leaves the others alone", "[quota_use]")
{
  QuotaFleet fleet(40, 4);
  for (const char* organisation : { "flood", "other" }) {
    fleet.SetLimit(organisation, 32, 48);
  }
  // The first leader starts with nearly empty buckets.
  fleet.Run(seconds(10));
  fleet.SetLoad("flood", 20);
  fleet.SetLoad("other", 20);
  fleet.Run(seconds(40));
  const std::size_t before = fleet.HistoryOf("other").runs.size();
  fleet.SetLoad("flood", 150);
  const Instant start = fleet.Now();
  fleet.Run(seconds(40));
  CHECK(fleet.HistoryOf("other").refusals.empty());
  const std::size_t during = fleet.HistoryOf("other").runs.size() - before;
  CHECK(during > 0.8 * 20 * 40);
  // Nine tenths of the limit, as some tokens are given to operations that are gone.
  CHECK(CountAfter(fleet.HistoryOf("flood").runs, start) > 0.9 * 32 * 40);
  CHECK(static_cast<double>(fleet.MostInWindow("flood")) <= LimitInWindow(32, 48));
}

// Requirement Q2 while there is no leader: the reserves of the standing shares last for 1 s.
TEST_CASE("Without a leader for 1 s an organisation below its limit has nothing refused",
          "[quota_use]")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(12, seed);
    fleet.SetLimit("large", 160, 480);
    fleet.Run(seconds(10));
    fleet.SetLoad("large", 100);
    fleet.Run(seconds(60));
    const std::size_t before = fleet.HistoryOf("large").runs.size();
    fleet.RemoveLeader();
    fleet.Run(seconds(1));
    INFO("seed " << seed);
    CHECK(fleet.HistoryOf("large").refusals.empty());
    CHECK(fleet.HistoryOf("large").runs.size() - before > 60);
    fleet.ElectLeader();
    fleet.Run(seconds(10));
    CHECK(fleet.HistoryOf("large").refusals.empty());
    CHECK(static_cast<double>(fleet.MostInWindow("large")) <= LimitInWindow(160, 480));
  }
}

// Guards against a proxy that is cut off from control and goes on for good.
TEST_CASE("Without a leader for long all operations are refused", "[quota_limit]")
{
  QuotaFleet fleet(12, 1);
  fleet.SetLimit("large", 160, 480);
  fleet.SetLoad("large", 100);
  fleet.Run(seconds(30));
  fleet.RemoveLeader();
  fleet.Run(seconds(5));
  const Instant start = fleet.Now();
  fleet.Run(seconds(5));
  CHECK(CountAfter(fleet.HistoryOf("large").runs, start) == 0);
  CHECK(CountAfter(fleet.HistoryOf("large").refusals, start) > 400);
}
