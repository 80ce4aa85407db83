#include "oleanderledge/control/internal/BackendCall.hpp"

#include <charconv>
#include <string_view>

namespace oleanderledge {

namespace {

bool ParseNumber(std::string_view aText, std::uint64_t& aNumber)
{
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size();
}

/// Text of a column in the first row; empty if there is no such column.
std::string_view ColumnText(const PGresult* aResult, const char* aColumn)
{
  const int column = PQfnumber(aResult, aColumn);
  return column < 0 ? std::string_view{} : std::string_view(PQgetvalue(aResult, 0, column));
}

} // namespace

Result<PlatformStatus> ReadPlatformStatus(const PGresult* aResult)
{
  if (PQresultStatus(aResult) != PGRES_TUPLES_OK || PQntuples(aResult) != 1) {
    return Fail(ResultCode::BackendConnectionLost,
                "the backend server did not return exactly one row");
  }
  std::string_view role = ColumnText(aResult, "role");
  std::string_view term = ColumnText(aResult, "term");
  if (PQnfields(aResult) == 1) {
    std::string_view composite = PQgetvalue(aResult, 0, 0);
    const std::size_t comma = composite.find(',');
    if (composite.size() < 2 || comma == std::string_view::npos) {
      return Fail(ResultCode::BackendConnectionLost,
                  "the returned value is not of the form (role,term)");
    }
    role = composite.substr(1, comma - 1);
    term = composite.substr(comma + 1, composite.size() - comma - 2);
  }
  PlatformStatus status;
  status.isPrimary = role == "primary";
  const std::string_view received = ColumnText(aResult, "received");
  const std::string_view applied = ColumnText(aResult, "applied");
  if (!ParseNumber(term, status.term) ||
      (!received.empty() && !ParseNumber(received, status.received)) ||
      (!applied.empty() && !ParseNumber(applied, status.applied))) {
    return Fail(ResultCode::BackendConnectionLost, "term, received or applied is not a number");
  }
  return status;
}

BackendCall::BackendCall(std::string aConnectionString,
                         std::string aQuery,
                         Duration aTimeout,
                         BackendAdmin::Callback aCallback,
                         QObject* aParent)
  : QObject(aParent)
  , connectionString(std::move(aConnectionString))
  , query(std::move(aQuery))
  , callback(std::move(aCallback))
{
  this->timeout.setSingleShot(true);
  QObject::connect(&this->timeout, &QTimer::timeout, this, [this] {
    this->Finish(Fail(ResultCode::BackendConnectionLost, "the call timed out"));
  });
  this->timeout.start(std::chrono::ceil<std::chrono::milliseconds>(aTimeout));
  QMetaObject::invokeMethod(this, &BackendCall::StartConnecting, Qt::QueuedConnection);
}

BackendCall::~BackendCall()
{
  this->notifier.reset();
  if (this->connection != nullptr) {
    PQfinish(this->connection);
  }
}

void BackendCall::StartConnecting()
{
  if (this->isDone) {
    return;
  }
  this->connection = PQconnectStart(this->connectionString.c_str());
  if (this->connection == nullptr || PQstatus(this->connection) == CONNECTION_BAD) {
    this->FinishWithError();
    return;
  }
  this->WaitForSocket(QSocketNotifier::Write);
}

void BackendCall::WaitForSocket(QSocketNotifier::Type aType)
{
  // This function may run inside a signal of the old notifier, so that one is deleted later.
  if (this->notifier) {
    this->notifier->setEnabled(false);
    this->notifier.release()->deleteLater();
  }
  this->notifier = std::make_unique<QSocketNotifier>(PQsocket(this->connection), aType);
  QObject::connect(
    this->notifier.get(), &QSocketNotifier::activated, this, [this] { this->OnSocketReady(); });
}

void BackendCall::OnSocketReady()
{
  if (this->isDone) {
    return;
  }
  if (this->isConnected) {
    this->ContinueQuery();
  } else {
    this->ContinueConnecting();
  }
}

void BackendCall::ContinueConnecting()
{
  switch (PQconnectPoll(this->connection)) {
    case PGRES_POLLING_READING:
      this->WaitForSocket(QSocketNotifier::Read);
      return;
    case PGRES_POLLING_WRITING:
      this->WaitForSocket(QSocketNotifier::Write);
      return;
    case PGRES_POLLING_OK:
      this->isConnected = true;
      this->SendQuery();
      return;
    default:
      this->FinishWithError();
      return;
  }
}

void BackendCall::SendQuery()
{
  // The query is far smaller than a socket buffer, so flushing it never blocks.
  if (PQsendQuery(this->connection, this->query.c_str()) != 1) {
    this->FinishWithError();
    return;
  }
  this->WaitForSocket(QSocketNotifier::Read);
}

void BackendCall::ContinueQuery()
{
  if (PQconsumeInput(this->connection) != 1) {
    this->FinishWithError();
    return;
  }
  if (PQisBusy(this->connection) != 0) {
    return;
  }
  const std::unique_ptr<PGresult, decltype(&PQclear)> result(PQgetResult(this->connection),
                                                             &PQclear);
  if (!result || PQresultStatus(result.get()) != PGRES_TUPLES_OK) {
    this->FinishWithError();
    return;
  }
  this->Finish(ReadPlatformStatus(result.get()));
}

void BackendCall::FinishWithError()
{
  const char* text = this->connection == nullptr ? "" : PQerrorMessage(this->connection);
  this->Finish(Fail(ResultCode::BackendConnectionLost, text));
}

void BackendCall::Finish(const Result<PlatformStatus>& aResult)
{
  if (this->isDone) {
    return;
  }
  this->isDone = true;
  this->timeout.stop();
  if (this->notifier) {
    this->notifier->setEnabled(false);
  }
  this->deleteLater();
  this->callback(aResult);
}

} // namespace oleanderledge
