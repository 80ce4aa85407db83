#include "PgConnection.hpp"
#include "SlotGroup.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

namespace {

constexpr const char* kInsert = "INSERT INTO orders (item) VALUES ($1)";

} // namespace

TEST_CASE("Simple queries return rows, tags and SQLSTATEs")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  REQUIRE(connection.IsOpen());
  CHECK(std::string(PQparameterStatus(connection.Raw(), "server_version")) == "15.0");
  CHECK(connection.Query("INSERT INTO orders (item) VALUES ('a'), ('b')").tag == "INSERT 0 2");
  CHECK(connection.Query("UPDATE orders SET item = 'c' WHERE item = 'b'").tag == "UPDATE 1");
  CHECK(connection.Query("DELETE FROM orders WHERE item = 'c'").tag == "DELETE 1");
  const PgResult rows = connection.Query("SELECT item, NULL AS remark FROM orders");
  CHECK(rows.tag == "SELECT 1");
  CHECK(rows.columns == std::vector<std::string>{ "item", "remark" });
  CHECK(rows.rows == std::vector<std::vector<std::string>>{ { "a", "<null>" } });
  CHECK(connection.Query("").sqlstate.empty());
  CHECK(connection.Query("SELECT * FROM missing").sqlstate == "42P01");
  CHECK(connection.Query("SELEC 1").sqlstate == "42601");
  CHECK(connection.Query("INSERT INTO orders (item) VALUES ('a')").sqlstate == "23505");
  CHECK(connection.Query("INSERT INTO orders (item) VALUES (NULL)").sqlstate == "23502");
  CHECK(connection.Query("COPY orders FROM STDIN").sqlstate == "0A000");
  CHECK(connection.Query("SELECT 1").Value() == "1");
}

TEST_CASE("A query of several statements is one transaction")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  const PgResult failed = connection.Query("INSERT INTO orders (item) VALUES ('a'); "
                                           "INSERT INTO orders (item) VALUES (NULL)");
  CHECK(failed.sqlstate == "23502");
  CHECK(connection.Status() == PQTRANS_IDLE);
  CHECK(connection.Query("SELECT count(*) FROM orders").Value() == "0");
}

TEST_CASE("Extended queries take text parameters and refuse binary formats")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  CHECK(connection.Execute(kInsert, { "it's" }).tag == "INSERT 0 1");
  CHECK(connection.Execute("SELECT item FROM orders WHERE id = $1", { "1" }).Value() == "it's");
  CHECK(connection.Execute(kInsert, {}).sqlstate == "08P01");
  PQclear(
    PQprepare(connection.Raw(), "by_id", "SELECT item FROM orders WHERE id = $1", 0, nullptr));
  PGresult* described = PQdescribePrepared(connection.Raw(), "by_id");
  CHECK(PQnparams(described) == 1);
  CHECK(PQnfields(described) == 1);
  PQclear(described);
  const char* const values[] = { "1" };
  PGresult* text = PQexecPrepared(connection.Raw(), "by_id", 1, values, nullptr, nullptr, 0);
  CHECK(ReadResult(text).Value() == "it's");
  PQclear(text);
  PGresult* binary = PQexecPrepared(connection.Raw(), "by_id", 1, values, nullptr, nullptr, 1);
  CHECK(ReadResult(binary).sqlstate == "0A000");
  PQclear(binary);
  PGresult* again = PQprepare(connection.Raw(), "by_id", "SELECT 1", 0, nullptr);
  CHECK(ReadResult(again).sqlstate == "42P05");
  PQclear(again);
  CHECK(connection.Query("DEALLOCATE by_id").sqlstate.empty());
  PGresult* gone = PQexecPrepared(connection.Raw(), "by_id", 1, values, nullptr, nullptr, 0);
  CHECK(ReadResult(gone).sqlstate == "26000");
  PQclear(gone);
}

// Guards against executing messages that follow an error in a pipeline before Sync.
TEST_CASE("An error in a pipeline skips everything up to Sync")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  REQUIRE(PQenterPipelineMode(connection.Raw()) == 1);
  const auto send = [&](const char* aSql) {
    PQsendQueryParams(connection.Raw(), aSql, 0, nullptr, nullptr, nullptr, nullptr, 0);
  };
  send("INSERT INTO orders (item) VALUES ('a')");
  send("INSERT INTO orders (item) VALUES (NULL)");
  send("INSERT INTO orders (item) VALUES ('b')");
  PQpipelineSync(connection.Raw());
  send("SELECT count(*) FROM orders");
  PQpipelineSync(connection.Raw());
  std::vector<ExecStatusType> statuses;
  std::string count;
  int syncs = 0;
  while (syncs < 2) {
    PGresult* result = PQgetResult(connection.Raw());
    if (result == nullptr) {
      continue;
    }
    const ExecStatusType status = PQresultStatus(result);
    statuses.push_back(status);
    syncs += status == PGRES_PIPELINE_SYNC ? 1 : 0;
    if (status == PGRES_TUPLES_OK) {
      count = PQgetvalue(result, 0, 0);
    }
    PQclear(result);
  }
  CHECK(statuses == std::vector{ PGRES_COMMAND_OK,
                                 PGRES_FATAL_ERROR,
                                 PGRES_PIPELINE_ABORTED,
                                 PGRES_PIPELINE_SYNC,
                                 PGRES_TUPLES_OK,
                                 PGRES_PIPELINE_SYNC });
  CHECK(count == "0");
}

TEST_CASE("A transaction reports its status and fails as a whole")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  CHECK(connection.Query("BEGIN").tag == "BEGIN");
  CHECK(connection.Status() == PQTRANS_INTRANS);
  CHECK(connection.Execute(kInsert, { "a" }).sqlstate.empty());
  CHECK(connection.Query("SELECT count(*) FROM orders").Value() == "1");
  CHECK(connection.Query("SELECT * FROM missing").sqlstate == "42P01");
  CHECK(connection.Status() == PQTRANS_INERROR);
  CHECK(connection.Query("SELECT 1").sqlstate == "25P02");
  CHECK(connection.Query("COMMIT").tag == "ROLLBACK");
  CHECK(connection.Status() == PQTRANS_IDLE);
  CHECK(connection.Query("SELECT count(*) FROM orders").Value() == "0");
}

TEST_CASE("A savepoint undoes only what follows it")
{
  SlotGroup group(2);
  PgConnection connection(group.ClientPort(0));
  connection.Query("BEGIN");
  connection.Execute(kInsert, { "a" });
  CHECK(connection.Query("SAVEPOINT s").tag == "SAVEPOINT");
  connection.Execute(kInsert, { "b" });
  CHECK(connection.Execute(kInsert, { "a" }).sqlstate == "23505");
  CHECK(connection.Query("ROLLBACK TO s").tag == "ROLLBACK");
  CHECK(connection.Status() == PQTRANS_INTRANS);
  connection.Execute(kInsert, { "c" });
  CHECK(connection.Query("COMMIT").tag == "COMMIT");
  const std::string list = "SELECT group_concat(item) FROM orders";
  CHECK(connection.Query(list).Value() == "a,c");
  REQUIRE(WaitUntil([&] { return group.Applied(1) == group.Received(0); }));
  CHECK(PgConnection(group.ClientPort(1)).Query(list).Value() == "a,c");
}

// Guards against interleaved transactions: the second writer must wait for the first one's commit
// and read its result.
TEST_CASE("Writing transactions of two sessions are serialized")
{
  const SlotGroup group(1);
  PgConnection first(group.ClientPort(0));
  PgConnection second(group.ClientPort(0));
  first.Query("BEGIN");
  first.Execute(kInsert, { "a" });
  CHECK(second.Query("SELECT count(*) FROM orders").Value() == "0");
  second.Start("INSERT INTO orders (item) VALUES ('a')");
  first.Execute(kInsert, { "b" });
  first.Query("COMMIT");
  CHECK(second.Finish().sqlstate == "23505");
  second.Start("BEGIN; INSERT INTO orders (item) VALUES ('c')");
  CHECK(second.Finish().sqlstate.empty());
  CHECK(first.Query("SELECT count(*) FROM orders").Value() == "2");
  second.Query("ROLLBACK");
  CHECK(first.Query("SELECT count(*) FROM orders").Value() == "2");
}

TEST_CASE("A write fails after waiting two seconds for another transaction")
{
  const SlotGroup group(1);
  PgConnection first(group.ClientPort(0));
  PgConnection second(group.ClientPort(0));
  first.Query("BEGIN");
  first.Execute(kInsert, { "a" });
  CHECK(second.Execute(kInsert, { "b" }).sqlstate == "55P03");
  first.Query("ROLLBACK");
  CHECK(second.Execute(kInsert, { "b" }).sqlstate.empty());
}

// Guards against a writer token that a closed connection never releases.
TEST_CASE("A connection that closes in a transaction is rolled back")
{
  const SlotGroup group(1);
  PgConnection second(group.ClientPort(0));
  {
    PgConnection first(group.ClientPort(0));
    first.Query("BEGIN");
    first.Execute(kInsert, { "a" });
  }
  CHECK(second.Execute(kInsert, { "b" }).sqlstate.empty());
  CHECK(second.Query("SELECT group_concat(item) FROM orders").Value() == "b");
}

TEST_CASE("Read-only sessions and transactions refuse writes with 25006")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0), "-c default_transaction_read_only=on");
  CHECK(connection.Execute(kInsert, { "a" }).sqlstate == "25006");
  CHECK(connection.Query("SELECT count(*) FROM orders").Value() == "0");
  connection.Query("BEGIN READ WRITE");
  CHECK(connection.Execute(kInsert, { "a" }).sqlstate.empty());
  connection.Query("COMMIT");
  connection.Query("SET default_transaction_read_only = off");
  CHECK(std::string(PQparameterStatus(connection.Raw(), "default_transaction_read_only")) == "off");
  CHECK(connection.Execute(kInsert, { "b" }).sqlstate.empty());
  connection.Query("BEGIN READ ONLY");
  CHECK(connection.Query("SHOW transaction_read_only").Value() == "on");
  CHECK(connection.Execute(kInsert, { "c" }).sqlstate == "25006");
  connection.Query("ROLLBACK");
  connection.Query("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY");
  CHECK(connection.Execute(kInsert, { "c" }).sqlstate == "25006");
  CHECK(connection.Query("DISCARD ALL").tag == "DISCARD ALL");
  CHECK(connection.Query("SHOW default_transaction_read_only").Value() == "on");
}

TEST_CASE("SET is undone by ROLLBACK and SET LOCAL by COMMIT")
{
  const SlotGroup group(1);
  PgConnection connection(group.ClientPort(0));
  connection.Query("BEGIN");
  connection.Query("SET application_name = 'till'");
  connection.Query("ROLLBACK");
  CHECK(connection.Query("SHOW application_name").Value().empty());
  connection.Query("BEGIN");
  connection.Query("SET LOCAL application_name = 'till'");
  CHECK(connection.Query("SHOW application_name").Value() == "till");
  connection.Query("COMMIT");
  CHECK(connection.Query("SHOW application_name").Value().empty());
  CHECK(connection.Query("SHOW no_such_setting").sqlstate == "42704");
}

TEST_CASE("A cancel request ends a sleep and a wait for the writer token")
{
  const SlotGroup group(1);
  PgConnection first(group.ClientPort(0));
  PgConnection second(group.ClientPort(0));
  const std::unique_ptr<PGcancel, void (*)(PGcancel*)> cancel(PQgetCancel(second.Raw()),
                                                              &PQfreeCancel);
  char error[256] = {};
  second.Start("SELECT pg_sleep(30)");
  REQUIRE(PQcancel(cancel.get(), error, sizeof error) == 1);
  CHECK(second.Finish().sqlstate == "57014");
  first.Query("BEGIN");
  first.Execute(kInsert, { "a" });
  second.Start("INSERT INTO orders (item) VALUES ('b')");
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  REQUIRE(PQcancel(cancel.get(), error, sizeof error) == 1);
  CHECK(second.Finish().sqlstate == "57014");
  first.Query("COMMIT");
  // An idle session is not affected.
  REQUIRE(PQcancel(cancel.get(), error, sizeof error) == 1);
  CHECK(second.Query("SELECT group_concat(item) FROM orders").Value() == "a");
}

TEST_CASE("Connections over the limit are refused with 53300")
{
  const SlotGroup group(1, [](SlotSettings& aSettings) { aSettings.connectionLimit = 2; });
  const PgConnection first(group.ClientPort(0));
  {
    const PgConnection second(group.ClientPort(0));
    CHECK(second.IsOpen());
    const PgConnection third(group.ClientPort(0));
    CHECK_FALSE(third.IsOpen());
    CHECK(third.Error().find("too many clients") != std::string::npos);
  }
  CHECK(WaitUntil([&] { return PgConnection(group.ClientPort(0)).IsOpen(); }));
}

// Only lower bounds are checked, because a loaded machine can take longer.
TEST_CASE("Connecting, service time and client latency take at least the time set")
{
  using Clock = std::chrono::steady_clock;
  const SlotGroup group(1, [](SlotSettings& aSettings) {
    aSettings.connectDelayMs = 60;
    aSettings.serviceMs = 50;
    aSettings.clientLatencyUs = 20'000;
  });
  const auto start = Clock::now();
  PgConnection connection(group.ClientPort(0));
  REQUIRE(connection.IsOpen());
  CHECK(Clock::now() - start >= std::chrono::milliseconds(100));
  const auto query = Clock::now();
  CHECK(connection.Query("SELECT 1").Value() == "1");
  CHECK(Clock::now() - query >= std::chrono::milliseconds(90));
  const auto status = Clock::now();
  CHECK(connection.Query("SELECT * FROM platform_status()").rows.size() == 1);
  CHECK(Clock::now() - status >= std::chrono::milliseconds(40));
}
