#include "oleanderledge/control/RelayAssignment.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>

using namespace oleanderledge;

namespace {

/// Proxies named "z0-0", "z0-1", ... of six zones in three regions.
class Fleet
{
public:
  explicit Fleet(std::size_t aPerZone)
  {
    for (std::size_t zone = 0; zone < 6; ++zone) {
      const std::string region = "region-" + std::to_string(zone / 2);
      for (std::size_t proxy = 0; proxy < aPerZone; ++proxy) {
        this->ids.push_back("z" + std::to_string(zone) + "-" + std::to_string(proxy));
        this->zones.push_back(region + "/z" + std::to_string(zone));
      }
    }
  }

  std::vector<RelayCandidate> Candidates(const std::string& aWithout = {}) const
  {
    std::vector<RelayCandidate> candidates;
    for (std::size_t index = 0; index < this->ids.size(); ++index) {
      if (this->ids[index] != aWithout) {
        candidates.push_back({ this->ids[index], this->zones[index], this->demand, 0 });
      }
    }
    return candidates;
  }

  std::uint32_t Total(const RelayPlan& aPlan) const
  {
    std::uint32_t total = 0;
    for (std::size_t index = 0; index < this->ids.size(); ++index) {
      total += aPlan.ConnectionsOf(this->ids[index], this->zones[index]);
    }
    return total;
  }

  std::vector<std::string> ids;
  std::vector<std::string> zones;
  std::uint32_t demand = 0;
};

} // namespace

TEST_CASE("Each zone gets two relays of its own, and all connections are used", "[relays]")
{
  const Fleet fleet(13);
  const RelayPlan plan = AssignRelays("i-1", 46, fleet.Candidates(), {});
  CHECK(fleet.Total(plan) == 46);
  for (const auto& [name, zone] : plan.zones) {
    CHECK(zone.relays.size() == 2);
    CHECK(plan.RelaysFor(name) == zone.relays);
  }
}

// Guards against a division that changes at each step and costs new connections.
TEST_CASE("The loss of a relay moves only its own part", "[relays]")
{
  const Fleet fleet(13);
  const RelayPlan before = AssignRelays("i-1", 46, fleet.Candidates(), {});
  const std::string lost = before.zones.at("region-1/z3").relays[0];
  const RelayPlan after = AssignRelays("i-1", 46, fleet.Candidates(lost), before);
  for (const auto& [name, zone] : before.zones) {
    if (name != "region-1/z3") {
      CHECK(after.zones.at(name).relays == zone.relays);
    }
    CHECK(after.zones.at(name).connections == zone.connections);
  }
  const auto& relays = after.zones.at("region-1/z3").relays;
  CHECK(relays[0] == before.zones.at("region-1/z3").relays[1]);
  CHECK(std::ranges::find(relays, lost) == relays.end());
}

TEST_CASE("A zone whose demand grows beyond its part gets more", "[relays]")
{
  Fleet fleet(2);
  const RelayPlan before = AssignRelays("i-1", 18, fleet.Candidates(), {});
  auto candidates = fleet.Candidates();
  candidates[0].demand = 9;
  const RelayPlan after = AssignRelays("i-1", 18, candidates, before);
  CHECK(after.zones.at("region-0/z0").connections >= 8);
  CHECK(fleet.Total(after) == 18);
}

TEST_CASE("A zone without connections uses relays of its own region first", "[relays]")
{
  Fleet fleet(2);
  auto candidates = fleet.Candidates();
  // Zones 1, 2 and 4 ask for most.
  for (const std::size_t index : { 2U, 4U, 8U }) {
    candidates[index].demand = 5;
  }
  const RelayPlan plan = AssignRelays("i-1", 3, candidates, {});
  CHECK(plan.RelaysFor("region-0/z0") == plan.zones.at("region-0/z1").relays);
  CHECK(plan.RelaysFor("region-1/z3") == plan.zones.at("region-1/z2").relays);
}

TEST_CASE("Relays are spread over the proxies of a zone", "[relays]")
{
  const Fleet fleet(12);
  std::map<std::string, std::uint32_t, std::less<>> relayedBackends;
  for (int backend = 0; backend < 24; ++backend) {
    auto candidates = fleet.Candidates();
    for (RelayCandidate& candidate : candidates) {
      candidate.relayedBackends = relayedBackends[std::string(candidate.id)];
    }
    const RelayPlan plan = AssignRelays("i-" + std::to_string(backend), 46, candidates, {});
    for (const auto& [name, zone] : plan.zones) {
      for (const std::string& relay : zone.relays) {
        ++relayedBackends[relay];
      }
    }
  }
  CHECK(std::ranges::max_element(relayedBackends, {}, [](const auto& aEach) {
          return aEach.second;
        })->second == 4);
}

TEST_CASE("The limit is never exceeded and everybody finds a relay", "[relays]")
{
  rc::prop("any limit, demand and loss", [] {
    Fleet fleet(*rc::gen::inRange<std::size_t>(1, 6));
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 60);
    RelayPlan plan;
    for (int step = 0; step < 4; ++step) {
      fleet.demand = *rc::gen::inRange<std::uint32_t>(0, 6);
      const auto without =
        *rc::gen::elementOf(std::vector<std::string>{ "", fleet.ids[0], fleet.ids.back() });
      plan = AssignRelays("i-1", limit, fleet.Candidates(without), plan);
      RC_ASSERT(fleet.Total(plan) <= limit);
      for (const std::string& zone : fleet.zones) {
        const auto& relays = plan.RelaysFor(zone);
        RC_ASSERT(!relays.empty());
        RC_ASSERT(std::ranges::find(relays, without) == relays.end() || without.empty());
      }
    }
  });
}
