#include "PgConnection.hpp"
#include "SlotGroup.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

namespace {

using Row = std::vector<std::string>;

Row StatusOf(const SlotGroup& aGroup, std::size_t aSlot)
{
  return PgConnection(aGroup.ClientPort(aSlot)).Query("SELECT * FROM platform_status()").rows.at(0);
}

std::string Items(const SlotGroup& aGroup, std::size_t aSlot)
{
  return PgConnection(aGroup.ClientPort(aSlot))
    .Query("SELECT coalesce(group_concat(item), '') FROM orders")
    .Value();
}

std::string Insert(const SlotGroup& aGroup, std::size_t aSlot, const std::string& aItem)
{
  return PgConnection(aGroup.ClientPort(aSlot))
    .Execute("INSERT INTO orders (item) VALUES ($1)", { aItem })
    .sqlstate;
}

PgResult Promote(const SlotGroup& aGroup, std::size_t aSlot, int aTerm)
{
  return PgConnection(aGroup.ClientPort(aSlot))
    .Query("SELECT platform_promote(" + std::to_string(aTerm) + ")");
}

} // namespace

TEST_CASE("Replicas receive commits and refuse writes")
{
  SlotGroup group(3);
  REQUIRE(Insert(group, 0, "a").empty());
  CHECK(StatusOf(group, 0) == Row{ "primary", "1", "2", "2" });
  for (const std::size_t replica : { 1U, 2U }) {
    REQUIRE(WaitUntil([&] { return group.Applied(replica) == 2; }));
    CHECK(StatusOf(group, replica) == Row{ "replica", "1", "2", "2" });
    CHECK(Items(group, replica) == "a");
    CHECK(Insert(group, replica, "b") == "25006");
  }
}

TEST_CASE("Receive and apply lag delay the two positions separately")
{
  SlotGroup group(2);
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Context().settings.applyLagMs = 60'000; });
  REQUIRE(Insert(group, 0, "a").empty());
  REQUIRE(WaitUntil([&] { return group.Received(1) == 2; }));
  CHECK(group.Applied(1) == 1);
  CHECK(Items(group, 1).empty());
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Context().settings.receiveLagMs = 60'000; });
  REQUIRE(Insert(group, 0, "b").empty());
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(group.Received(1) == 2);
}

TEST_CASE("A promotion applies received records and discards records in transit")
{
  SlotGroup group(2);
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Context().settings.applyLagMs = 60'000; });
  REQUIRE(Insert(group, 0, "received").empty());
  REQUIRE(WaitUntil([&] { return group.Received(1) == 2; }));
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Context().settings.receiveLagMs = 50; });
  REQUIRE(Insert(group, 0, "late").empty());
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Cut(CutScope::All); });
  CHECK(Promote(group, 1, 2).rows == std::vector<Row>{ { "primary", "2" } });
  CHECK(Items(group, 1) == "received");
  // The receive lag of the last record ends only after the promotion.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(group.Received(1) == 2);
  CHECK(Promote(group, 1, 2).rows == std::vector<Row>{ { "primary", "2" } });
  CHECK(Promote(group, 1, 1).sqlstate == "55000");
}

// Guards against a former primary that reconnects and keeps commits which no other slot has.
TEST_CASE("A former primary steps down and discards commits that were never replicated")
{
  SlotGroup group(3);
  REQUIRE(Insert(group, 0, "common").empty());
  REQUIRE(WaitUntil([&] { return group.Applied(1) == 2 && group.Applied(2) == 2; }));
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Cut(CutScope::Replication); });
  PgConnection session(group.ClientPort(0));
  REQUIRE(Insert(group, 0, "only here").empty());
  REQUIRE(Insert(group, 0, "nor there").empty());
  REQUIRE(Promote(group, 1, 2).sqlstate.empty());
  REQUIRE(Insert(group, 1, "new").empty());
  REQUIRE(WaitUntil([&] { return group.Term(2) == 2 && group.Applied(2) == 3; }));
  CHECK(group.IsPrimary(0));
  group.On(0, [](DatabaseSlot& aSlot) { aSlot.Heal(); });
  REQUIRE(WaitUntil([&] { return !group.IsPrimary(0) && group.Term(0) == 2; }));
  // libpq passes an error that arrives while a session is idle to the notice receiver.
  std::string fatal;
  PQsetNoticeReceiver(
    session.Raw(),
    [](void* aTarget, const PGresult* aNotice) {
      *static_cast<std::string*>(aTarget) = ReadResult(aNotice).sqlstate;
    },
    &fatal);
  CHECK(WaitUntil([&] {
    const bool open = PQconsumeInput(session.Raw()) == 1;
    PQisBusy(session.Raw());
    return !open || !fatal.empty();
  }));
  CHECK(fatal == "57P01");
  CHECK(session.Query("SELECT 1").sqlstate == "lost");
  CHECK(Items(group, 0) == "common,new");
  CHECK(StatusOf(group, 0) == Row{ "replica", "2", "3", "3" });
  REQUIRE(Insert(group, 1, "newer").empty());
  CHECK(WaitUntil([&] { return Items(group, 0) == "common,new,newer"; }));
}

TEST_CASE("A replica that was cut off catches up from the log")
{
  SlotGroup group(2);
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Cut(CutScope::Replication); });
  REQUIRE(Insert(group, 0, "a").empty());
  REQUIRE(Insert(group, 0, "b").empty());
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Heal(); });
  CHECK(WaitUntil([&] { return group.Applied(1) == 3; }));
  CHECK(Items(group, 1) == "a,b");
}

// Guards against a primary that restarts without data and overwrites the data of its replicas.
TEST_CASE("A primary that restarts without data does not become primary again")
{
  SlotGroup group(2);
  REQUIRE(Insert(group, 0, "a").empty());
  REQUIRE(WaitUntil([&] { return group.Applied(1) == 2; }));
  group.Restart(0);
  // Longer than the time that an initial primary waits for its peers.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  CHECK_FALSE(group.IsPrimary(0));
  CHECK(Items(group, 1) == "a");
  REQUIRE(Promote(group, 1, 2).sqlstate.empty());
  CHECK(WaitUntil([&] { return Items(group, 0) == "a"; }));
}

// Guards against erasing the last copy of the data. The restarted primary cannot reach its replica
// and therefore takes the first term again with an empty log.
TEST_CASE("A replica rejects a copy from a primary of the same term that lost its data")
{
  SlotGroup group(2);
  REQUIRE(Insert(group, 0, "a").empty());
  REQUIRE(WaitUntil([&] { return group.Applied(1) == 2; }));
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Cut(CutScope::Replication); });
  group.Restart(0);
  REQUIRE(WaitUntil([&] { return group.IsPrimary(0); }));
  REQUIRE(group.Term(0) == 1);
  REQUIRE(group.Received(0) == 1);
  group.On(1, [](DatabaseSlot& aSlot) { aSlot.Heal(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(Items(group, 1) == "a");
  REQUIRE(Promote(group, 1, 2).sqlstate.empty());
  CHECK(WaitUntil([&] { return !group.IsPrimary(0) && Items(group, 0) == "a"; }));
}
