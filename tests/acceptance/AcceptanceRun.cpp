#include "AcceptanceRun.hpp"

#include <chrono>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace oleanderledge::acceptance {

namespace {

using Clock = std::chrono::steady_clock;

/// Upper bound for a cancelled statement, far below its sleep of 20 s.
constexpr std::chrono::seconds kCancelLimit(5);

constexpr const char* kCountItem =
  "SELECT count(*) FROM acceptance_items WHERE run = $1 AND item = $2";

struct ResultDeleter
{
  void operator()(PGresult* aResult) const { PQclear(aResult); }
};

using OwnedResult = std::unique_ptr<PGresult, ResultDeleter>;

void SendInPipeline(const PgConnection& aConnection,
                    const std::string& aSql,
                    const std::vector<const char*>& aValues = {})
{
  PQsendQueryParams(aConnection.Raw(),
                    aSql.c_str(),
                    static_cast<int>(aValues.size()),
                    nullptr,
                    aValues.data(),
                    nullptr,
                    nullptr,
                    0);
}

/// Reads pipeline results up to a number of Syncs: a value, an SQLSTATE, "skipped" or "sync" each.
std::vector<std::string> ReadPipeline(const PgConnection& aConnection, int aSyncs)
{
  std::vector<std::string> outcomes;
  int empty = 0;
  // Two consecutive null results mean that the connection is lost.
  while (aSyncs > 0 && empty < 2) {
    const OwnedResult result(PQgetResult(aConnection.Raw()));
    if (!result) {
      ++empty;
      continue;
    }
    empty = 0;
    switch (PQresultStatus(result.get())) {
      case PGRES_PIPELINE_SYNC:
        outcomes.emplace_back("sync");
        --aSyncs;
        break;
      case PGRES_PIPELINE_ABORTED:
        outcomes.emplace_back("skipped");
        break;
      case PGRES_TUPLES_OK:
        outcomes.emplace_back(stand_in::ReadResult(result.get()).Value());
        break;
      default: {
        const PgResult read = stand_in::ReadResult(result.get());
        outcomes.emplace_back(read.sqlstate.empty() ? read.tag : read.sqlstate);
        break;
      }
    }
  }
  return outcomes;
}

std::string Join(const std::vector<std::string>& aParts)
{
  std::string joined;
  for (const std::string& part : aParts) {
    joined += (joined.empty() ? "" : " ") + part;
  }
  return joined;
}

} // namespace

AcceptanceRun::AcceptanceRun(Checks& aChecks, PgTarget aTarget, std::string aRunName)
  : checks(aChecks)
  , target(std::move(aTarget))
  , runName(std::move(aRunName))
{
}

void AcceptanceRun::RunAll()
{
  this->checks.BeginGroup("table");
  PgConnection connection = this->Connect();
  this->checks.IsTrue("connect: " + connection.Error(), connection.IsOpen());
  if (!connection.IsOpen()) {
    return;
  }
  this->checks.AreEqual(
    "create",
    connection
      .Query("CREATE TABLE IF NOT EXISTS acceptance_items (run TEXT NOT NULL, item TEXT NOT NULL, "
             "remark TEXT)")
      .sqlstate,
    "");
  this->CheckStartup();
  this->CheckValues();
  this->CheckPreparedStatements();
  this->CheckTransactions();
  this->CheckErrorInTransaction();
  this->CheckSeveralStatements();
  this->CheckPipelining();
  this->CheckErrorInPipeline();
  this->CheckCancel();
  this->CheckReadOnly();
  this->CheckSettings();
  this->CheckManyRows();
  this->CheckInterleavedSessions();
  this->CheckCopyRefused();
}

PgConnection AcceptanceRun::Connect(const std::string& aOptions) const
{
  return PgConnection(this->target, aOptions);
}

std::string AcceptanceRun::Insert(PgConnection& aConnection, const std::string& aItem) const
{
  const PgResult result = aConnection.Execute(
    "INSERT INTO acceptance_items (run, item) VALUES ($1, $2)", { this->runName, aItem });
  return result.sqlstate.empty() ? result.tag : result.sqlstate;
}

std::string AcceptanceRun::CountOf(PgConnection& aConnection, const std::string& aItem) const
{
  return aConnection.Execute(kCountItem, { this->runName, aItem }).Value();
}

void AcceptanceRun::CheckStartup()
{
  this->checks.BeginGroup("start-up");
  const PgConnection connection = this->Connect();
  const char* version = PQparameterStatus(connection.Raw(), "server_version");
  this->checks.IsTrue("server_version is reported", version != nullptr);
  const char* encoding = PQparameterStatus(connection.Raw(), "client_encoding");
  this->checks.AreEqual("client_encoding", encoding == nullptr ? "" : encoding, "UTF8");
  this->checks.IsTrue("idle", connection.Status() == PQTRANS_IDLE);
  this->checks.IsTrue("key data", PQbackendPID(connection.Raw()) != 0);
  PgTarget unknown = this->target;
  unknown.database = "no-such-database";
  this->checks.IsTrue("an unknown database is refused", !PgConnection(unknown).IsOpen());
}

void AcceptanceRun::CheckValues()
{
  this->checks.BeginGroup("values");
  PgConnection connection = this->Connect();
  const std::string large(200'000, 'x');
  for (const std::string& value : { std::string(),
                                    std::string("it's \"quoted\"; -- no comment"),
                                    std::string("Malm\xC3\xB6"),
                                    large }) {
    const std::string shown = value.substr(0, 30);
    this->checks.AreEqual("insert " + shown, this->Insert(connection, value), "INSERT 0 1");
    this->checks.IsTrue(
      "read back " + shown,
      connection
          .Execute("SELECT item FROM acceptance_items WHERE run = $1 AND item = $2",
                   { this->runName, value })
          .Value() == value);
  }
  this->checks.AreEqual("NULL", connection.Query("SELECT NULL").Value(), "<null>");
  this->checks.AreEqual("syntax error", connection.Query("SELEC 1").sqlstate, "42601");
  this->checks.AreEqual("unknown table", connection.Query("SELECT * FROM none").sqlstate, "42P01");
  this->checks.AreEqual("empty query", connection.Query("").sqlstate, "");
  this->checks.AreEqual("still usable", connection.Query("SELECT 1").Value(), "1");
}

void AcceptanceRun::CheckPreparedStatements()
{
  this->checks.BeginGroup("prepared statements");
  PgConnection connection = this->Connect();
  OwnedResult result(PQprepare(connection.Raw(), "count_item", kCountItem, 0, nullptr));
  this->checks.AreEqual("prepare", stand_in::ReadResult(result.get()).sqlstate, "");
  result.reset(PQdescribePrepared(connection.Raw(), "count_item"));
  this->checks.IsTrue("two parameters", PQnparams(result.get()) == 2);
  this->checks.IsTrue("one column", PQnfields(result.get()) == 1);
  for (int round = 0; round < 3; ++round) {
    // A transaction between prepare and execute can move the session to another backend connection.
    connection.Query("BEGIN");
    this->Insert(connection, "prepared");
    connection.Query("COMMIT");
    const char* const values[] = { this->runName.c_str(), "prepared" };
    result.reset(PQexecPrepared(connection.Raw(), "count_item", 2, values, nullptr, nullptr, 0));
    this->checks.AreEqual(
      "execute", stand_in::ReadResult(result.get()).Value(), std::to_string(round + 1));
  }
  PgConnection other = this->Connect();
  const char* const values[] = { "a", "b" };
  result.reset(PQexecPrepared(other.Raw(), "count_item", 2, values, nullptr, nullptr, 0));
  this->checks.AreEqual(
    "the name is unknown to other sessions", stand_in::ReadResult(result.get()).sqlstate, "26000");
}

void AcceptanceRun::CheckTransactions()
{
  this->checks.BeginGroup("transactions");
  PgConnection first = this->Connect();
  PgConnection second = this->Connect();
  this->checks.AreEqual("begin", first.Query("BEGIN").tag, "BEGIN");
  this->checks.AreEqual("insert", this->Insert(first, "transaction"), "INSERT 0 1");
  this->checks.AreEqual("own view", this->CountOf(first, "transaction"), "1");
  this->checks.AreEqual("other view", this->CountOf(second, "transaction"), "0");
  this->checks.AreEqual("commit", first.Query("COMMIT").tag, "COMMIT");
  this->checks.AreEqual("other view after commit", this->CountOf(second, "transaction"), "1");
  first.Query("BEGIN");
  this->Insert(first, "rolled back");
  this->checks.AreEqual("rollback", first.Query("ROLLBACK").tag, "ROLLBACK");
  this->checks.AreEqual("view after rollback", this->CountOf(first, "rolled back"), "0");
  this->checks.IsTrue("idle", first.Status() == PQTRANS_IDLE);
}

void AcceptanceRun::CheckErrorInTransaction()
{
  this->checks.BeginGroup("error in a transaction");
  PgConnection connection = this->Connect();
  connection.Query("BEGIN");
  this->Insert(connection, "before the error");
  this->checks.AreEqual(
    "error",
    connection.Query("INSERT INTO acceptance_items (run, item) VALUES ('x', NULL)").sqlstate,
    "23502");
  this->checks.IsTrue("failed", connection.Status() == PQTRANS_INERROR);
  this->checks.AreEqual("ignored", connection.Query("SELECT 1").sqlstate, "25P02");
  this->checks.AreEqual("commit rolls back", connection.Query("COMMIT").tag, "ROLLBACK");
  this->checks.AreEqual("nothing stored", this->CountOf(connection, "before the error"), "0");
}

void AcceptanceRun::CheckSeveralStatements()
{
  this->checks.BeginGroup("several statements in a query");
  PgConnection connection = this->Connect();
  const std::string insert = "INSERT INTO acceptance_items (run, item) VALUES ('" + this->runName;
  this->checks.AreEqual(
    "both run",
    connection.Query(insert + "', 'several'); " + insert + "', 'several')").sqlstate,
    "");
  this->checks.AreEqual("both stored", this->CountOf(connection, "several"), "2");
  this->checks.AreEqual("the second fails",
                        connection.Query(insert + "', 'atomic'); " + insert + "', NULL)").sqlstate,
                        "23502");
  this->checks.AreEqual("neither stored", this->CountOf(connection, "atomic"), "0");
}

void AcceptanceRun::CheckPipelining()
{
  this->checks.BeginGroup("pipelining");
  const PgConnection connection = this->Connect();
  this->checks.IsTrue("enter", PQenterPipelineMode(connection.Raw()) == 1);
  constexpr int kStatements = 50;
  std::string expected;
  for (int number = 0; number < kStatements; ++number) {
    const std::string text = std::to_string(number);
    SendInPipeline(connection, "SELECT $1", { text.c_str() });
    PQpipelineSync(connection.Raw());
    expected += (number == 0 ? "" : " ") + text + " sync";
  }
  this->checks.AreEqual("in order", Join(ReadPipeline(connection, kStatements)), expected);
}

void AcceptanceRun::CheckErrorInPipeline()
{
  this->checks.BeginGroup("error in a pipeline");
  PgConnection connection = this->Connect();
  PQenterPipelineMode(connection.Raw());
  const std::string insert =
    "INSERT INTO acceptance_items (run, item) VALUES ('" + this->runName + "', ";
  SendInPipeline(connection, insert + "'pipeline')");
  SendInPipeline(connection, insert + "NULL)");
  SendInPipeline(connection, insert + "'pipeline')");
  PQpipelineSync(connection.Raw());
  SendInPipeline(connection, "SELECT 7");
  PQpipelineSync(connection.Raw());
  this->checks.AreEqual(
    "outcomes", Join(ReadPipeline(connection, 2)), "INSERT 0 1 23502 skipped sync 7 sync");
  this->checks.IsTrue("leave", PQexitPipelineMode(connection.Raw()) == 1);
  this->checks.AreEqual("nothing stored", this->CountOf(connection, "pipeline"), "0");
}

void AcceptanceRun::CheckCancel()
{
  this->checks.BeginGroup("cancel");
  PgConnection connection = this->Connect();
  const auto start = Clock::now();
  connection.Start("SELECT pg_sleep(20)");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const std::unique_ptr<PGcancel, void (*)(PGcancel*)> cancel(PQgetCancel(connection.Raw()),
                                                              &PQfreeCancel);
  char error[256] = {};
  this->checks.IsTrue("request", PQcancel(cancel.get(), error, sizeof error) == 1);
  this->checks.AreEqual("cancelled", connection.Finish().sqlstate, "57014");
  this->checks.IsTrue("in time", Clock::now() - start < kCancelLimit);
  this->checks.AreEqual("still usable", connection.Query("SELECT 1").Value(), "1");
  // A delayed cancel request must not cancel the next statement.
  this->checks.IsTrue("late request", PQcancel(cancel.get(), error, sizeof error) == 1);
  this->checks.AreEqual("not affected", connection.Query("SELECT 2").Value(), "2");
}

void AcceptanceRun::CheckReadOnly()
{
  this->checks.BeginGroup("read-only");
  PgConnection session = this->Connect("-c default_transaction_read_only=on");
  this->checks.AreEqual("read", session.Query("SELECT 3").Value(), "3");
  this->checks.AreEqual("write", this->Insert(session, "read-only"), "25006");
  PgConnection connection = this->Connect();
  connection.Query("BEGIN READ ONLY");
  this->checks.AreEqual("write in a transaction", this->Insert(connection, "read-only"), "25006");
  connection.Query("ROLLBACK");
  this->checks.AreEqual(
    "write after the transaction", this->Insert(connection, "read-write"), "INSERT 0 1");
  this->checks.AreEqual("nothing stored", this->CountOf(connection, "read-only"), "0");
}

void AcceptanceRun::CheckSettings()
{
  this->checks.BeginGroup("settings");
  PgConnection connection = this->Connect("-c application_name=till");
  this->checks.AreEqual("start-up", connection.Query("SHOW application_name").Value(), "till");
  connection.Query("SET application_name = 'counter'");
  this->Insert(connection, "settings");
  this->checks.AreEqual("SET", connection.Query("SHOW application_name").Value(), "counter");
  connection.Query("RESET application_name");
  this->checks.AreEqual("RESET", connection.Query("SHOW application_name").Value(), "till");
  this->checks.AreEqual("unknown", connection.Query("SHOW no_such_setting").sqlstate, "42704");
}

void AcceptanceRun::CheckManyRows()
{
  this->checks.BeginGroup("many rows");
  PgConnection connection = this->Connect();
  const PgResult result =
    connection.Query("WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 "
                     "FROM n WHERE x < 20000) SELECT x FROM n");
  this->checks.AreEqual("count", std::to_string(result.rows.size()), "20000");
  this->checks.AreEqual("last", result.rows.empty() ? "" : result.rows.back().at(0), "20000");
}

void AcceptanceRun::CheckInterleavedSessions()
{
  this->checks.BeginGroup("interleaved sessions");
  constexpr int kSessions = 8;
  std::vector<PgConnection> connections;
  connections.reserve(kSessions);
  for (int session = 0; session < kSessions; ++session) {
    connections.push_back(this->Connect());
  }
  for (int round = 0; round < 5; ++round) {
    for (int session = 0; session < kSessions; ++session) {
      connections[static_cast<std::size_t>(session)].Start("SELECT " +
                                                           std::to_string(100 * round + session));
    }
    for (int session = kSessions - 1; session >= 0; --session) {
      this->checks.AreEqual("answer",
                            connections[static_cast<std::size_t>(session)].Finish().Value(),
                            std::to_string(100 * round + session));
    }
  }
}

void AcceptanceRun::CheckCopyRefused()
{
  this->checks.BeginGroup("COPY");
  PgConnection connection = this->Connect();
  this->checks.AreEqual(
    "refused", connection.Query("COPY acceptance_items FROM STDIN").sqlstate, "0A000");
  this->checks.AreEqual("still usable", connection.Query("SELECT 1").Value(), "1");
}

} // namespace oleanderledge::acceptance
