#include "benchmarks/order_probe/OrderProbe.hpp"

#include <libpq-fe.h>

#include <algorithm>
#include <thread>

namespace oleanderledge::benchmark {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(10);
constexpr char kConnectTimeoutS[] = "2";

} // namespace

OrderProbe::OrderProbe(std::vector<std::string> aTargets,
                       std::string aDatabase,
                       std::string aPrefix)
  : targets(std::move(aTargets))
  , database(std::move(aDatabase))
  , prefix(std::move(aPrefix))
{
}

OrderProbe::~OrderProbe()
{
  this->CloseConnection(this->writer);
  this->CloseConnection(this->reader);
}

void OrderProbe::CloseConnection(pg_conn*& aConnection)
{
  PQfinish(aConnection);
  aConnection = nullptr;
}

bool OrderProbe::EnsureConnected(pg_conn*& aConnection, const std::string& aOptions)
{
  // Consumes pending input to detect a session that the proxy closed while it was idle. Such a
  // session is not used, and a request on it is not counted as interrupted.
  if (aConnection != nullptr && PQconsumeInput(aConnection) == 1 &&
      PQstatus(aConnection) == CONNECTION_OK) {
    return true;
  }
  this->CloseConnection(aConnection);
  const std::string& target = this->targets[this->nextTarget++ % this->targets.size()];
  const std::size_t colon = target.rfind(':');
  const std::string host = target.substr(0, colon);
  const std::string port = target.substr(colon + 1);
  const char* const keys[] = { "host",    "port", "dbname", "user", "connect_timeout",
                               "options", nullptr };
  const char* const values[] = { host.c_str(), port.c_str(),     this->database.c_str(),
                                 "probe",      kConnectTimeoutS, aOptions.c_str(),
                                 nullptr };
  aConnection = PQconnectdbParams(keys, values, 0);
  return PQstatus(aConnection) == CONNECTION_OK;
}

OrderProbe::Attempt OrderProbe::Execute(const std::string& aSql)
{
  PGresult* answer = PQexec(this->writer, aSql.c_str());
  const bool succeeded = PQresultStatus(answer) == PGRES_COMMAND_OK;
  const std::string message = PQresultErrorMessage(answer);
  PQclear(answer);
  return { succeeded, message.find("not run") != std::string::npos };
}

OrderProbe::Attempt OrderProbe::TryOrder(const std::string& aNumber)
{
  if (!this->EnsureConnected(this->writer, "-c oleanderledge.class=bookings")) {
    return { false, true };
  }
  const std::string set = "SET oleanderledge.request_id = '" + aNumber + "'";
  const std::string insert =
    "INSERT INTO orders (order_number, item, quantity) VALUES ('" + aNumber + "', 'probe', 1)";
  // If the setting is rejected, for example because the proxy closed the idle session, the order
  // has not been sent.
  if (!this->Execute(set).confirmed) {
    return { false, true };
  }
  return this->Execute(insert);
}

void OrderProbe::ReadOnce(ProbeResult& aResult)
{
  const Instant started = MonotonicNow();
  bool succeeded = false;
  if (this->EnsureConnected(this->reader,
                            "-c oleanderledge.class=lookups -c oleanderledge.accepted_age=30000 "
                            "-c default_transaction_read_only=on")) {
    PGresult* answer = PQexec(this->reader, "SELECT count(*) FROM orders");
    succeeded = PQresultStatus(answer) == PGRES_TUPLES_OK && PQntuples(answer) == 1;
    PQclear(answer);
  }
  aResult.failedReads += succeeded ? 0 : 1;
  aResult.longestRead = std::max<Duration>(aResult.longestRead, MonotonicNow() - started);
}

ProbeResult OrderProbe::Run(Duration aLength, Duration aInterval, Duration aGiveUpAfter)
{
  ProbeResult result;
  const Instant end = MonotonicNow() + aLength;
  Instant lastConfirmed = MonotonicNow();
  std::uint64_t number = 0;
  while (MonotonicNow() < end) {
    const std::string order = this->prefix + "-" + std::to_string(++number);
    while (true) {
      const Attempt attempt = this->TryOrder(order);
      if (attempt.confirmed) {
        break;
      }
      ++result.resends;
      ++(attempt.notRun ? result.refused : result.unknown);
      if (MonotonicNow() - lastConfirmed > aGiveUpAfter) {
        result.longestGap = MonotonicNow() - lastConfirmed;
        return result;
      }
      std::this_thread::sleep_for(kRetryPause);
    }
    result.confirmed.push_back(order);
    result.longestGap = std::max<Duration>(result.longestGap, MonotonicNow() - lastConfirmed);
    this->ReadOnce(result);
    // The gap is measured from the end of the read, so that slow reads do not count as slow writes.
    lastConfirmed = MonotonicNow();
    std::this_thread::sleep_for(aInterval);
  }
  return result;
}

} // namespace oleanderledge::benchmark
