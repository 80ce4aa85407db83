#include "oleanderledge/control/ConnectionAllocator.hpp"

#include "oleanderledge/control/ControlCommand.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// An allocator with one backend server that accepts ten connections, and twelve proxies in two
/// zones.
class AllocatorFixture
{
public:
  AllocatorFixture()
    : allocator(this->state, {})
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
    this->allocator.OnLeadershipGained(this->now);
    for (int number = 0; number < 12; ++number) {
      InstanceInfo proxy;
      proxy.id = "proxy-" + std::to_string(number);
      proxy.zone = number < 6 ? "east/a" : "west/b";
      proxy.linkAddress = "address-" + std::to_string(number);
      this->proxies.push_back(proxy);
    }
    this->RunFor(1s);
  }

  /// Advances the time. Each live proxy reports once per heartbeat interval.
  void RunFor(Duration aTime)
  {
    for (const Instant end = this->now + aTime; this->now < end;) {
      this->now += 200ms;
      for (const InstanceInfo& proxy : this->proxies) {
        if (this->silent.contains(proxy.id)) {
          continue;
        }
        this->allocator.OnBackendReports(proxy, { { "i-1", 0, 10, 0 } }, this->now);
        for (const ConnectionGrant& grant :
             this->allocator.TakeChangedGrants(proxy.id, this->now)) {
          this->grants[proxy.id] = grant;
        }
      }
      this->allocator.OnTick(this->now);
    }
  }

  /// Connections granted to all proxies, including silent ones, which the server still counts.
  std::uint32_t TotalConnections() const
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
  ConnectionAllocator allocator;
  Instant now{ 100s };
  std::vector<InstanceInfo> proxies;
  std::set<std::string> silent; ///< Ids of the proxies that do not report.
  std::map<std::string, ConnectionGrant> grants;
};

} // namespace

TEST_CASE("With fewer connections than proxies each zone has relays and the others use them",
          "[connection-allocator]")
{
  const AllocatorFixture fixture;
  CHECK(fixture.TotalConnections() == 10);
  CHECK(fixture.RelaysOf("east/a").size() == 2);
  CHECK(fixture.RelaysOf("west/b").size() == 2);
  for (const auto& [id, grant] : fixture.grants) {
    CHECK((grant.connections > 0) == grant.relays.empty());
    CHECK((grant.relays.empty() || grant.relays.size() == 2));
  }
}

// Guards against a zone whose other relay gets no more connections until the allocator forgets the
// lost one after 3 s, and against more connections than the server accepts, because it still counts
// those of the lost relay.
TEST_CASE("The connections of a lost relay move after a second, within the limit",
          "[connection-allocator]")
{
  AllocatorFixture fixture;
  const std::string lost = *fixture.RelaysOf("east/a").begin();
  const std::uint32_t before = fixture.grants[*fixture.RelaysOf("east/a").rbegin()].connections;
  fixture.silent.insert(lost);
  fixture.RunFor(1600ms);
  const std::set<std::string> relays = fixture.RelaysOf("east/a");
  REQUIRE(relays.size() == 1);
  CHECK(fixture.grants[*relays.begin()].connections > before);
  CHECK(fixture.TotalConnections() <= 10);
  // The server closes the connections of the lost relay.
  fixture.grants.erase(lost);
  fixture.RunFor(2s);
  CHECK(fixture.TotalConnections() == 10);
  CHECK(fixture.RelaysOf("east/a").size() == 2);
}

TEST_CASE("A leaving proxy is not used as a relay", "[connection-allocator]")
{
  AllocatorFixture fixture;
  const std::string leaving = *fixture.RelaysOf("west/b").begin();
  std::ranges::find(fixture.proxies, leaving, &InstanceInfo::id)->leaving = true;
  fixture.RunFor(600ms);
  CHECK_FALSE(fixture.RelaysOf("west/b").contains(leaving));
  CHECK(fixture.RelaysOf("west/b").size() == 2);
  CHECK(fixture.TotalConnections() == 10);
}

TEST_CASE("With many connections each proxy opens its own", "[connection-allocator]")
{
  AllocatorFixture fixture;
  // The other proxies are forgotten after 3 s without a report, so that no relays are needed.
  fixture.proxies.resize(4);
  fixture.grants.clear();
  fixture.RunFor(4s);
  CHECK(fixture.grants.size() == 4);
  CHECK(std::ranges::all_of(fixture.grants, [](const auto& aEach) {
    return aEach.second.relays.empty() && aEach.second.connections >= 2;
  }));
}

// Guards against proxies that serve with a provisional share for 0.6 s after a power loss, while
// statements that waited for the power arrive.
TEST_CASE("A new leader allocates as soon as all registered proxies have reported",
          "[connection-allocator]")
{
  AllocatorFixture fixture;
  std::uint64_t index = 2;
  for (const InstanceInfo& proxy : fixture.proxies) {
    InstanceInfo registered = proxy;
    registered.role = InstanceRole::Proxy;
    fixture.state.Apply(++index, EncodeCommand(RegisterInstance{ registered }));
  }
  fixture.allocator.OnLeadershipGained(fixture.now);
  fixture.grants.clear();
  SECTION("all report")
  {
    fixture.RunFor(400ms);
    CHECK(fixture.TotalConnections() == 10);
  }
  SECTION("one is silent")
  {
    fixture.silent.insert("proxy-0");
    fixture.RunFor(400ms);
    CHECK(fixture.grants.empty());
    fixture.RunFor(600ms);
    CHECK(fixture.TotalConnections() == 10);
  }
}

// Guards against a demand that never ends: a server without demand is left out of the reports.
TEST_CASE("The demand for a server that is no longer reported decays", "[connections]")
{
  AllocatorFixture fixture;
  const auto report = [&fixture](const std::string& aProxy,
                                 const std::vector<BackendReport>& aReports) {
    const auto found = std::ranges::find(
      fixture.proxies, aProxy, [](const InstanceInfo& aEach) { return aEach.id; });
    fixture.allocator.OnBackendReports(*found, aReports, fixture.now);
  };
  fixture.proxies.resize(2);
  fixture.RunFor(4s);
  for (int heartbeat = 0; heartbeat < 30; ++heartbeat) {
    fixture.now += 200ms;
    report("proxy-0", {});
    report("proxy-1", { { "i-1", 0, 10, 9 } });
    fixture.allocator.OnTick(fixture.now);
  }
  const auto grants = fixture.allocator.TakeChangedGrants("proxy-1", fixture.now);
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].connections >= 9);
}
