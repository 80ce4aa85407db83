#include "tests/statements/BusyCaller.hpp"
#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

// Guards against statements that a stopping proxy accepts until its time is over and then cuts: a
// session was closed only if it happened to be idle at one of the checks.
TEST_CASE("A stopping proxy answers a caller that never pauses and then refuses and closes it",
          "[stop]")
{
  const Application application;
  ServiceWithReplicas fixture(1, ShortStop());
  BusyCaller caller(fixture.address, "orders");
  REQUIRE(RunUntil([&caller] { return caller.answers.size() > 20; }));
  fixture.service->BeginStop();
  CHECK(RunUntil([&caller, &fixture] { return caller.IsClosed() && fixture.service->IsIdle(); }));
  REQUIRE(caller.IsClosed());
  CHECK(std::ranges::any_of(caller.answers,
                            [](const auto& aEach) { return aEach.second == "ERROR UNAVAIL"; }));
  for (int number = 1; number <= caller.sent; ++number) {
    const std::string id = "n" + std::to_string(number);
    INFO(id);
    const auto answer = caller.answers.find(id);
    const bool isSuccess = answer != caller.answers.end() && answer->second == "COMPLETE";
    // What was executed was answered as such, and what was not answered was not executed.
    CHECK(fixture.RunsOf(id) == (isSuccess ? 1 : 0));
  }
}

// Guards against an abort that needs a check at which no statement of the transaction runs.
TEST_CASE("A stopping proxy aborts a transaction whose caller never pauses", "[stop]")
{
  const Application application;
  ServiceWithReplicas fixture(1, ShortStop());
  BusyCaller caller(fixture.address, "orders", "BEGIN");
  REQUIRE(RunUntil([&caller] { return caller.answers.size() > 20; }));
  fixture.service->BeginStop();
  CHECK(RunUntil([&caller, &fixture] { return caller.IsClosed() && fixture.service->IsIdle(); }));
  CHECK(std::ranges::any_of(caller.answers,
                            [](const auto& aEach) { return aEach.second == "ERROR ABORTED"; }));
  CHECK(fixture.group.items["a"] == "first");
}

// Guards against a stop that closes the connection of a caller whose statement still runs.
TEST_CASE("A stopping proxy answers a statement whose server stays silent before it ends", "[stop]")
{
  const Application application;
  ServiceWithReplicas fixture(1, ShortStop());
  for (RouteRow& route : fixture.update.routes) {
    route.statementTimeoutMs = 3'600'000;
    route.version = 2;
  }
  ++fixture.version;
  fixture.Publish();
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY w1 WRITE a second");
  fixture.primary.silent = true;
  fixture.service->BeginStop();
  CHECK(caller.Send("QUERY w2 WRITE a third").starts_with("ERROR UNKNOWN the proxy is stopping"));
  CHECK(RunUntil([&fixture] { return fixture.service->IsIdle(); }));
}
