#include "standin/SlotStore.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

namespace {

void Write(SlotStore& aStore, const std::string& aSql, const Parameters& aParameters = {})
{
  aStore.BeginWrite();
  REQUIRE_FALSE(aStore.Working().Execute(aSql, aParameters).error);
  aStore.RecordWrite(aSql, aParameters);
  REQUIRE_FALSE(aStore.CommitWrite());
}

std::string Count(SlotStore& aStore)
{
  return aStore.Committed().Execute("SELECT count(*) FROM t").rows.at(0).at(0).value();
}

} // namespace

// Guards against dirty reads: other sessions must not see uncommitted data.
TEST_CASE("The committed database changes only at commit")
{
  SlotStore store(nullptr);
  store.Bootstrap("CREATE TABLE t (x)");
  store.BeginWrite();
  store.Working().Execute("INSERT INTO t VALUES ($1)", { "a" });
  store.RecordWrite("INSERT INTO t VALUES ($1)", { "a" });
  CHECK(Count(store) == "0");
  store.RollbackWrite();
  CHECK(store.Received() == 1);
  Write(store, "INSERT INTO t VALUES ($1)", { std::nullopt });
  CHECK(Count(store) == "1");
  CHECK(store.Received() == 2);
}

TEST_CASE("A replica that receives the records has the same data")
{
  SlotStore primary(nullptr);
  primary.Bootstrap("CREATE TABLE t (x)");
  Write(primary, "INSERT INTO t VALUES ($1)", { "a" });
  SlotStore replica(nullptr);
  for (const LogRecord& record : primary.RecordsAfter(0)) {
    replica.Receive(LogRecordFromJson(ToJson(record)));
  }
  CHECK(replica.Received() == 2);
  CHECK(replica.Applied() == 0);
  replica.ApplyUpTo(1);
  CHECK(Count(replica) == "0");
  replica.ApplyUpTo(2);
  CHECK(Count(replica) == "1");
}

// Guards against two primaries of one term.
TEST_CASE("A promotion needs a higher term and can be repeated")
{
  SlotStore store(nullptr);
  store.AdoptTerm(3);
  CHECK(store.Promote(3)->sqlstate == "55000");
  CHECK_FALSE(store.Promote(4));
  CHECK_FALSE(store.Promote(4));
  CHECK(store.Promote(2)->sqlstate == "55000");
  CHECK(store.IsPrimary());
  CHECK(store.Term() == 4);
}

TEST_CASE("A promotion applies everything received")
{
  SlotStore store(nullptr);
  store.Receive({ 1, 1, { { "CREATE TABLE t (x)", {} } } });
  store.Receive({ 2, 1, { { "INSERT INTO t VALUES (1)", {} } } });
  CHECK_FALSE(store.Promote(2));
  CHECK(store.Applied() == 2);
  CHECK(Count(store) == "1");
}

// Guards against following a primary whose log has diverged at the same position.
TEST_CASE("The term at a position distinguishes diverged logs")
{
  SlotStore store(nullptr);
  store.Receive({ 1, 1, {} });
  store.Receive({ 2, 3, {} });
  CHECK(store.TermAt(0) == 0U);
  CHECK(store.TermAt(1) == 1U);
  CHECK(store.TermAt(2) == 3U);
  CHECK(store.TermAt(3) == std::nullopt);
}

TEST_CASE("A copy replaces data, positions and log")
{
  SlotStore primary(nullptr);
  primary.Bootstrap("CREATE TABLE t (x)");
  Write(primary, "INSERT INTO t VALUES (1)");
  SlotStore replica(nullptr);
  replica.Receive({ 1, 9, { { "CREATE TABLE other (x)", {} } } });
  replica.ApplyUpTo(1);
  replica.Replace(primary.Copy(), 2, 1, 1);
  CHECK(Count(replica) == "1");
  CHECK(replica.Applied() == 2);
  CHECK(replica.TermAt(2) == 1U);
  CHECK(replica.TermAt(1) == std::nullopt);
  replica.Receive({ 3, 1, { { "INSERT INTO t VALUES (2)", {} } } });
  replica.ApplyUpTo(3);
  CHECK(Count(replica) == "2");
}
