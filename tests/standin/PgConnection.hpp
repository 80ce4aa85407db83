#pragma once

#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge::stand_in {

/// The result of one statement, as libpq reports it.
struct PgResult
{
  std::string sqlstate; ///< Empty on success; "lost" if the server sent none.
  std::string message;
  std::string tag;
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows; ///< NULL is "<null>".

  /// The only value of a result with one row and one column, or the SQLSTATE of an error;
  /// otherwise "<no value>".
  std::string Value() const;
};

PgResult ReadResult(const PGresult* aResult);

/// Address, database and user of a connection.
struct PgTarget
{
  std::string host = "127.0.0.1";
  int port = 0;
  std::string database = "orders-1";
  std::string user = "counter";
};

/// A blocking libpq connection.
class PgConnection
{
public:
  /// `aOptions` is the start-up parameter `options`.
  explicit PgConnection(const PgTarget& aTarget, const std::string& aOptions = {});
  /// Connects to the database "orders-1" of a stand-in.
  explicit PgConnection(int aPort, const std::string& aOptions = {})
    : PgConnection(PgTarget{ "127.0.0.1", aPort, "orders-1", "counter" }, aOptions)
  {
  }

  PgResult Query(const std::string& aSql);
  /// Runs one statement with text parameters through the extended protocol.
  PgResult Execute(const std::string& aSql, const std::vector<std::string>& aParameters);
  /// Sends without waiting; the result is read with Finish().
  void Start(const std::string& aSql);
  PgResult Finish();

  bool IsOpen() const { return PQstatus(this->Raw()) == CONNECTION_OK; }
  std::string Error() const { return PQerrorMessage(this->Raw()); }
  PGTransactionStatusType Status() const { return PQtransactionStatus(this->Raw()); }
  PGconn* Raw() const { return this->connection.get(); }

private:
  std::unique_ptr<PGconn, void (*)(PGconn*)> connection;
};

} // namespace oleanderledge::stand_in
