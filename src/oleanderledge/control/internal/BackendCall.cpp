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

std::string_view TextOf(const PGresult* aResult, const char* aColumn)
{
  const int column = PQfnumber(aResult, aColumn);
  return column < 0 ? std::string_view{} : std::string_view(PQgetvalue(aResult, 0, column));
}

} // namespace

Result<PlatformStatus> ReadPlatformStatus(const PGresult* aResult)
{
  if (PQresultStatus(aResult) != PGRES_TUPLES_OK || PQntuples(aResult) != 1) {
    return Fail(ResultCode::BackendConnectionLost, "the answer is not one row");
  }
  std::string_view role = TextOf(aResult, "role");
  std::string_view term = TextOf(aResult, "term");
  if (PQnfields(aResult) == 1) {
    std::string_view composite = PQgetvalue(aResult, 0, 0);
    const std::size_t comma = composite.find(',');
    if (composite.size() < 2 || comma == std::string_view::npos) {
      return Fail(ResultCode::BackendConnectionLost, "the answer is not a row of role and term");
    }
    role = composite.substr(1, comma - 1);
    term = composite.substr(comma + 1, composite.size() - comma - 2);
  }
  PlatformStatus status;
  status.isPrimary = role == "primary";
  const std::string_view received = TextOf(aResult, "received");
  const std::string_view applied = TextOf(aResult, "applied");
  if (!ParseNumber(term, status.term) ||
      (!received.empty() && !ParseNumber(received, status.received)) ||
      (!applied.empty() && !ParseNumber(applied, status.applied))) {
    return Fail(ResultCode::BackendConnectionLost, "the answer has a malformed number");
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
  QMetaObject::invokeMethod(this, &BackendCall::Begin, Qt::QueuedConnection);
}

BackendCall::~BackendCall()
{
  this->notifier.reset();
  if (this->connection != nullptr) {
    PQfinish(this->connection);
  }
}

void BackendCall::Begin()
{
  if (this->isDone) {
    return;
  }
  this->connection = PQconnectStart(this->connectionString.c_str());
  if (this->connection == nullptr || PQstatus(this->connection) == CONNECTION_BAD) {
    this->FinishWithError();
    return;
  }
  this->WaitFor(QSocketNotifier::Write);
}

void BackendCall::WaitFor(QSocketNotifier::Type aType)
{
  // Called from the notifier's own signal, so the old one must outlive this call.
  if (this->notifier) {
    this->notifier->setEnabled(false);
    this->notifier.release()->deleteLater();
  }
  this->notifier = std::make_unique<QSocketNotifier>(PQsocket(this->connection), aType);
  QObject::connect(
    this->notifier.get(), &QSocketNotifier::activated, this, [this] { this->Continue(); });
}

void BackendCall::Continue()
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
      this->WaitFor(QSocketNotifier::Read);
      return;
    case PGRES_POLLING_WRITING:
      this->WaitFor(QSocketNotifier::Write);
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
  this->WaitFor(QSocketNotifier::Read);
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
