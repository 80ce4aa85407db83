#include "StatementRunner.hpp"

#include <charconv>
#include <chrono>
#include <cmath>

namespace oleanderledge::stand_in {

namespace {

/// Longest wait for the writer token; afterwards the statement fails with 55P03 (lock not
/// available).
constexpr int kTokenTimeoutMs = 2000;
constexpr double kMaxSleepSeconds = 3600;

std::string TagOf(const Statement& aStatement, const StatementResult& aResult)
{
  const std::string& verb = aStatement.verb;
  if (verb == "INSERT" || verb == "REPLACE") {
    return "INSERT 0 " + std::to_string(aResult.changes);
  }
  if (verb == "UPDATE" || verb == "DELETE") {
    return verb + " " + std::to_string(aResult.changes);
  }
  if (!aResult.columns.empty()) {
    return "SELECT " + std::to_string(aResult.rows.size());
  }
  return verb;
}

StatementResult OneRow(std::vector<std::string> aColumns,
                       std::vector<std::optional<std::string>> aRow,
                       std::string aTag)
{
  StatementResult result;
  result.columns = std::move(aColumns);
  result.rows.push_back(std::move(aRow));
  result.tag = std::move(aTag);
  return result;
}

} // namespace

StatementRunner::StatementRunner(SlotContext& aContext, QObject* aParent)
  : QObject(aParent)
  , context(aContext)
{
  this->delayTimer.setSingleShot(true);
  this->delayTimer.setTimerType(Qt::PreciseTimer);
  this->tokenTimer.setSingleShot(true);
  QObject::connect(&this->delayTimer, &QTimer::timeout, this, &StatementRunner::DelayEnded);
  QObject::connect(&this->tokenTimer, &QTimer::timeout, this, &StatementRunner::TokenTimedOut);
}

StatementRunner::~StatementRunner()
{
  this->Stop();
}

void StatementRunner::Run(const Statement& aStatement, const Parameters& aParameters, Done aDone)
{
  this->statement = aStatement;
  this->parameters = aParameters;
  this->done = std::move(aDone);
  if (this->statement.kind == StatementKind::Empty) {
    this->Finish({});
    return;
  }
  if (this->RunTransactionStatement()) {
    return;
  }
  if (this->transactionFailed) {
    this->FinishWithError("25P02",
                          "current transaction is aborted, commands ignored until end of "
                          "transaction block");
    return;
  }
  if (!this->transactionOpen) {
    this->transactionOpen = true;
    this->settingsAtBegin = this->settings;
  }
  if (this->RunSettingStatement()) {
    return;
  }
  switch (this->statement.kind) {
    case StatementKind::PlatformStatus:
      this->RunPlatformStatus();
      return;
    case StatementKind::PlatformPromote:
      this->RunPlatformPromote();
      return;
    case StatementKind::Sleep:
      this->RunSleep();
      return;
    case StatementKind::Copy:
      this->FinishWithError("0A000", "COPY is not supported");
      return;
    case StatementKind::Unsupported:
      this->FinishWithError("0A000", this->statement.verb + " is not supported");
      return;
    default:
      this->StartDelay(this->context.settings.serviceMs);
      return;
  }
}

StatementShape StatementRunner::Describe(const Statement& aStatement)
{
  StatementShape shape;
  switch (aStatement.kind) {
    case StatementKind::Sql: {
      SqliteDatabase& database =
        this->HoldsToken() ? this->context.store.Working() : this->context.store.Committed();
      return database.Describe(aStatement.sql);
    }
    case StatementKind::Show:
      shape.columns = { aStatement.name };
      break;
    case StatementKind::PlatformStatus:
      shape.columns = { "role", "term", "received", "applied" };
      break;
    case StatementKind::PlatformPromote:
      shape.columns = { "role", "term" };
      shape.parameterCount = aStatement.value.starts_with('$') ? 1 : 0;
      break;
    case StatementKind::Sleep:
      shape.columns = { "pg_sleep" };
      shape.parameterCount = aStatement.value.starts_with('$') ? 1 : 0;
      break;
    default:
      break;
  }
  return shape;
}

std::optional<SqlError> StatementRunner::EndBatch()
{
  if (!this->transactionOpen || this->isExplicit) {
    return std::nullopt;
  }
  if (this->transactionFailed) {
    this->Rollback();
    return std::nullopt;
  }
  return this->Commit();
}

void StatementRunner::Cancel()
{
  if (!this->done) {
    return;
  }
  this->FinishWithError("57014", "canceling statement due to user request");
}

void StatementRunner::Stop()
{
  if (this->stopped) {
    return;
  }
  this->stopped = true;
  this->delayTimer.stop();
  this->tokenTimer.stop();
  this->done = nullptr;
  this->Rollback();
}

void StatementRunner::Thaw()
{
  if (this->delayEndedWhileFrozen) {
    this->delayEndedWhileFrozen = false;
    this->ContinueAfterDelay();
  }
  if (this->grantedWhileFrozen) {
    this->grantedWhileFrozen = false;
    this->Execute();
  }
}

void StatementRunner::FailTransaction()
{
  if (this->transactionOpen) {
    this->transactionFailed = true;
  }
}

char StatementRunner::Status() const
{
  if (!this->transactionOpen || !this->isExplicit) {
    return 'I';
  }
  return this->transactionFailed ? 'E' : 'T';
}

// --- Timing --------------------------------------------------------------------------------------

void StatementRunner::StartDelay(double aMilliseconds)
{
  const auto wait = std::chrono::milliseconds(std::llround(aMilliseconds));
  if (wait.count() <= 0) {
    this->ContinueAfterDelay();
    return;
  }
  this->delayTimer.start(wait);
}

void StatementRunner::DelayEnded()
{
  if (this->context.frozen) {
    this->delayEndedWhileFrozen = true;
    return;
  }
  this->ContinueAfterDelay();
}

void StatementRunner::ContinueAfterDelay()
{
  if (this->statement.kind == StatementKind::Sleep) {
    this->Finish(OneRow({ "pg_sleep" }, { "" }, "SELECT 1"));
    return;
  }
  const StatementShape shape = this->Describe(this->statement);
  if (shape.error) {
    this->FinishWithError(shape.error->sqlstate, shape.error->message);
    return;
  }
  if (shape.readOnly) {
    this->Execute();
    return;
  }
  if (this->IsReadOnly()) {
    this->FinishWithError("25006",
                          "cannot execute " + this->statement.verb + " in a read-only transaction");
    return;
  }
  if (this->HoldsToken()) {
    this->Execute();
    return;
  }
  if (this->context.writerToken.TryAcquire(this)) {
    this->context.store.BeginWrite();
    this->Execute();
    return;
  }
  this->tokenTimer.start(kTokenTimeoutMs);
  this->context.writerToken.Enqueue(this, [this] {
    this->tokenTimer.stop();
    this->context.store.BeginWrite();
    if (this->context.frozen) {
      this->grantedWhileFrozen = true;
      return;
    }
    this->Execute();
  });
}

void StatementRunner::TokenTimedOut()
{
  this->context.writerToken.Release(this);
  this->FinishWithError("55P03", "canceling statement due to lock timeout");
}

void StatementRunner::Execute()
{
  const bool writes = this->HoldsToken();
  // The slot can have become a replica while this statement waited.
  if (writes && !this->context.store.IsPrimary()) {
    this->FinishWithError("25006", "this server is a replica");
    return;
  }
  SqliteDatabase& database =
    writes ? this->context.store.Working() : this->context.store.Committed();
  StatementResult result = database.Execute(this->statement.sql, this->parameters);
  if (!result.error) {
    result.tag = TagOf(this->statement, result);
    if (writes && result.isWrite) {
      this->context.store.RecordWrite(this->statement.sql, this->parameters);
    }
  }
  this->Finish(std::move(result));
}

void StatementRunner::Finish(StatementResult aResult)
{
  this->delayTimer.stop();
  this->tokenTimer.stop();
  this->delayEndedWhileFrozen = false;
  this->grantedWhileFrozen = false;
  if (aResult.error) {
    this->FailTransaction();
    if (!this->HoldsToken()) {
      this->context.writerToken.Release(this); // Removes a cancelled statement from the queue.
    }
  }
  const Done callback = std::exchange(this->done, nullptr);
  if (callback) {
    callback(std::move(aResult));
  }
}

void StatementRunner::FinishWithError(std::string aSqlstate, std::string aMessage)
{
  StatementResult result;
  result.error = SqlError{ std::move(aSqlstate), std::move(aMessage) };
  this->Finish(std::move(result));
}

void StatementRunner::FinishWithTag(std::string aTag)
{
  StatementResult result;
  result.tag = std::move(aTag);
  this->Finish(std::move(result));
}

// --- Transactions --------------------------------------------------------------------------------

bool StatementRunner::RunTransactionStatement()
{
  switch (this->statement.kind) {
    case StatementKind::Begin:
      if (this->transactionFailed) {
        return false;
      }
      this->RunBegin();
      return true;
    case StatementKind::Commit:
      this->RunCommit();
      return true;
    case StatementKind::Rollback: {
      StatementResult result;
      result.tag = "ROLLBACK";
      if (!this->isExplicit) {
        result.notice = "there is no transaction in progress";
      }
      this->Rollback();
      this->Finish(std::move(result));
      return true;
    }
    case StatementKind::RollbackToSavepoint:
      this->RunSavepoint();
      return true;
    case StatementKind::Savepoint:
    case StatementKind::ReleaseSavepoint:
      if (this->transactionFailed) {
        return false;
      }
      this->RunSavepoint();
      return true;
    default:
      return false;
  }
}

void StatementRunner::RunBegin()
{
  StatementResult result;
  result.tag = this->statement.verb == "START" ? "START TRANSACTION" : "BEGIN";
  if (this->isExplicit) {
    result.notice = "there is already a transaction in progress";
  }
  if (!this->transactionOpen) {
    this->settingsAtBegin = this->settings;
  }
  this->transactionOpen = true;
  this->isExplicit = true;
  if (this->statement.readOnly) {
    this->transactionReadOnly = this->statement.readOnly;
  }
  this->Finish(std::move(result));
}

void StatementRunner::RunCommit()
{
  StatementResult result;
  if (!this->isExplicit) {
    result.notice = "there is no transaction in progress";
  }
  if (this->transactionFailed) {
    this->Rollback();
    result.tag = "ROLLBACK";
    this->Finish(std::move(result));
    return;
  }
  result.error = this->Commit();
  result.tag = "COMMIT";
  this->Finish(std::move(result));
}

void StatementRunner::RunSavepoint()
{
  const bool toSavepoint = this->statement.kind == StatementKind::RollbackToSavepoint;
  const std::string tag = toSavepoint ? "ROLLBACK" : this->statement.verb;
  if (!this->isExplicit) {
    this->FinishWithError("25P01", tag + " can only be used in transaction blocks");
    return;
  }
  if (!this->HoldsToken() && !this->IsReadOnly() &&
      this->statement.kind == StatementKind::Savepoint) {
    if (!this->context.writerToken.TryAcquire(this)) {
      this->FinishWithError("55P03", "another transaction is writing");
      return;
    }
    this->context.store.BeginWrite();
  }
  StatementResult result;
  if (this->HoldsToken()) {
    const std::string sql = (toSavepoint ? "ROLLBACK TO " : this->statement.verb + " ") + "\"" +
                            this->statement.name + "\"";
    result = this->context.store.Working().Execute(sql);
    if (result.error) {
      result.error->sqlstate = "3B001";
      this->Finish(std::move(result));
      return;
    }
    this->context.store.RecordWrite(sql, {});
  }
  if (toSavepoint) {
    this->transactionFailed = false;
  }
  result.tag = tag;
  this->Finish(std::move(result));
}

bool StatementRunner::IsReadOnly() const
{
  return !this->context.store.IsPrimary() ||
         this->transactionReadOnly.value_or(this->settings.IsOn("default_transaction_read_only"));
}

std::optional<SqlError> StatementRunner::Commit()
{
  std::optional<SqlError> error;
  if (this->HoldsToken()) {
    if (this->context.store.IsPrimary()) {
      error = this->context.store.CommitWrite();
    } else {
      this->context.store.RollbackWrite();
      error = SqlError{ "25006", "this server is a replica" };
    }
  }
  if (this->hasLocalSettings) {
    this->settings = this->settingsWithoutLocal;
  }
  this->CloseTransaction();
  return error;
}

void StatementRunner::Rollback()
{
  if (this->HoldsToken()) {
    this->context.store.RollbackWrite();
  }
  if (this->transactionOpen) {
    this->settings = this->settingsAtBegin;
  }
  this->CloseTransaction();
}

void StatementRunner::CloseTransaction()
{
  this->context.writerToken.Release(this);
  this->transactionOpen = false;
  this->isExplicit = false;
  this->transactionFailed = false;
  this->hasLocalSettings = false;
  this->transactionReadOnly.reset();
}

// --- Settings ------------------------------------------------------------------------------------

bool StatementRunner::RunSettingStatement()
{
  switch (this->statement.kind) {
    case StatementKind::Set:
      this->RunSet();
      return true;
    case StatementKind::SetTransaction:
    case StatementKind::SetSessionCharacteristics:
      this->RunSetTransaction();
      return true;
    case StatementKind::Show:
      this->RunShow();
      return true;
    case StatementKind::Reset: {
      std::optional<SqlError> error;
      if (this->statement.name == "all") {
        this->settings.ResetAll();
      } else {
        error = this->settings.Reset(this->statement.name);
      }
      StatementResult result;
      result.tag = "RESET";
      result.error = error;
      this->Finish(std::move(result));
      return true;
    }
    case StatementKind::Discard:
      if (this->isExplicit) {
        this->FinishWithError("25001", "DISCARD ALL cannot run inside a transaction block");
        return true;
      }
      if (this->statement.name == "ALL") {
        this->settings.ResetAll();
      }
      this->FinishWithTag("DISCARD " + this->statement.name);
      return true;
    case StatementKind::Deallocate:
      this->FinishWithTag(this->statement.name == "ALL" ? "DEALLOCATE ALL" : "DEALLOCATE");
      return true;
    default:
      return false;
  }
}

void StatementRunner::RunSet()
{
  const std::string& name = this->statement.name;
  if (name.empty()) {
    this->FinishWithError("42601", "syntax error in SET");
    return;
  }
  StatementResult result;
  result.tag = "SET";
  if (name == "transaction_read_only") {
    this->transactionReadOnly = this->statement.value == "on" || this->statement.value == "true";
    this->Finish(std::move(result));
    return;
  }
  if (this->statement.isLocal && !this->hasLocalSettings) {
    this->settingsWithoutLocal = this->settings;
    this->hasLocalSettings = true;
  }
  result.error = this->statement.toDefault ? this->settings.Reset(name)
                                           : this->settings.Set(name, this->statement.value);
  if (!result.error && this->hasLocalSettings && !this->statement.isLocal) {
    this->settingsWithoutLocal.Set(name, this->statement.value);
  }
  this->Finish(std::move(result));
}

void StatementRunner::RunSetTransaction()
{
  if (this->statement.readOnly && this->statement.kind == StatementKind::SetTransaction) {
    this->transactionReadOnly = this->statement.readOnly;
  } else if (this->statement.readOnly) {
    this->settings.Set("default_transaction_read_only", *this->statement.readOnly ? "on" : "off");
  }
  this->FinishWithTag("SET");
}

void StatementRunner::RunShow()
{
  const std::string& name = this->statement.name;
  std::optional<std::string> value = this->settings.Find(name);
  if (name == "transaction_read_only") {
    value = this->IsReadOnly() ? "on" : "off";
  }
  if (!value) {
    this->FinishWithError("42704", "unrecognized configuration parameter \"" + name + "\"");
    return;
  }
  this->Finish(OneRow({ name }, { value }, "SHOW"));
}

// --- Functions -----------------------------------------------------------------------------------

std::string StatementRunner::ArgumentOrParameter() const
{
  if (!this->statement.value.starts_with('$')) {
    return this->statement.value;
  }
  return this->parameters.empty() ? std::string() : this->parameters.front().value_or("");
}

void StatementRunner::RunPlatformStatus()
{
  const SlotStore& store = this->context.store;
  this->Finish(OneRow({ "role", "term", "received", "applied" },
                      { store.IsPrimary() ? "primary" : "replica",
                        std::to_string(store.Term()),
                        std::to_string(store.Received()),
                        std::to_string(store.Applied()) },
                      "SELECT 1"));
}

void StatementRunner::RunPlatformPromote()
{
  const std::string argument = this->ArgumentOrParameter();
  std::uint64_t term = 0;
  const auto parsed = std::from_chars(argument.data(), argument.data() + argument.size(), term);
  if (parsed.ec != std::errc{} || parsed.ptr != argument.data() + argument.size()) {
    this->FinishWithError("22P02", "the term is not a number");
    return;
  }
  if (const auto error = this->context.store.Promote(term)) {
    this->FinishWithError(error->sqlstate, error->message);
    return;
  }
  this->Finish(OneRow(
    { "role", "term" }, { "primary", std::to_string(this->context.store.Term()) }, "SELECT 1"));
}

void StatementRunner::RunSleep()
{
  const std::string argument = this->ArgumentOrParameter();
  double seconds = 0;
  const auto parsed = std::from_chars(argument.data(), argument.data() + argument.size(), seconds);
  if (parsed.ec != std::errc{} || !(seconds >= 0 && seconds <= kMaxSleepSeconds)) {
    this->FinishWithError("22P02", "the duration is not a number of seconds");
    return;
  }
  this->StartDelay(seconds * 1000);
}

} // namespace oleanderledge::stand_in
