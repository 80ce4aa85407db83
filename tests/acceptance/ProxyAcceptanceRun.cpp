#include "ProxyAcceptanceRun.hpp"

#include <utility>

namespace oleanderledge::acceptance {

namespace {

constexpr const char* kInsert = "INSERT INTO acceptance_items (run, item) VALUES ($1, $2)";
constexpr const char* kCountItem =
  "SELECT count(*) FROM acceptance_items WHERE run = $1 AND item = $2";

} // namespace

ProxyAcceptanceRun::ProxyAcceptanceRun(Checks& aChecks,
                                       PgTarget aFirst,
                                       PgTarget aSecond,
                                       std::string aRunName)
  : checks(aChecks)
  , first(std::move(aFirst))
  , second(std::move(aSecond))
  , runName(std::move(aRunName))
{
}

void ProxyAcceptanceRun::RunAll()
{
  this->CheckRequestId();
  this->CheckRequestIdInTransaction();
  this->CheckReadYourWrites();
  this->CheckUnknownClass();
}

std::string ProxyAcceptanceRun::CountOf(const std::string& aItem)
{
  return PgConnection(this->first).Execute(kCountItem, { this->runName, aItem }).Value();
}

void ProxyAcceptanceRun::CheckRequestId()
{
  this->checks.BeginGroup("request id");
  const std::string set = "SET oleanderledge.request_id = '" + this->runName + "-1'";
  for (const PgTarget& target : { this->first, this->second }) {
    PgConnection connection(target);
    this->checks.AreEqual("set", connection.Query(set).tag, "SET");
    this->checks.AreEqual(
      "insert", connection.Execute(kInsert, { this->runName, "request" }).tag, "INSERT 0 1");
  }
  this->checks.AreEqual("stored once", this->CountOf("request"), "1");
}

void ProxyAcceptanceRun::CheckRequestIdInTransaction()
{
  this->checks.BeginGroup("request id in a transaction");
  const std::string set = "SET oleanderledge.request_id = '" + this->runName + "-2'";
  PgConnection connection(this->first);
  connection.Query(set);
  connection.Query("BEGIN");
  connection.Execute(kInsert, { this->runName, "request in transaction" });
  this->checks.AreEqual("commit", connection.Query("COMMIT").tag, "COMMIT");
  connection.Query(set);
  std::string sqlstate = connection.Query("BEGIN").sqlstate;
  if (sqlstate.empty()) {
    sqlstate = connection.Execute(kInsert, { this->runName, "request in transaction" }).sqlstate;
  }
  this->checks.AreEqual("known id", sqlstate, "OL205");
  connection.Query("ROLLBACK");
  this->checks.AreEqual("stored once", this->CountOf("request in transaction"), "1");
}

void ProxyAcceptanceRun::CheckReadYourWrites()
{
  this->checks.BeginGroup("read your writes");
  const std::string session = "-c oleanderledge.session=" + this->runName;
  PgConnection writer(this->first, session);
  PgConnection reader(this->second, session + " -c default_transaction_read_only=on");
  for (int round = 1; round <= 20; ++round) {
    writer.Execute(kInsert, { this->runName, "session" });
    this->checks.AreEqual("seen through the other proxy",
                          reader.Execute(kCountItem, { this->runName, "session" }).Value(),
                          std::to_string(round));
  }
}

void ProxyAcceptanceRun::CheckUnknownClass()
{
  this->checks.BeginGroup("unknown class");
  PgConnection connection(this->first);
  std::string sqlstate = connection.Query("SET oleanderledge.class = 'no_such_class'").sqlstate;
  if (sqlstate.empty()) {
    sqlstate = connection.Query("SELECT 1").sqlstate;
  }
  this->checks.AreEqual("refused", sqlstate, "22023");
}

} // namespace oleanderledge::acceptance
