#include "oleanderledge/control/RelayAssignment.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>

using namespace oleanderledge;

namespace {

/// Proxies named "z0-0", "z0-1", ... of six zones in three regions.
class ZonedProxies
{
public:
  explicit ZonedProxies(std::size_t aPerZone)
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

  std::uint32_t TotalConnections(const RelayPlan& aPlan) const
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
  const ZonedProxies proxies(13);
  const RelayPlan plan = AssignRelays("i-1", 46, proxies.Candidates(), {});
  CHECK(proxies.TotalConnections(plan) == 46);
  for (const auto& [name, zone] : plan.zones) {
    CHECK(zone.relays.size() == 2);
    CHECK(plan.RelaysFor(name) == zone.relays);
  }
}

// Guards against an assignment that changes in all zones at once and so opens many new connections.
TEST_CASE("The loss of a relay changes only the relays of its zone", "[relays]")
{
  const ZonedProxies proxies(13);
  const RelayPlan before = AssignRelays("i-1", 46, proxies.Candidates(), {});
  const std::string lost = before.zones.at("region-1/z3").relays[0];
  const RelayPlan after = AssignRelays("i-1", 46, proxies.Candidates(lost), before);
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

TEST_CASE("A zone whose demand exceeds its connections gets more", "[relays]")
{
  ZonedProxies proxies(2);
  const RelayPlan before = AssignRelays("i-1", 18, proxies.Candidates(), {});
  auto candidates = proxies.Candidates();
  candidates[0].demand = 9;
  const RelayPlan after = AssignRelays("i-1", 18, candidates, before);
  CHECK(after.zones.at("region-0/z0").connections >= 8);
  CHECK(proxies.TotalConnections(after) == 18);
}

TEST_CASE("A zone without connections uses relays of its own region first", "[relays]")
{
  ZonedProxies proxies(2);
  auto candidates = proxies.Candidates();
  // Zones 1, 2 and 4 have the highest demand.
  for (const std::size_t index : { 2U, 4U, 8U }) {
    candidates[index].demand = 5;
  }
  const RelayPlan plan = AssignRelays("i-1", 3, candidates, {});
  CHECK(plan.RelaysFor("region-0/z0") == plan.zones.at("region-0/z1").relays);
  CHECK(plan.RelaysFor("region-1/z3") == plan.zones.at("region-1/z2").relays);
}

TEST_CASE("Relays are spread over the proxies of a zone", "[relays]")
{
  const ZonedProxies proxies(12);
  std::map<std::string, std::uint32_t, std::less<>> relayedBackends;
  for (int backend = 0; backend < 24; ++backend) {
    auto candidates = proxies.Candidates();
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

TEST_CASE("The limit is never exceeded and each zone has a relay to use", "[relays]")
{
  rc::prop("any limit, demand and loss", [] {
    ZonedProxies proxies(*rc::gen::inRange<std::size_t>(1, 6));
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 60);
    RelayPlan plan;
    for (int step = 0; step < 4; ++step) {
      proxies.demand = *rc::gen::inRange<std::uint32_t>(0, 6);
      const auto without =
        *rc::gen::elementOf(std::vector<std::string>{ "", proxies.ids[0], proxies.ids.back() });
      plan = AssignRelays("i-1", limit, proxies.Candidates(without), plan);
      RC_ASSERT(proxies.TotalConnections(plan) <= limit);
      for (const std::string& zone : proxies.zones) {
        const auto& relays = plan.RelaysFor(zone);
        RC_ASSERT(!relays.empty());
        RC_ASSERT(std::ranges::find(relays, without) == relays.end() || without.empty());
      }
    }
  });
}
