#include "oleanderledge/owner/owner.hpp"
#include "tests/owner/OwnerHarness.hpp"
#include "tests/standin/SlotGroup.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>

using namespace oleanderledge;

namespace {

class CollectingSink : public ReplySink
{
public:
  std::vector<StatementReply> replies;

  void Deliver(LinkId /*aLink*/, StatementReply&& aReply) override
  {
    this->replies.push_back(std::move(aReply));
  }
  std::int64_t QueuedBytes(LinkId /*aLink*/) const override { return 0; }
};

/// An owner service in front of two stand-in servers that replicate to each other.
class StandInFixture
{
public:
  StandInFixture()
    : group(2)
  {
    OwnerSettings settings;
    settings.self.id = "proxy-1";
    settings.self.zone = "dalarna/mora-1";
    this->service = CreateOwnerService(QCoreApplication::instance(), this->sink, settings);
    DatabaseRow row;
    row.name = "orders-1";
    row.connectionLimit = 20;
    for (std::size_t index = 0; index < 2; ++index) {
      row.slots.push_back({ std::string(1, static_cast<char>('a' + index)),
                            "dalarna/mora-1",
                            "127.0.0.1:" + std::to_string(this->group.ClientPort(index)),
                            false,
                            false });
    }
    row.term = 1;
    row.primary = "a";
    row.inSync = { "a", "b" };
    row.owner = "proxy-1";
    row.ownerEpoch = 1;
    row.version = 1;
    auto directory = std::make_shared<Directory>();
    REQUIRE(directory->Apply({ 0, 1, { { "bookings", 5000, 1, false } }, { row } }));
    this->service->ApplyDirectory(directory);
    const std::array<LeaseGrant, 1> grants{ LeaseGrant{ "orders-1", 1, 1, 60'000'000 } };
    this->service->ApplyLeases(grants, MonotonicNow());
  }

  /// Runs one unit and returns its final reply.
  StatementReply Run(StatementRequest aRequest)
  {
    aRequest.database = "orders-1";
    aRequest.sequence = ++this->sequence;
    const std::size_t before = this->sink.replies.size();
    this->service->Submit(1, std::move(aRequest));
    const Instant end = MonotonicNow() + std::chrono::seconds(10);
    while (this->sink.replies.size() == before && MonotonicNow() < end) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
    REQUIRE(this->sink.replies.size() == before + 1);
    return this->sink.replies.back();
  }

  StatementReply Run(const std::string& aSql) { return this->Run(Request(aSql)); }

  static StatementRequest Request(const std::string& aSql)
  {
    auto request = OwnerHarness::Request(1, 0, aSql);
    request.session = "counter";
    request.readOnly = aSql.starts_with("SELECT");
    return request;
  }

  stand_in::SlotGroup group;
  CollectingSink sink;
  std::unique_ptr<OwnerService> service;
  std::uint64_t sequence = 0;
};

} // namespace

// Guards against statements of the owner that a server rejects: the fakes of other tests do not
// parse SQL.
TEST_CASE("Writes, reads and request ids work against the stand-in server")
{
  StandInFixture fixture;
  const StatementReply write = fixture.Run("INSERT INTO orders (item) VALUES ('bobbin')");
  CHECK(write.code == ResultCode::Ok);
  CHECK(write.isWriteAcknowledgement);
  CHECK(write.payload == BuildCommandComplete("INSERT 0 1"));
  const StatementReply read = fixture.Run("SELECT item FROM orders");
  CHECK(read.code == ResultCode::Ok);
  CHECK(read.payload.find("bobbin") != std::string::npos);
  auto order = StandInFixture::Request("INSERT INTO orders (item) VALUES ('pillow')");
  order.requestId = "order-17";
  const StatementReply first = fixture.Run(order);
  CHECK(first.payload == BuildCommandComplete("INSERT 0 1"));
  const StatementReply second = fixture.Run(order);
  CHECK(second.code == ResultCode::Ok);
  CHECK(second.isWriteAcknowledgement);
  CHECK(second.payload.ends_with(BuildCommandComplete("INSERT 0 1")));
  const StatementReply count = fixture.Run("SELECT count(*) FROM orders");
  CHECK(count.payload.find(BuildDataRow(std::array<std::optional<std::string>, 1>{ "2" })) !=
        std::string::npos);
}

// Guards against errors in transactions on a server that parses SQL, with session settings and a
// request id that is applied again.
TEST_CASE("A transaction with session settings works against the stand-in server")
{
  StandInFixture fixture;
  auto begin = StandInFixture::Request("BEGIN");
  begin.settings = { { "application_name", "counter" } };
  begin.requestId = "order-18";
  CHECK(fixture.Run(begin).transactionStatus == 'T');
  auto insert = StandInFixture::Request("INSERT INTO orders (item) VALUES ('lace')");
  insert.inTransaction = true;
  CHECK(fixture.Run(insert).transactionStatus == 'T');
  auto commit = StandInFixture::Request("COMMIT");
  commit.inTransaction = true;
  const StatementReply committed = fixture.Run(commit);
  CHECK(committed.transactionStatus == 'I');
  CHECK(committed.isWriteAcknowledgement);
  const StatementReply again = fixture.Run(begin);
  CHECK(again.code == ResultCode::RequestAlreadyApplied);
  CHECK(again.runState == RunState::Ran);
  CHECK(again.transactionStatus == 'I');
  CHECK(fixture.Run("SELECT item FROM orders").payload.find("lace") != std::string::npos);
}
