#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

std::uint64_t ClosedVersion(ServiceWithReplicas& aFixture)
{
  for (const BackendReport& report : aFixture.service->TakeBackendReports(MonotonicNow())) {
    if (report.backend == "i-primary") {
      return report.closedVersion;
    }
  }
  return 0;
}

} // namespace

// Guards against commits that are acknowledged while the primary is being replaced, and that its
// successor lacks: open transactions went on to commit at the old primary.
TEST_CASE("A transaction that has written is aborted while its primary is being replaced",
          "[replaced_primary]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a second");
  fixture.ClosePrimary();
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("ERROR ABORTED "));
  CHECK(fixture.RunsOf("c1") == 0);
  CHECK(fixture.group.items["a"] == "first");
}

TEST_CASE("A transaction that has only read ends while its primary is being replaced",
          "[replaced_primary]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY r1 READ a");
  fixture.ClosePrimary();
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("COMPLETE "));
}

// Guards against a report that a proxy commits nothing more while a commit of it is in progress.
TEST_CASE("A proxy reports the end of its commits once the last one was answered",
          "[replaced_primary]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY w1 WRITE a second");
  CHECK(ClosedVersion(fixture) == 0);
  fixture.primary.silent = true;
  const std::string line = "QUERY w2 WRITE a third\r\n";
  caller.socket.write(line.data(), static_cast<qint64>(line.size()));
  std::size_t answered = fixture.service->Counters().answered;
  QElapsedTimer elapsed;
  elapsed.start();
  RunUntil([&elapsed] { return elapsed.elapsed() > 100; });
  fixture.ClosePrimary();
  CHECK(ClosedVersion(fixture) == 0);
  // The statement times out after 2 s.
  REQUIRE(
    RunUntil([&fixture, answered] { return fixture.service->Counters().answered > answered; }));
  CHECK(ClosedVersion(fixture) == fixture.version);
  fixture.primary.silent = false;
  fixture.SetPrimary("i-near");
  CHECK(ClosedVersion(fixture) == 0);
}

// Guards against writes that are lost or refused because they arrive during a replacement.
TEST_CASE("A write that arrives while the primary is being replaced runs on its successor",
          "[replaced_primary]")
{
  const Application application;
  ServiceWithReplicas fixture;
  Caller caller(fixture.address, "orders");
  caller.Send("QUERY r1 READ a");
  fixture.ClosePrimary();
  QTimer::singleShot(200, [&fixture] {
    ++fixture.group.term;
    fixture.SetPrimary("i-near");
  });
  CHECK(caller.Send("QUERY w1 WRITE a second") == "COMPLETE signature-i-near\r\nREADY I -\r\n");
}
