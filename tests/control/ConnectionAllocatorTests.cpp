#include "oleanderledge/control/ConnectionAllocator.hpp"

#include "oleanderledge/control/ControlCommand.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// A leader with one backend server that accepts ten connections, and twelve proxies in two zones.
class LeaderOfManyProxies
{
public:
  LeaderOfManyProxies()
    : shares(this->state, {})
  {
    RouteConfiguration configuration;
    configuration.number = 1;
    configuration.services = { { "ledger", 10, 0, 0, false } };
    this->state.Apply(1, EncodeCommand(StoreRouteConfiguration{ configuration }));
    BackendRow backend;
    backend.name = "i-1";
    backend.service = "ledger";
    backend.startedUnixMs = 1;
    backend.sequence = 1;
    this->state.Apply(2, EncodeCommand(UpdateBackend{ backend }));
    this->shares.OnLeadershipGained(this->now);
    for (int number = 0; number < 12; ++number) {
      InstanceInfo proxy;
      proxy.id = "proxy-" + std::to_string(number);
      proxy.zone = number < 6 ? "east/a" : "west/b";
      proxy.linkAddress = "address-" + std::to_string(number);
      this->proxies.push_back(proxy);
    }
    this->Step(1s);
  }

  /// Lets time pass with a report of each live proxy every heartbeat.
  void Step(Duration aTime)
  {
    for (const Instant end = this->now + aTime; this->now < end;) {
      this->now += 200ms;
      for (const InstanceInfo& proxy : this->proxies) {
        if (this->silent.contains(proxy.id)) {
          continue;
        }
        this->shares.OnBackendReports(proxy, { { "i-1", 0, 10, 0 } }, this->now);
        for (const ConnectionGrant& grant : this->shares.TakeChangedGrants(proxy.id, this->now)) {
          this->grants[proxy.id] = grant;
        }
      }
      this->shares.OnTick(this->now);
    }
  }

  /// Connections granted to all live proxies, with those that the server still counts.
  std::uint32_t Total() const
  {
    std::uint32_t total = 0;
    for (const auto& [id, grant] : this->grants) {
      total += grant.connections;
    }
    return total;
  }

  /// Ids of the live proxies of a zone that hold connections.
  std::set<std::string> RelaysOf(const std::string& aZone) const
  {
    std::set<std::string> relays;
    for (const InstanceInfo& proxy : this->proxies) {
      const auto found = this->grants.find(proxy.id);
      if (proxy.zone == aZone && !this->silent.contains(proxy.id) && found != this->grants.end() &&
          found->second.connections > 0) {
        relays.insert(proxy.id);
      }
    }
    return relays;
  }

  ControlState state;
  ConnectionAllocator shares;
  Instant now{ 100s };
  std::vector<InstanceInfo> proxies;
  std::set<std::string> silent;
  std::map<std::string, ConnectionGrant> grants;
};

} // namespace

TEST_CASE("With fewer connections than proxies each zone has relays and the others use them",
          "[shares]")
{
  const LeaderOfManyProxies leader;
  CHECK(leader.Total() == 10);
  CHECK(leader.RelaysOf("east/a").size() == 2);
  CHECK(leader.RelaysOf("west/b").size() == 2);
  for (const auto& [id, grant] : leader.grants) {
    CHECK((grant.connections > 0) == grant.relays.empty());
    CHECK((grant.relays.empty() || grant.relays.size() == 2));
  }
}

// Guards against a zone that waits 3 s for a lost relay, and against more connections than the
// server accepts while it still counts those of the lost one.
TEST_CASE("The part of a lost relay is taken over after a second, within the limit", "[shares]")
{
  LeaderOfManyProxies leader;
  const std::string lost = *leader.RelaysOf("east/a").begin();
  const std::uint32_t before = leader.grants[*leader.RelaysOf("east/a").rbegin()].connections;
  leader.silent.insert(lost);
  leader.Step(1600ms);
  const std::set<std::string> relays = leader.RelaysOf("east/a");
  REQUIRE(relays.size() == 1);
  CHECK(leader.grants[*relays.begin()].connections > before);
  CHECK(leader.Total() <= 10);
  leader.grants.erase(lost);
  leader.Step(2s);
  CHECK(leader.Total() == 10);
  CHECK(leader.RelaysOf("east/a").size() == 2);
}

TEST_CASE("A proxy that leaves is no relay any more", "[shares]")
{
  LeaderOfManyProxies leader;
  const std::string leaving = *leader.RelaysOf("west/b").begin();
  std::ranges::find(leader.proxies, leaving, &InstanceInfo::id)->leaving = true;
  leader.Step(600ms);
  CHECK_FALSE(leader.RelaysOf("west/b").contains(leaving));
  CHECK(leader.RelaysOf("west/b").size() == 2);
  CHECK(leader.Total() == 10);
}

TEST_CASE("With many connections each proxy opens its own", "[shares]")
{
  LeaderOfManyProxies leader;
  leader.proxies.resize(4);
  leader.grants.clear();
  leader.Step(4s);
  CHECK(leader.grants.size() == 4);
  CHECK(std::ranges::all_of(leader.grants, [](const auto& aEach) {
    return aEach.second.relays.empty() && aEach.second.connections >= 2;
  }));
}
