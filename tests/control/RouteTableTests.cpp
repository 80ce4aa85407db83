#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/link/link.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

RouteRow Route(const std::string& aDatabase, std::uint32_t aTimeoutMs)
{
  RouteRow row;
  row.name = aDatabase;
  row.database = aDatabase;
  row.statementTimeoutMs = aTimeoutMs;
  row.service = "ledger";
  return row;
}

StoreRouteConfiguration Configuration(std::uint64_t aNumber, std::vector<RouteRow> aRoutes)
{
  RouteConfiguration configuration;
  configuration.number = aNumber;
  configuration.routes = std::move(aRoutes);
  configuration.document = "document " + std::to_string(aNumber);
  return { std::move(configuration) };
}

OrganisationRow Organisation(const std::string& aName)
{
  OrganisationRow row;
  row.name = aName;
  row.keyDigests = { "digest of " + aName };
  row.rate = { true, 10'000, 20 };
  return row;
}

BackendRow Registration(const std::string& aName,
                        const std::string& aAddress,
                        std::int64_t aStarted,
                        std::uint64_t aSequence)
{
  BackendRow row;
  row.name = aName;
  row.service = "ledger";
  row.address = aAddress;
  row.startedUnixMs = aStarted;
  row.sequence = aSequence;
  return row;
}

/// A control state to which commands are applied at increasing log indexes.
class LogFixture
{
public:
  void Commit(const ControlCommand& aCommand)
  {
    this->state.Apply(++this->index, EncodeCommand(aCommand));
  }

  ControlState state;
  std::uint64_t index = 0;
};

} // namespace

TEST_CASE("Only a configuration with a higher number replaces the current one", "[routes]")
{
  LogFixture log;
  log.Commit(Configuration(7, { Route("a", 800) }));
  log.Commit(Configuration(5, { Route("b", 800) }));
  log.Commit(Configuration(7, { Route("c", 800) }));
  CHECK(log.state.Routes().Number() == 7);
  CHECK(log.state.Routes().Document() == "document 7");
  CHECK(log.state.Routes().Routes().size() == 1);
}

// Guards against the traffic of sending all routes to all proxies after each change of one route.
TEST_CASE("Proxies receive only the routes that changed", "[routes]")
{
  LogFixture log;
  log.Commit(Configuration(1, { Route("a", 800), Route("b", 800) }));
  const std::uint64_t before = log.state.DirectoryVersion();
  log.Commit(Configuration(2, { Route("a", 900), Route("b", 800), Route("c", 800) }));
  const DirectoryUpdate update = log.state.ChangesSince(before);
  REQUIRE(update.routes.size() == 2);
  CHECK(update.routes[0].name == "a");
  CHECK(update.routes[1].name == "c");
  CHECK(update.configurationNumber == 2);
}

TEST_CASE("A directory follows changes and removals of routes", "[routes]")
{
  LogFixture log;
  Directory directory;
  log.Commit(Configuration(1, { Route("a", 800), Route("b", 800) }));
  REQUIRE(directory.Apply(log.state.ChangesSince(0)));
  log.Commit(Configuration(2, { Route("b", 900) }));
  REQUIRE(directory.Apply(log.state.ChangesSince(directory.Version())));
  CHECK(directory.FindRoute("a") == nullptr);
  REQUIRE(directory.FindRoute("b") != nullptr);
  CHECK(directory.FindRoute("b")->statementTimeoutMs == 900);
}

TEST_CASE("A snapshot keeps routes, servers and primaries", "[routes]")
{
  LogFixture log;
  log.Commit(Configuration(3, { Route("a", 800) }));
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.1:1", 5, 1) });
  log.Commit(AdoptServicePrimary{ "ledger", 0, "i-1" });
  ControlState restored;
  REQUIRE(restored.Restore(log.index, log.state.Serialize()));
  CHECK(restored.Routes().Document() == "document 3");
  CHECK(restored.Backends().FindPrimary("ledger")->backend == "i-1");
  CHECK(restored.Serialize() == log.state.Serialize());
}

TEST_CASE("Registrations of an earlier start or sequence number change nothing", "[routes]")
{
  LogFixture log;
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.1:1", 5, 3) });
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.2:1", 5, 2) });
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.3:1", 4, 9) });
  CHECK(log.state.Backends().Find("i-1")->address == "10.0.0.1:1");
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.4:1", 6, 1) });
  CHECK(log.state.Backends().Find("i-1")->address == "10.0.0.4:1");
}

// Guards against a delayed registration that restores a server which has deregistered, and against
// a server that stays recorded although a later one has started at its address.
TEST_CASE("A server that left or lost its address does not return in the same start", "[routes]")
{
  LogFixture log;
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.1:1", 5, 3) });
  log.Commit(RemoveBackend{ "i-1", 5 });
  log.Commit(UpdateBackend{ Registration("i-1", "10.0.0.1:1", 5, 4) });
  CHECK(log.state.Backends().Find("i-1") == nullptr);
  log.Commit(UpdateBackend{ Registration("i-2", "10.0.0.9:1", 7, 1) });
  log.Commit(UpdateBackend{ Registration("i-3", "10.0.0.9:1", 8, 1) });
  CHECK(log.state.Backends().Find("i-2") == nullptr);
  CHECK(log.state.Backends().Find("i-3") != nullptr);
}

// Guards against a state that grows with the history: deleted rows are part of each snapshot and of
// what a new proxy receives.
TEST_CASE("A route that was replaced many times leaves a state of about the same size",
          "[state_size]")
{
  LogFixture log;
  log.Commit(Configuration(1, { Route("database-1000", 100) }));
  const std::size_t first = log.state.Serialize().size();
  for (std::uint64_t number = 2; number <= 1000; ++number) {
    log.Commit(Configuration(number, { Route("database-" + std::to_string(999 + number), 100) }));
  }
  CHECK(log.state.Serialize().size() < 10 * first);
  CHECK(log.state.ChangesSince(0).routes.size() < 10);
}

// As above, for organisations and their keys, which come and go more often than routes.
TEST_CASE("Organisations that were replaced many times leave a state of about the same size",
          "[state_size]")
{
  LogFixture log;
  const auto store = [&log](std::uint64_t aNumber) {
    StoreRouteConfiguration command = Configuration(aNumber, {});
    command.configuration.usesOrganisations = true;
    command.configuration.organisations.push_back(
      Organisation("organisation-" + std::to_string(aNumber % 1000 + 1000)));
    log.Commit(command);
  };
  store(1);
  const std::size_t first = log.state.Serialize().size();
  for (std::uint64_t number = 2; number <= 1000; ++number) {
    store(number);
  }
  CHECK(log.state.Serialize().size() < 10 * first);
  CHECK(log.state.ChangesSince(0).organisations.size() == 1);
}

// Guards against a proxy that keeps a withdrawn route or organisation because the deletion is not
// among the rows that the control state still has.
TEST_CASE("A proxy that was away for many deletions has the same directory as a new one",
          "[routes]")
{
  LogFixture log;
  StoreRouteConfiguration first = Configuration(1, { Route("withdrawn", 100) });
  first.configuration.usesOrganisations = true;
  first.configuration.organisations = { Organisation("departed") };
  log.Commit(first);
  log.Commit(UpdateBackend{ Registration("i-0", "10.0.0.1:1", 5, 1) });
  Directory away;
  REQUIRE(away.Apply(log.state.ChangesSince(0)));
  REQUIRE(away.FindRoute("withdrawn") != nullptr);
  log.Commit(RemoveBackend{ "i-0", 5 });
  for (std::uint64_t number = 2; number <= 100; ++number) {
    log.Commit(Configuration(number, { Route("database-" + std::to_string(number), 100) }));
    const std::string backend = "i-" + std::to_string(number);
    log.Commit(UpdateBackend{ Registration(backend, "10.0.0.2:1", 5, number) });
    log.Commit(RemoveBackend{ backend, 5 });
  }
  const DirectoryUpdate update = log.state.ChangesSince(away.Version());
  CHECK(update.isComplete);
  REQUIRE(away.Apply(update));
  CHECK(away.FindRoute("withdrawn") == nullptr);
  CHECK(away.FindRoute("database-100") != nullptr);
  CHECK(away.FindOrganisation("departed") == nullptr);
  CHECK(away.FindOrganisationOfKey(Organisation("departed").keyDigests[0]) == nullptr);
  CHECK_FALSE(away.UsesOrganisations());
  CHECK(away.Backends().empty());
}

// Guards against a proxy that is sent the whole directory on each change: its link is slow.
TEST_CASE("A proxy that is one version behind gets the changed rows only", "[routes]")
{
  LogFixture log;
  StoreRouteConfiguration configuration = Configuration(1, { Route("fiti", 100) });
  configuration.configuration.usesOrganisations = true;
  for (int number = 0; number < 83; ++number) {
    configuration.configuration.organisations.push_back(
      Organisation("organisation-" + std::to_string(number)));
  }
  log.Commit(configuration);
  const std::uint64_t before = log.state.DirectoryVersion();
  configuration.configuration.number = 2;
  configuration.configuration.organisations[7].keyDigests.push_back("another digest");
  configuration.configuration.organisations.erase(
    configuration.configuration.organisations.begin());
  log.Commit(configuration);
  const DirectoryUpdate update = log.state.ChangesSince(before);
  CHECK_FALSE(update.isComplete);
  REQUIRE(update.organisations.size() == 2);
  CHECK(update.organisations[0].deleted);
  CHECK(update.organisations[1].keyDigests.size() == 2);
  CHECK(update.routes.empty());
}

TEST_CASE("Organisations survive a snapshot", "[routes]")
{
  LogFixture log;
  StoreRouteConfiguration configuration = Configuration(1, {});
  configuration.configuration.usesOrganisations = true;
  configuration.configuration.organisations = { Organisation("miny") };
  log.Commit(configuration);
  ControlState restored;
  REQUIRE(restored.Restore(log.index, log.state.Serialize()));
  CHECK(restored.Routes().UsesOrganisations());
  CHECK(restored.Routes().Organisations().at("miny").rate.burst == 20);
  CHECK(restored.Serialize() == log.state.Serialize());
}
