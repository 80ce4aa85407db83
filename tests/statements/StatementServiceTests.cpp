#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

TEST_CASE("A session reads its own write from a replica that has received it", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "glaze");
  REQUIRE(caller.startUpAnswer == "READY I -\r\n");
  CHECK(caller.Send("QUERY w1 WRITE a second") == "COMPLETE signature-i-primary\r\nREADY I -\r\n");
  CHECK(caller.Send("QUERY r1 READ a") ==
        "DATAROW second\r\nCOMPLETE signature-i-near\r\nREADY I -\r\n");
  CHECK(fixture.RanOn("r1") == "i-near");
}

// Guards against stale reads: a replica that lacks the session's write must not serve it.
TEST_CASE("A read skips a lagging replica", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "glaze");
  caller.Send("QUERY w1 WRITE a second");
  fixture.near.behind = 1;
  caller.Send("QUERY r1 READ a");
  CHECK(fixture.RanOn("r1") != "i-near");
  fixture.far.behind = 1;
  CHECK(caller.Send("QUERY r2 READ a") ==
        "DATAROW second\r\nCOMPLETE signature-i-primary\r\nREADY I -\r\n");
}

// Guards against an overloaded primary beside idle replicas: after one rejected read of a session
// that had just written, reads that accept older data went to the primary too.
TEST_CASE("A read that accepts older data uses a replica that lacks the newest commit",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller writer(fixture.address, "orders");
  writer.Send("QUERY w1 WRITE a second");
  Caller reader(fixture.address, "glaze");
  reader.Send("QUERY w2 WRITE a third");
  fixture.near.behind = 1;
  fixture.far.behind = 1;
  reader.Send("QUERY r1 READ a");
  CHECK(fixture.RanOn("r1") == "i-primary");
  Caller browser(fixture.address, "catalogue");
  browser.Send("QUERY r2 READ a");
  CHECK(fixture.RanOn("r2") == "i-near");
}

// Guards against stale reads from a primary that was replaced while this proxy did not learn of it.
TEST_CASE("A replaced primary serves no reads of a primary route", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY r1 READ a");
  CHECK(fixture.RanOn("r1") == "i-primary");
  fixture.group.primary = "i-near";
  // The new primary is found although the control plane has not named it.
  CHECK(caller.Send("QUERY r2 READ a").starts_with("DATAROW "));
  CHECK(fixture.RanOn("r2") == "i-near");
  fixture.group.primary = "nobody";
  CHECK(caller.Send("QUERY r3 READ a").starts_with("ERROR "));
  CHECK(fixture.RanOn("r3") == "nowhere");
}

// Guards against proxies that serve nothing after a promotion while they are cut off from the
// control plane.
TEST_CASE("A write reaches the new primary without the control plane and is executed once",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY w1 WRITE a second");
  fixture.group.primary = "i-far";
  ++fixture.group.term;
  CHECK(caller.Send("QUERY w2 WRITE a third").starts_with("COMPLETE signature-i-far"));
  CHECK(fixture.RunsOf("w2") == 1);
  CHECK(caller.Send("QUERY b1 BEGIN").ends_with("READY T -\r\n"));
  CHECK(caller.Send("QUERY r1 READ a").starts_with("DATAROW third"));
}

TEST_CASE("A transaction runs on one connection and its BEGIN is confirmed at once", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  CHECK(caller.Send("QUERY b1 BEGIN") == "COMPLETE -\r\nREADY T -\r\n");
  CHECK(caller.Send("QUERY w1 WRITE a third").ends_with("READY T -\r\n"));
  CHECK(fixture.group.items["a"] == "first");
  CHECK(caller.Send("QUERY c1 COMMIT") == "COMPLETE signature-i-primary\r\nREADY I -\r\n");
  CHECK(fixture.group.items["a"] == "third");
}

TEST_CASE("A lost connection aborts an open transaction, which has no effect", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a third");
  fixture.primary.Crash();
  const std::string answer = caller.Send("QUERY w2 WRITE a fourth");
  CHECK(answer.starts_with("ERROR ABORTED "));
  CHECK(answer.ends_with("READY E -\r\n"));
  CHECK(caller.Send("QUERY x ROLLBACK") == "COMPLETE -\r\nREADY I -\r\n");
  CHECK(fixture.group.items["a"] == "first");
}

// Guards against a crash: the session used a connection that was lost while its transaction was
// idle.
TEST_CASE("The next statement of an idle transaction fails if its connection was lost",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY r1 READ a");
  fixture.primary.Crash();
  RunUntil([&fixture] { return fixture.primary.ConnectionCount() == 0; });
  for (int round = 0; round < 20; ++round) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  CHECK(caller.Send("QUERY r2 READ a").starts_with("ERROR ABORTED "));
}

// Guards against duplicate orders: a write whose answer was lost must not be sent again.
TEST_CASE("The outcome of a write is unknown if its answer is lost, and it is not sent again",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  fixture.primary.losesNextAnswer = true;
  CHECK(caller.Send("QUERY w1 WRITE a second").starts_with("ERROR UNKNOWN "));
  CHECK(fixture.RunsOf("w1") == 1);
  CHECK(fixture.group.items["a"] == "second");
}

TEST_CASE("Settings and prepared statements follow their session across connections",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller first(fixture.address, "orders");
  Caller second(fixture.address, "orders");
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

TEST_CASE("A read is retried well before its time limit if a replica does not respond",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "glaze");
  caller.Send("QUERY w1 WRITE a second");
  caller.Send("QUERY r1 READ a");
  REQUIRE(fixture.RanOn("r1") == "i-near");
  fixture.near.silent = true;
  CHECK(caller.Send("QUERY r2 READ a").starts_with("DATAROW second\r\n"));
}

TEST_CASE("A proxy holds no more connections than it was granted", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  fixture.service->ApplyConnectionGrants({ { "i-primary", 2 } });
  Caller first(fixture.address, "orders");
  Caller second(fixture.address, "orders");
  Caller third(fixture.address, "orders");
  first.Send("QUERY b1 BEGIN");
  second.Send("QUERY b2 BEGIN");
  first.Send("QUERY r1 READ a");
  second.Send("QUERY r2 READ a");
  CHECK(third.Send("QUERY r3 READ a").starts_with("ERROR OVERLOAD "));
  CHECK(fixture.primary.MostConnections() == 2);
}

// Guards against proxies that all start after a power loss and each open half of the connections
// that a server accepts: the server rejected most of them, and opening them took its slots.
TEST_CASE("A proxy opens few connections until it knows how many proxies there are", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture(0);
  Caller first(fixture.address, "orders");
  Caller second(fixture.address, "orders");
  first.Send("QUERY b1 BEGIN");
  first.Send("QUERY r1 READ a");
  second.Send("QUERY b2 BEGIN");
  CHECK(second.Send("QUERY r2 READ a").starts_with("ERROR OVERLOAD "));
  CHECK(fixture.primary.MostConnections() == 1);
  fixture.service->SetProxyCount(2);
  Caller third(fixture.address, "orders");
  CHECK(third.Send("QUERY r3 READ a").starts_with("DATAROW "));
  CHECK(fixture.primary.MostConnections() == 2);
}

TEST_CASE("Outcomes and latencies are counted by priority", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY r1 READ a");
  caller.Send("QUERY r2 READ a");
  fixture.group.primary = "nobody";
  caller.Send("QUERY r3 READ a");
  const StatementCounters counters = fixture.service->Counters();
  const PriorityTotals& totals = counters.byPriority.at(0);
  CHECK(totals.outcomes.at("ok") == 2);
  CHECK(totals.outcomes.size() == 2);
  CHECK(totals.latency.Count() == 2);
}

TEST_CASE("An unknown database is refused and the session closed", "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  const Caller caller(fixture.address, "elsewhere");
  CHECK(caller.startUpAnswer.starts_with("ERROR NODB "));
}

TEST_CASE("A graceful stop lets an open transaction end and then closes its session",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a third");
  fixture.service->BeginStop();
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("COMPLETE signature-i-primary"));
  CHECK(RunUntil([&fixture] { return fixture.service->IsIdle(); }));
  CHECK(fixture.group.items["a"] == "third");
}

// Guards against callers that use up their retries on a proxy that has just started.
TEST_CASE("A caller that connects before the first configuration is served once it arrives",
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
  CHECK(caller.startUpAnswer == "READY I -\r\n");
}

// Guards against a setting that a rollback reverted at the server, but that the proxy assumes to be
// in force.
TEST_CASE("A connection is reset after a caller leaves a transaction that changed a setting",
          "[statements]")
{
  const Application application;
  ServiceWithReplicas fixture;
  fixture.service->ApplyConnectionGrants({ { "i-primary", 1 } });
  {
    Caller leaving(fixture.address, "orders");
    leaving.Send("QUERY b1 BEGIN");
    leaving.Send("QUERY r1 READ a");
    leaving.Send("QUERY s1 SET colour red");
    leaving.Send("QUERY r2 READ a");
  }
  Caller next(fixture.address, "orders");
  next.Send("QUERY s2 SET colour red");
  CHECK(next.Send("QUERY r3 READ a").starts_with("DATAROW first colour=red"));
  CHECK(fixture.RunsOf("DISCARD") == 1);
}
