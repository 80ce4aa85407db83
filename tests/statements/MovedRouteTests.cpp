#include "tests/statements/ServiceWithReplicas.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// Two services: the route "glaze" of `ledger` leads to the other one for a while.
class TwoServices : public ServiceWithReplicas
{
public:
  explicit TwoServices(std::uint64_t aLedgerCommits, std::uint64_t aArchiveCommits)
    : archivePrimary(this->archive, "i-archive-primary")
    , archiveNear(this->archive, "i-archive-near")
  {
    this->group.number = aLedgerCommits;
    this->archive.service = "archive";
    this->archive.primary = "i-archive-primary";
    this->archive.number = aArchiveCommits;
    ++this->version;
    this->update.services.push_back({ "archive", 10, 0, this->version, false });
    this->AddArchiveServer(this->archivePrimary, "far-zone", true);
    this->AddArchiveServer(this->archiveNear, "near-zone", false);
    this->update.primaries.push_back(
      { "archive", "i-archive-primary", PrimaryPhase::Steady, this->version, "", this->version });
    this->Publish();
  }

  void MoveRouteTo(const std::string& aService)
  {
    ++this->version;
    for (RouteRow& row : this->update.routes) {
      if (row.database == "glaze") {
        row.service = aService;
        row.version = this->version;
      }
    }
    ++this->update.configurationNumber;
    this->Publish();
  }

  PlatformGroup archive;
  PlatformDatabase archivePrimary;
  PlatformDatabase archiveNear;

private:
  void AddArchiveServer(PlatformDatabase& aDatabase, const std::string& aZone, bool aIsPrimary)
  {
    this->AddBackend(aDatabase, aZone, aIsPrimary);
    this->update.backends.back().service = "archive";
  }
};

void Write(Caller& aCaller, const std::string& aId, bool aInTransaction)
{
  if (!aInTransaction) {
    CHECK(aCaller.Send("QUERY " + aId + " WRITE a second").starts_with("COMPLETE "));
    return;
  }
  aCaller.Send("QUERY begin-" + aId + " BEGIN");
  aCaller.Send("QUERY " + aId + " WRITE a second");
  CHECK(aCaller.Send("QUERY commit-" + aId + " COMMIT").starts_with("COMPLETE "));
}

} // namespace

// Guards against stale reads: a commit on another service replaced the position of the session's
// own commit, so that a replica without that commit served the read.
TEST_CASE("A read sees the session's commit after its route has led to another service and back",
          "[moved_route]")
{
  const bool inTransaction = GENERATE(false, true);
  const std::uint64_t archiveCommits = GENERATE(3, 100, 5000);
  CAPTURE(inTransaction, archiveCommits);
  const Application application;
  TwoServices fixture(100, archiveCommits);
  // Gives the proxy a position of the primary that the replicas have reached.
  Caller other(fixture.address, "orders");
  other.Send("QUERY r0 READ a");
  Caller caller(fixture.address, "glaze");
  Write(caller, "w1", inTransaction);
  fixture.near.behind = 1;
  fixture.far.behind = 1;
  fixture.MoveRouteTo("archive");
  Write(caller, "w2", inTransaction);
  REQUIRE(fixture.archive.number == archiveCommits + 1);
  fixture.MoveRouteTo("ledger");
  CHECK(caller.Send("QUERY r1 READ a").starts_with("DATAROW "));
  CHECK(fixture.RanOn("r1") == "i-primary");
  // A read-only transaction is placed by the same position.
  caller.Send("QUERY b2 BEGIN READ");
  CHECK(caller.Send("QUERY r2 READ a").starts_with("DATAROW "));
  caller.Send("QUERY c2 COMMIT");
  CHECK(fixture.RanOn("r2") == "i-primary");
}

// Guards against reads that are kept from replicas because they lack a position of another log.
TEST_CASE("A read of another service does not wait for commits of the first one", "[moved_route]")
{
  const Application application;
  TwoServices fixture(5000, 3);
  Caller caller(fixture.address, "glaze");
  Write(caller, "w1", false);
  fixture.MoveRouteTo("archive");
  Caller other(fixture.address, "glaze");
  Write(other, "w2", false);
  caller.Send("QUERY r1 READ a");
  CHECK(std::ranges::any_of(fixture.archive.runs, [](const auto& aRun) {
    return aRun == std::pair<std::string, std::string>("r1", "i-archive-near");
  }));
}

// Guards against stale reads: a transaction that outlasts the move of its route commits on the
// service where it began.
TEST_CASE("A commit counts for the service that ran it although the route has moved meanwhile",
          "[moved_route]")
{
  const Application application;
  TwoServices fixture(100, 3);
  Caller other(fixture.address, "orders");
  other.Send("QUERY r0 READ a");
  Caller caller(fixture.address, "glaze");
  caller.Send("QUERY b1 BEGIN");
  caller.Send("QUERY w1 WRITE a second");
  fixture.MoveRouteTo("archive");
  CHECK(caller.Send("QUERY c1 COMMIT").starts_with("COMPLETE "));
  CHECK(fixture.RanOn("c1") == "i-primary");
  fixture.near.behind = 1;
  fixture.far.behind = 1;
  Write(caller, "w2", false);
  fixture.MoveRouteTo("ledger");
  caller.Send("QUERY r1 READ a");
  CHECK(fixture.RanOn("r1") == "i-primary");
}

// Guards against stale reads that are placed by a position of another service.
TEST_CASE("A position of one service proves nothing about the replicas of another", "[moved_route]")
{
  const Application application;
  TwoServices fixture(100, 3);
  fixture.near.behind = 50;
  fixture.far.behind = 50;
  fixture.service->AddPeerPositions({ { "archive", { 1, 3 }, MonotonicNow() } });
  Caller caller(fixture.address, "catalogue");
  caller.Send("QUERY r1 READ a");
  CHECK(fixture.RanOn("r1") == "i-primary");
}
