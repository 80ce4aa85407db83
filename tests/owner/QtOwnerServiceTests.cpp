#include "oleanderledge/owner/owner.hpp"
#include "tests/owner/FakeServer.hpp"
#include "tests/owner/OwnerHarness.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>

using namespace oleanderledge;

namespace {

/// Records the replies that the daemon would send over the link.
class RecordingSink : public ReplySink
{
public:
  std::vector<StatementReply> replies;
  std::int64_t queuedBytes = 0;

  void Deliver(LinkId /*aLink*/, StatementReply&& aReply) override
  {
    this->replies.push_back(std::move(aReply));
  }
  std::int64_t QueuedBytes(LinkId /*aLink*/) const override { return this->queuedBytes; }
};

/// An owner service and two fake servers on loopback ports.
class ServiceFixture
{
public:
  ServiceFixture()
    : argumentCount(1)
    , application(this->argumentCount, this->arguments)
  {
    this->group.slots["p"].isPrimary = true;
    this->group.slots["q"] = {};
    OwnerSettings settings;
    settings.self.id = "proxy-1";
    settings.self.incarnation = 5;
    settings.self.zone = "r/a";
    settings.latency.betweenZones = Duration{ 1'000 };
    this->service = CreateOwnerService(&this->application, this->sink, settings);
    this->row.name = "orders";
    this->row.connectionLimit = 10;
    this->row.slots = { { "p", "r/a", this->primary.Address(), false, false },
                        { "q", "r/b", this->replica.Address(), false, false } };
    this->row.term = 1;
    this->row.primary = "p";
    this->row.inSync = { "p", "q" };
    this->row.owner = "proxy-1";
    this->row.ownerIncarnation = 5;
    this->row.ownerEpoch = 3;
    this->row.version = 1;
  }

  void Publish()
  {
    auto directory = std::make_shared<Directory>();
    REQUIRE(directory->Apply(
      { 0, this->row.version, { { "bookings", 2000, 1, false } }, { this->row } }));
    this->service->ApplyDirectory(directory);
  }

  void GrantLease()
  {
    const std::array<LeaseGrant, 1> grants{ LeaseGrant{
      "orders", this->row.ownerEpoch, this->row.term, 5'000'000 } };
    this->service->ApplyLeases(grants, MonotonicNow());
  }

  void Submit(std::uint64_t aSequence, const std::string& aSql)
  {
    auto request = OwnerHarness::Request(1, aSequence, aSql);
    request.database = "orders";
    this->service->Submit(1, std::move(request));
  }

  /// Runs the event loop until the condition holds; false after five seconds.
  bool WaitFor(const std::function<bool()>& aCondition)
  {
    const Instant end = MonotonicNow() + std::chrono::seconds(5);
    while (!aCondition() && MonotonicNow() < end) {
      this->application.processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
    return aCondition();
  }

  int argumentCount;
  char program[5] = "test";
  char* arguments[2] = { this->program, nullptr };
  QCoreApplication application;
  FakeGroup group;
  FakeServer primary{ this->group, "p" };
  FakeServer replica{ this->group, "q" };
  RecordingSink sink;
  DatabaseRow row;
  std::unique_ptr<OwnerService> service;
};

} // namespace

// Guards the path over sockets against errors that tests without sockets cannot show: start-up,
// monitoring, dispatch, query of the position and the wait for the in-sync set.
TEST_CASE("A write over sockets is acknowledged after the replica has received it")
{
  ServiceFixture fixture;
  fixture.Publish();
  fixture.GrantLease();
  fixture.service->RecordPing(1, { 77 });
  fixture.Submit(1, "WRITE s 1 1");
  REQUIRE(fixture.WaitFor([&] { return fixture.group.log.size() == 1; }));
  CHECK(fixture.sink.replies.empty());
  fixture.group.Replicate("q", 1, 1);
  REQUIRE(fixture.WaitFor([&] { return !fixture.sink.replies.empty(); }));
  CHECK(fixture.sink.replies[0].code == ResultCode::Ok);
  CHECK(fixture.sink.replies[0].isWriteAcknowledgement);
  CHECK(fixture.sink.replies[0].pingEchoUs == 77);
  CHECK(fixture.sink.replies[0].leaseLeftUs > 0);
  fixture.Submit(2, "READ s 1 1");
  REQUIRE(fixture.WaitFor([&] { return fixture.sink.replies.size() == 2; }));
  CHECK(fixture.sink.replies[1].fromReplica);
}

// Guards against a transaction that continues on another connection: if its server is lost while
// the transaction is open and idle, the next statement must fail with BackendConnectionLost and
// must not run anywhere.
TEST_CASE("A statement of a transaction whose server was lost fails and runs nowhere")
{
  ServiceFixture fixture;
  fixture.Publish();
  fixture.GrantLease();
  fixture.Submit(1, "BEGIN");
  REQUIRE(fixture.WaitFor([&] { return fixture.sink.replies.size() == 1; }));
  CHECK(fixture.sink.replies[0].transactionStatus == 'T');
  fixture.primary.Stop();
  REQUIRE(fixture.WaitFor([&] {
    const auto reports = fixture.service->Reports(MonotonicNow());
    return !reports[0].slots[0].reachable;
  }));
  auto request = OwnerHarness::Request(1, 2, "WRITE s 1 1");
  request.database = "orders";
  request.inTransaction = true;
  fixture.service->Submit(1, std::move(request));
  REQUIRE(fixture.WaitFor([&] { return fixture.sink.replies.size() == 2; }));
  CHECK(fixture.sink.replies[1].code == ResultCode::BackendConnectionLost);
  CHECK(fixture.group.executedStatements.empty());
}

// Guards against units that wait at a former owner until they expire: the entry must be told at
// once, so that it sends them to the next owner.
TEST_CASE("A database that moves to another owner answers queued units as not run")
{
  ServiceFixture fixture;
  fixture.Publish(); // Without a lease nothing is dispatched.
  fixture.Submit(1, "WRITE s 1 1");
  CHECK(fixture.sink.replies.empty());
  fixture.row.owner = "proxy-2";
  ++fixture.row.version;
  fixture.Publish();
  REQUIRE(fixture.sink.replies.size() == 1);
  CHECK(fixture.sink.replies[0].code == ResultCode::NotOwner);
  CHECK(fixture.sink.replies[0].runState == RunState::NotRun);
  CHECK(fixture.service->IsIdle());
  fixture.Submit(2, "WRITE s 2 1");
  REQUIRE(fixture.sink.replies.size() == 2);
  CHECK(fixture.sink.replies[1].code == ResultCode::NotOwner);
}
