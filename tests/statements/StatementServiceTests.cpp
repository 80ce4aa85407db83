#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

TEST_CASE("A session reads its own write from a replica that has it", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "glaze");
  REQUIRE(caller.started == "READY I -\r\n");
  CHECK(caller.Send("QUERY w1 WRITE a second") == "COMPLETE signature-i-primary\r\nREADY I -\r\n");
  CHECK(caller.Send("QUERY r1 READ a") ==
        "DATAROW second\r\nCOMPLETE signature-i-near\r\nREADY I -\r\n");
  CHECK(fleet.RanOn("r1") == "i-near");
}

// Guards against stale reads: a replica that lacks the session's write must not serve it.
TEST_CASE("A replica that lags is passed over", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "glaze");
  caller.Send("QUERY w1 WRITE a second");
  fleet.near.behind = 1;
  caller.Send("QUERY r1 READ a");
  CHECK(fleet.RanOn("r1") != "i-near");
  fleet.far.behind = 1;
  CHECK(caller.Send("QUERY r2 READ a") ==
        "DATAROW second\r\nCOMPLETE signature-i-primary\r\nREADY I -\r\n");
}

// Guards against a read on a primary that was replaced without this proxy knowing.
TEST_CASE("A primary that lost the lead serves no read of a primary route", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  caller.Send("QUERY r1 READ a");
  CHECK(fleet.RanOn("r1") == "i-primary");
  fleet.group.primary = "i-near";
  // The replica that leads now is found although control has not named it.
  CHECK(caller.Send("QUERY r2 READ a").starts_with("DATAROW "));
  CHECK(fleet.RanOn("r2") == "i-near");
  fleet.group.primary = "nobody";
  CHECK(caller.Send("QUERY r3 READ a").starts_with("ERROR "));
  CHECK(fleet.RanOn("r3") == "nowhere");
}

// Guards against proxies out of contact with control that serve nothing after a promotion.
TEST_CASE("A write finds the new primary without control and runs once", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  caller.Send("QUERY w1 WRITE a second");
  fleet.group.primary = "i-far";
  ++fleet.group.term;
  CHECK(caller.Send("QUERY w2 WRITE a third").starts_with("COMPLETE signature-i-far"));
  CHECK(fleet.RunsOf("w2") == 1);
  CHECK(caller.Send("QUERY b1 BEGIN").ends_with("READY T -\r\n"));
  CHECK(caller.Send("QUERY r1 READ a").starts_with("DATAROW third"));
}

TEST_CASE("A transaction runs on one connection and its begin is confirmed at once", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  CHECK(caller.Send("QUERY b1 BEGIN") == "COMPLETE -\r\nREADY T -\r\n");
  CHECK(caller.Send("QUERY w1 WRITE a third").ends_with("READY T -\r\n"));
  CHECK(fleet.group.items["a"] == "first");
  CHECK(caller.Send("QUERY c1 COMMIT") == "COMPLETE signature-i-primary\r\nREADY I -\r\n");
  CHECK(fleet.group.items["a"] == "third");
}

TEST_CASE("A lost connection ends an open transaction with a true promise", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a third");
  fleet.primary.Crash();
  const std::string answer = caller.Send("QUERY w2 WRITE a fourth");
  CHECK(answer.starts_with("ERROR ABORTED "));
  CHECK(answer.ends_with("READY E -\r\n"));
  CHECK(caller.Send("QUERY x ROLLBACK") == "COMPLETE -\r\nREADY I -\r\n");
  CHECK(fleet.group.items["a"] == "first");
}

// Guards against the use of a connection that was lost while its transaction rested, which ended
// the process.
TEST_CASE("A connection lost while a transaction rests fails its next statement", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY r1 READ a");
  fleet.primary.Crash();
  RunUntil([&fleet] { return fleet.primary.ConnectionCount() == 0; });
  for (int round = 0; round < 20; ++round) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  CHECK(caller.Send("QUERY r2 READ a").starts_with("ERROR ABORTED "));
}

// Guards against a doubled order: a write whose answer was lost must not be sent again.
TEST_CASE("A write whose answer is lost is unknown and runs once", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  fleet.primary.losesNextAnswer = true;
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("ERROR UNKNOWN "));
  CHECK(fleet.RunsOf("w1") == 1);
  CHECK(fleet.group.items["a"] == "second");
}

TEST_CASE("Settings and prepared statements follow their session across connections",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller first(fleet.address, "orders");
  Caller second(fleet.address, "orders");
  first.Send("QUERY s1 SET colour red");
  second.Send("QUERY s2 SET size big");
  first.Send("QUERY p1 PREPARE s READ q1");
  second.Send("QUERY p2 PREPARE s WRITE q2");
  for (int round = 0; round < 3; ++round) {
    CHECK(first.Send("QUERY r1 EXECUTE s a").starts_with("DATAROW first colour=red\r\n"));
    CHECK(second.Send("QUERY r2 READ a").starts_with("DATAROW first size=big\r\n"));
  }
  CHECK(second.Send("QUERY w1 EXECUTE s a second").starts_with("COMPLETE signature-i-primary"));
  CHECK(first.Send("QUERY r3 EXECUTE other a").starts_with("ERROR NOSTMT "));
}

TEST_CASE("A read leaves a silent replica well before its time limit", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "glaze");
  caller.Send("QUERY w1 WRITE a second");
  caller.Send("QUERY r1 READ a");
  REQUIRE(fleet.RanOn("r1") == "i-near");
  fleet.near.silent = true;
  CHECK(caller.Send("QUERY r2 READ a").starts_with("DATAROW second\r\n"));
}

TEST_CASE("A proxy holds no more connections than it was granted", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  fleet.service->ApplyConnectionGrants({ { "i-primary", 2 } });
  Caller first(fleet.address, "orders");
  Caller second(fleet.address, "orders");
  Caller third(fleet.address, "orders");
  first.Send("QUERY b1 BEGIN");
  second.Send("QUERY b2 BEGIN");
  first.Send("QUERY r1 READ a");
  second.Send("QUERY r2 READ a");
  CHECK(third.Send("QUERY r3 READ a").starts_with("ERROR OVERLOAD "));
  CHECK(fleet.primary.MostConnections() == 2);
}

TEST_CASE("Outcomes and latencies are counted by priority", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  caller.Send("QUERY r1 READ a");
  caller.Send("QUERY r2 READ a");
  fleet.group.primary = "nobody";
  caller.Send("QUERY r3 READ a");
  const StatementCounters counters = fleet.service->Counters();
  const PriorityTotals& totals = counters.byPriority.at(0);
  CHECK(totals.outcomes.at("ok") == 2);
  CHECK(totals.outcomes.size() == 2);
  CHECK(totals.latency.Count() == 2);
}

TEST_CASE("An unknown database is refused and the session closed", "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  const Caller caller(fleet.address, "elsewhere");
  CHECK(caller.started.starts_with("ERROR NODB "));
}

TEST_CASE("A graceful stop lets an open transaction end and then closes its session",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  Caller caller(fleet.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a third");
  fleet.service->BeginStop();
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("COMPLETE signature-i-primary"));
  CHECK(RunUntil([&fleet] { return fleet.service->IsIdle(); }));
  CHECK(fleet.group.items["a"] == "third");
}

// Guards against callers who spend their retries on a proxy that has just started.
TEST_CASE("A caller that comes before the first configuration is served when it arrives",
          "[statements]")
{
  const Application application;
  StatementServiceSettings settings;
  settings.callersAddress = FreeAddress();
  settings.self.zone = "east/near-zone";
  settings.self.linkAddress = FreeAddress();
  auto created = CreateStatementService(std::make_unique<platform::WireProtocol>(), settings);
  REQUIRE(created);
  StatementService& service = *created.value();
  QTimer::singleShot(200, [&service] {
    DirectoryUpdate update;
    update.version = 1;
    update.configurationNumber = 1;
    RouteRow row;
    row.name = "orders";
    row.database = "orders";
    row.service = "ledger";
    row.version = 1;
    update.routes = { row };
    auto directory = std::make_shared<Directory>();
    directory->Apply(update);
    service.ApplyDirectory(directory);
  });
  const Caller caller(settings.callersAddress, "orders");
  CHECK(caller.started == "READY I -\r\n");
}

// Guards against a setting that the rollback undid at the server and the proxy believes in force.
TEST_CASE("A connection is cleared after a caller left a transaction that made a setting",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fleet;
  fleet.service->ApplyConnectionGrants({ { "i-primary", 1 } });
  {
    Caller leaving(fleet.address, "orders");
    leaving.Send("QUERY b1 BEGIN");
    leaving.Send("QUERY r1 READ a");
    leaving.Send("QUERY s1 SET colour red");
    leaving.Send("QUERY r2 READ a");
  }
  Caller next(fleet.address, "orders");
  next.Send("QUERY s2 SET colour red");
  CHECK(next.Send("QUERY r3 READ a").starts_with("DATAROW first colour=red"));
  CHECK(fleet.RunsOf("DISCARD") == 1);
}
