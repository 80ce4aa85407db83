#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

// Guards against first statements of transactions that reach a server after its drain time.
TEST_CASE("The first statement of a transaction moves from a drained replica to another server",
          "[drain]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "glaze");
  caller.Send("QUERY w1 WRITE a second");
  caller.Send("QUERY b1 BEGIN READ");
  REQUIRE(RunUntil([&fixture] { return fixture.RanOn("BEGIN") == "i-near"; }));
  fixture.EndDrainOf("i-near");
  CHECK(caller.Send("QUERY r1 READ a").starts_with("DATAROW second\r\n"));
  CHECK(fixture.RanOn("r1") != "i-near");
  CHECK(caller.Send("QUERY c1 COMMIT").ends_with("READY I -\r\n"));
}

TEST_CASE("The first statement of a transaction is refused if the only possible server has drained",
          "[drain]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  REQUIRE(RunUntil([&fixture] { return fixture.RanOn("BEGIN") == "i-primary"; }));
  fixture.EndDrainOf("i-primary");
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("ERROR UNAVAIL "));
  CHECK(fixture.RunsOf("w1") == 0);
}

// Guards against transactions that are cut although their server still serves them.
TEST_CASE("A transaction that has run a statement ends on its drained server", "[drain]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a second");
  fixture.EndDrainOf("i-primary");
  CHECK(caller.Send("QUERY c1 COMMIT") == "COMPLETE signature-i-primary\r\nREADY I -\r\n");
}

// Guards against statements that wait for a connection although no server may be given work.
TEST_CASE("A statement is refused without waiting if all servers of its service have drained",
          "[drain]")
{
  const Application application;
  ServiceWithReplicas fixture;
  // The wait for a connection would outlast the test.
  for (RouteRow& route : fixture.update.routes) {
    route.targetLatencyMs = 3'600'000;
    route.statementTimeoutMs = 3'600'000;
    route.version = 2;
  }
  for (const char* name : { "i-primary", "i-near", "i-far" }) {
    fixture.EndDrainOf(name);
  }
  Caller orders(fixture.address, "orders");
  CHECK(orders.Send("QUERY w1 WRITE a second").starts_with("ERROR UNAVAIL "));
  Caller glaze(fixture.address, "glaze");
  CHECK(glaze.Send("QUERY r1 READ a").starts_with("ERROR UNAVAIL "));
}
