#include "PgConnection.hpp"

namespace oleanderledge::stand_in {

namespace {

struct ResultDeleter
{
  void operator()(PGresult* aResult) const { PQclear(aResult); }
};

using OwnedResult = std::unique_ptr<PGresult, ResultDeleter>;

} // namespace

std::string PgResult::Value() const
{
  if (!this->sqlstate.empty()) {
    return this->sqlstate;
  }
  return this->rows.size() == 1 && this->rows[0].size() == 1 ? this->rows[0][0] : "<no value>";
}

PgResult ReadResult(const PGresult* aResult)
{
  PgResult result;
  const ExecStatusType status = PQresultStatus(aResult);
  if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK && status != PGRES_EMPTY_QUERY) {
    const char* sqlstate = PQresultErrorField(aResult, PG_DIAG_SQLSTATE);
    result.sqlstate = sqlstate == nullptr ? "lost" : sqlstate;
    result.message = PQresultErrorMessage(aResult);
    return result;
  }
  result.columns.reserve(static_cast<std::size_t>(PQnfields(aResult)));
  result.tag = PQcmdStatus(const_cast<PGresult*>(aResult));
  for (int column = 0; column < PQnfields(aResult); ++column) {
    result.columns.emplace_back(PQfname(aResult, column));
  }
  for (int row = 0; row < PQntuples(aResult); ++row) {
    std::vector<std::string> values;
    values.reserve(static_cast<std::size_t>(PQnfields(aResult)));
    for (int column = 0; column < PQnfields(aResult); ++column) {
      values.emplace_back(
        PQgetisnull(aResult, row, column) != 0 ? "<null>" : PQgetvalue(aResult, row, column));
    }
    result.rows.push_back(std::move(values));
  }
  return result;
}

PgConnection::PgConnection(const PgTarget& aTarget, const std::string& aOptions)
  : connection(nullptr, &PQfinish)
{
  const std::string port = std::to_string(aTarget.port);
  const char* const names[] = { "host",    "port",       "dbname",          "user",
                                "options", "gssencmode", "connect_timeout", nullptr };
  const char* const values[] = { aTarget.host.c_str(),
                                 port.c_str(),
                                 aTarget.database.c_str(),
                                 aTarget.user.c_str(),
                                 aOptions.c_str(),
                                 "disable",
                                 "10",
                                 nullptr };
  this->connection.reset(PQconnectdbParams(names, values, 0));
}

PgResult PgConnection::Query(const std::string& aSql)
{
  const OwnedResult result(PQexec(this->Raw(), aSql.c_str()));
  return ReadResult(result.get());
}

PgResult PgConnection::Execute(const std::string& aSql, const std::vector<std::string>& aParameters)
{
  std::vector<const char*> values;
  values.reserve(aParameters.size());
  for (const std::string& parameter : aParameters) {
    values.push_back(parameter.c_str());
  }
  const OwnedResult result(PQexecParams(this->Raw(),
                                        aSql.c_str(),
                                        static_cast<int>(values.size()),
                                        nullptr,
                                        values.data(),
                                        nullptr,
                                        nullptr,
                                        0));
  return ReadResult(result.get());
}

void PgConnection::Start(const std::string& aSql)
{
  PQsendQuery(this->Raw(), aSql.c_str());
}

PgResult PgConnection::Finish()
{
  PgResult last;
  while (true) {
    const OwnedResult result(PQgetResult(this->Raw()));
    if (!result) {
      return last;
    }
    last = ReadResult(result.get());
  }
}

} // namespace oleanderledge::stand_in
