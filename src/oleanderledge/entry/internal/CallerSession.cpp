#include "oleanderledge/entry/internal/CallerSession.hpp"

#include "oleanderledge/entry/internal/CallerErrors.hpp"

#include <algorithm>
#include <array>

namespace oleanderledge {

namespace {

/// Part of a link frame that is reserved for fields other than the payload and the prepared
/// statements.
constexpr std::size_t kFrameReserveBytes = std::size_t{ 64 } * 1024;

/// Limit on the total size of names and values of the backend settings of one session.
constexpr std::size_t kMaxBackendSettingBytes = std::size_t{ 32 } * 1024;

constexpr std::string_view kRequestIdSetting = "oleanderledge.request_id";
constexpr std::string_view kClassSetting = "oleanderledge.class";

/// Server version reported to callers; client libraries derive the supported features from it.
constexpr std::string_view kServerVersion = "15.0";

/// Parameters reported at start-up, with the default values of a backend server.
constexpr std::array<std::pair<std::string_view, std::string_view>, 11> kStartupParameters = { {
  { "server_version", kServerVersion },
  { "server_encoding", "UTF8" },
  { "client_encoding", "UTF8" },
  { "application_name", "" },
  { "DateStyle", "ISO, MDY" },
  { "IntervalStyle", "postgres" },
  { "TimeZone", "UTC" },
  { "integer_datetimes", "on" },
  { "standard_conforming_strings", "on" },
  { "is_superuser", "off" },
  { "in_hot_standby", "off" },
} };

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter - 'A' + 'a')
                                                  : aCharacter;
  });
  return lower;
}

/// Reply to a start-up message that asks for a newer minor version or for protocol options. The
/// proxy supports protocol 3.0 and no options.
std::string BuildNegotiateProtocolVersion(const std::vector<std::string>& aOptions)
{
  std::string body(7, '\0');
  body.push_back(static_cast<char>(aOptions.size()));
  for (const std::string& option : aOptions) {
    body += option;
    body.push_back('\0');
  }
  return BuildMessage('v', body);
}

std::string_view CommandTagOf(const RecognizedStatement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::Show:
      return "SHOW";
    case StatementKind::Reset:
    case StatementKind::ResetAll:
      return "RESET";
    case StatementKind::DiscardAll:
      return "DISCARD ALL";
    case StatementKind::Commit:
    case StatementKind::Rollback:
      // Answered locally only in a failed transaction, where COMMIT rolls back.
      return "ROLLBACK";
    default:
      return "SET";
  }
}

bool EndsTransaction(StatementKind aKind)
{
  return aKind == StatementKind::Commit || aKind == StatementKind::Rollback;
}

/// True for SET and RESET of settings that the owner has to apply for later units as well.
bool ChangesBackendSetting(const RecognizedStatement& aStatement)
{
  const bool isChange = (aStatement.kind == StatementKind::Set && !aStatement.isLocal) ||
                        aStatement.kind == StatementKind::Reset;
  return isChange && !SessionSettings::IsProxySetting(aStatement.name) &&
         !aStatement.name.starts_with("transaction_");
}

/// SQL text that makes the same change for the current transaction only. Connections to backend
/// servers are shared, so the change must not outlive the transaction.
std::string BuildSetLocal(const RecognizedStatement& aStatement)
{
  return aStatement.kind == StatementKind::Reset ? "SET LOCAL " + aStatement.name + " TO DEFAULT"
                                                 : "SET LOCAL " + aStatement.assignment;
}

} // namespace

CallerSession::CallerSession(std::uint64_t aChannel,
                             const EntryLimits& aLimits,
                             DirectorySource aDirectory)
  : channel(aChannel)
  , limits(aLimits)
  , directory(std::move(aDirectory))
  , collector(std::min(aLimits.maxMessageBytes, kMaxFrameBytes) - kFrameReserveBytes)
{
}

Result<std::string> CallerSession::Start(const StartupMessage& aStartup)
{
  this->user = aStartup.user;
  this->database = aStartup.database;
  for (const auto& [name, value] : aStartup.parameters) {
    const std::string lower = LowerCase(name);
    if (!SessionSettings::IsProxySetting(lower)) {
      this->settings.SetBackendSetting(lower, value);
      continue;
    }
    if (auto set = this->settings.SetProxySetting(lower, value); !set) {
      return set.as_failure();
    }
  }
  this->settings.SaveAsStartupValues();
  std::string startupReply;
  if (aStartup.minorVersion > 0 || !aStartup.unsupportedOptions.empty()) {
    startupReply += BuildNegotiateProtocolVersion(aStartup.unsupportedOptions);
  }
  startupReply += BuildAuthenticationOk();
  for (const auto& [name, value] : kStartupParameters) {
    const auto requested = this->settings.FindBackendSetting(LowerCase(name));
    startupReply += BuildParameterStatus(name, requested ? *requested : std::string(value));
  }
  startupReply += BuildParameterStatus("session_authorization", this->user);
  startupReply +=
    BuildParameterStatus("default_transaction_read_only", this->settings.ReadOnly() ? "on" : "off");
  // Callers that name a deleted class can still connect, so that an operator can delete a class
  // that is in use. The owner serves their work as the class with the longest target.
  const std::string requested = this->settings.ShowProxySetting(kClassSetting).value();
  if (!this->IsKnownClass(requested)) {
    startupReply += BuildNoticeResponse(
      InfoOf(ResultCode::UnknownClass).sqlstate,
      "class \"" + requested +
        "\" is not known; statements are served as the class with the longest target");
  }
  return startupReply;
}

bool CallerSession::IsKnownClass(std::string_view aName) const
{
  const Directory* current = this->directory ? this->directory() : nullptr;
  return aName.empty() || current == nullptr || current->FindClass(aName) != nullptr;
}

bool CallerSession::IsIdle() const
{
  return !this->running && this->queue.empty() && this->transactionStatus == 'I';
}

bool CallerSession::CanAcceptInput() const
{
  return this->queue.size() < this->limits.maxQueuedUnits &&
         this->queuedBytes < this->limits.maxQueuedBytes;
}

SessionOutput CallerSession::OnMessage(std::string aMessage, Instant aNow)
{
  SessionOutput output;
  auto unit = this->collector.AddMessage(std::move(aMessage), aNow);
  if (unit) {
    this->queuedBytes += unit->payload.size();
    this->queue.push_back(std::move(*unit));
    this->RunQueued(output);
  }
  return output;
}

SessionOutput CallerSession::SetOutputFull(bool aIsFull)
{
  SessionOutput output;
  this->isOutputFull = aIsFull;
  this->RunQueued(output);
  return output;
}

void CallerSession::RunQueued(SessionOutput& aOutput)
{
  while (!this->running && !this->isOutputFull && !this->queue.empty() && !aOutput.shouldClose) {
    CollectedUnit unit = std::move(this->queue.front());
    this->queue.pop_front();
    this->queuedBytes -= unit.payload.size();
    this->RunUnit(std::move(unit), aOutput);
  }
}

void CallerSession::RunUnit(CollectedUnit&& aUnit, SessionOutput& aOutput)
{
  switch (aUnit.kind) {
    case CollectedUnit::Kind::Terminate:
      aOutput.shouldClose = true;
      return;
    case CollectedUnit::Kind::Violation:
      aOutput.toCaller += BuildCallerError("FATAL", aUnit.code, RunState::NotRun, aUnit.detail);
      aOutput.errors.emplace_back(aUnit.code, RunState::NotRun);
      aOutput.shouldClose = true;
      aOutput.closeReason = aUnit.code;
      return;
    case CollectedUnit::Kind::Ready:
      aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
      return;
    case CollectedUnit::Kind::Refusal:
      this->Refuse(aUnit.code, aUnit.detail, aOutput);
      if (aUnit.endsWithReady) {
        aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
      }
      return;
    case CollectedUnit::Kind::Work:
      break;
  }
  auto analyzed = AnalyzeUnit(aUnit.payload, this->preparedStatements);
  if (!analyzed) {
    this->Refuse(analyzed.error().code, analyzed.error().message, aOutput);
    aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
    return;
  }
  UnitAnalysis& analysis = analyzed.value();
  if (this->isFailedLocally &&
      !(this->beginFailed && analysis.SoleStatementKind() == StatementKind::Begin)) {
    this->RunInFailedTransaction(analysis, aOutput);
    return;
  }
  if (const ResultCode code = this->CheckPreparedStatements(analysis); code != ResultCode::Ok) {
    this->Refuse(
      code, code == ResultCode::MessageTooLarge ? "too many prepared statements" : "", aOutput);
    aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
    return;
  }
  std::size_t local = 0;
  std::size_t remote = 0;
  for (const UnitMessage& message : analysis.messages) {
    if (message.statement.kind == StatementKind::Copy) {
      this->Refuse(ResultCode::CopyNotSupported, {}, aOutput);
      aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
      return;
    }
    if (message.view.type == 'S' || (message.view.type == 'C' && !message.refersToPortal)) {
      continue;
    }
    ++(this->IsAnsweredLocally(message.statement) ? local : remote);
  }
  if (remote == 0) {
    this->AnswerLocally(analysis, aOutput);
  } else if (local == 0) {
    this->Forward(std::move(aUnit), std::move(analysis), aOutput);
  } else {
    this->Refuse(
      ResultCode::FeatureNotSupported,
      "SET, SHOW and RESET of proxy settings cannot be combined with other statements; send "
      "Sync before and after them",
      aOutput);
    aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
  }
}

void CallerSession::RunInFailedTransaction(const UnitAnalysis& aAnalysis, SessionOutput& aOutput)
{
  const bool isAllowed = std::all_of(
    aAnalysis.messages.begin(), aAnalysis.messages.end(), [](const UnitMessage& aMessage) {
      return aMessage.view.type == 'S' || aMessage.view.type == 'C' ||
             (EndsTransaction(aMessage.statement.kind) && !aMessage.statement.isChained);
    });
  if (isAllowed) {
    this->AnswerLocally(aAnalysis, aOutput);
    return;
  }
  this->WriteError(ResultCode::TransactionFailed, RunState::NotRun, {}, 0, aOutput);
  aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
}

void CallerSession::Forward(CollectedUnit&& aUnit, UnitAnalysis&& aAnalysis, SessionOutput& aOutput)
{
  RunningUnit next;
  next.wasInTransaction = this->transactionStatus != 'I' && !this->isFailedLocally;
  next.endsTransaction = EndsTransaction(aAnalysis.SoleStatementKind());
  const auto begin = std::find_if(
    aAnalysis.executed.begin(),
    aAnalysis.executed.end(),
    [](const RecognizedStatement& aStatement) { return aStatement.kind == StatementKind::Begin; });
  next.beginsTransaction = !next.wasInTransaction && begin != aAnalysis.executed.end();
  if (next.wasInTransaction) {
    next.readOnly = this->transactionReadOnly;
  } else {
    next.readOnly = next.beginsTransaction ? begin->readOnly.value_or(this->settings.ReadOnly())
                                           : this->settings.ReadOnly();
  }
  this->CollectStatementChanges(aAnalysis, next);

  ForwardUnit forward;
  // Time spent queued behind earlier units of the same caller does not count towards the latency
  // target of this unit.
  forward.arrived = std::max(aUnit.arrived, this->runnableSince);
  StatementRequest& request = forward.request;
  request.channel = this->channel;
  request.database = this->database;
  request.caller = this->user;
  request.inTransaction = next.wasInTransaction;
  request.readOnly = next.readOnly;
  this->settings.FillRequest(request);
  // The request id goes to the next unit that executes a statement; units that only prepare or
  // describe do not use it up.
  const bool usesRequestId = !next.wasInTransaction && !aAnalysis.executed.empty() &&
                             !ChangesBackendSetting(aAnalysis.executed.front());
  if (!usesRequestId) {
    request.requestId.clear();
  }
  std::size_t bytes = aUnit.payload.size();
  for (const std::string& name : aAnalysis.usedStatements) {
    const SessionStatement& statement = this->preparedStatements.find(name)->second;
    const bool isRewritten = next.wasInTransaction && ChangesBackendSetting(statement.recognized);
    request.prepared.push_back(
      { name,
        isRewritten ? ReplaceParseText(statement.parseMessage, BuildSetLocal(statement.recognized))
                    : statement.parseMessage });
    bytes += request.prepared.back().parseMessage.size();
  }
  if (bytes > kMaxFrameBytes - kFrameReserveBytes) {
    this->Refuse(
      ResultCode::MessageTooLarge, "the unit and its prepared statements are too large", aOutput);
    aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
    return;
  }
  for (const RecognizedStatement& statement : aAnalysis.executed) {
    if (ChangesBackendSetting(statement)) {
      next.settings.push_back({ statement.name,
                                statement.kind == StatementKind::Reset || statement.isDefault
                                  ? std::nullopt
                                  : std::optional(statement.value) });
    }
  }
  if (next.wasInTransaction) {
    request.settings = this->settings.BackendSettings();
    request.payload =
      next.settings.empty() ? std::move(aUnit.payload) : this->RewriteForTransaction(aAnalysis);
  } else {
    // The owner applies the settings of the request before it runs the unit, so including the new
    // value here makes sure that the connection has it.
    SessionSettings changed = this->settings;
    for (const SettingChange& change : next.settings) {
      change.value ? changed.SetBackendSetting(change.name, *change.value)
                   : changed.ResetBackendSetting(change.name);
    }
    request.settings = changed.BackendSettings();
    request.payload = std::move(aUnit.payload);
  }
  std::size_t settingBytes = 0;
  for (const SessionSetting& setting : request.settings) {
    settingBytes += setting.name.size() + setting.value.size();
  }
  if (settingBytes > kMaxBackendSettingBytes) {
    this->Refuse(ResultCode::InvalidSetting, "the session's settings are too large", aOutput);
    aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
    return;
  }
  forward.isRetrySafe = this->IsRetrySafe(aAnalysis, request);
  if (usesRequestId) {
    this->settings.ClearRequestId();
  }
  if (this->isFailedLocally) {
    this->SetTransactionStatus('I');
  }
  this->running = std::move(next);
  aOutput.forward = std::move(forward);
}

ResultCode CallerSession::CheckPreparedStatements(const UnitAnalysis& aAnalysis) const
{
  // Refused here, because a shared connection may have a statement of the same name that another
  // caller prepared.
  if (!aAnalysis.unknownStatements.empty()) {
    return ResultCode::UnknownStatement;
  }
  std::size_t bytes = this->preparedBytes;
  bool hasParse = false;
  for (const UnitMessage& message : aAnalysis.messages) {
    if (message.view.type == 'P') {
      bytes += message.view.whole.size();
      hasParse = hasParse || !message.statementName.empty();
    }
  }
  return hasParse && bytes > this->limits.maxPreparedBytes ? ResultCode::MessageTooLarge
                                                           : ResultCode::Ok;
}

void CallerSession::StorePreparedStatement(const std::string& aName, SessionStatement&& aStatement)
{
  this->RemovePreparedStatement(aName);
  this->preparedBytes += aStatement.parseMessage.size();
  this->preparedStatements[aName] = std::move(aStatement);
}

void CallerSession::RemovePreparedStatement(const std::string& aName)
{
  const auto found = this->preparedStatements.find(aName);
  if (found != this->preparedStatements.end()) {
    this->preparedBytes -= found->second.parseMessage.size();
    this->preparedStatements.erase(found);
  }
}

void CallerSession::CollectStatementChanges(const UnitAnalysis& aAnalysis,
                                            RunningUnit& aRunning) const
{
  for (const UnitMessage& message : aAnalysis.messages) {
    if (message.view.type == 'P') {
      aRunning.parses.push_back(
        { message.statementName, { std::string(message.view.whole), message.statement } });
    } else if (message.view.type == 'C' && message.refersToStatement) {
      aRunning.closes.push_back(message.statementName);
    }
  }
}

bool CallerSession::IsRetrySafe(const UnitAnalysis& aAnalysis,
                                const StatementRequest& aRequest) const
{
  if (aRequest.inTransaction) {
    return false;
  }
  if (aAnalysis.executed.empty() || aRequest.idempotent || !aRequest.requestId.empty() ||
      aAnalysis.SoleStatementKind() == StatementKind::Begin) {
    return true;
  }
  // A query text with several statements can switch off the read-only mode before a write.
  return aRequest.readOnly && aAnalysis.executed.size() == 1 &&
         !aAnalysis.executed.front().mayBeMultiStatement;
}

std::string CallerSession::RewriteForTransaction(const UnitAnalysis& aAnalysis) const
{
  std::string payload;
  for (const UnitMessage& message : aAnalysis.messages) {
    const bool isChanged = ChangesBackendSetting(message.statement);
    if (isChanged && message.view.type == 'Q') {
      payload += BuildQuery(BuildSetLocal(message.statement));
    } else if (isChanged && message.view.type == 'P') {
      payload += ReplaceParseText(message.view.whole, BuildSetLocal(message.statement));
    } else {
      payload += message.view.whole;
    }
  }
  return payload;
}

// --- Units answered without an owner -------------------------------------------------------------

bool CallerSession::IsAnsweredLocally(const RecognizedStatement& aStatement) const
{
  switch (aStatement.kind) {
    case StatementKind::Set:
      return SessionSettings::IsProxySetting(aStatement.name) ||
             (aStatement.isDefault && !aStatement.isLocal && this->transactionStatus == 'I');
    case StatementKind::Show:
      return SessionSettings::IsProxySetting(aStatement.name);
    case StatementKind::Reset:
      return SessionSettings::IsProxySetting(aStatement.name) || this->transactionStatus == 'I';
    case StatementKind::ResetAll:
    case StatementKind::DiscardAll:
    case StatementKind::SetCharacteristic:
      return true;
    default:
      return false;
  }
}

void CallerSession::AnswerLocally(const UnitAnalysis& aAnalysis, SessionOutput& aOutput)
{
  for (const UnitMessage& message : aAnalysis.messages) {
    if (auto answered = this->AnswerMessage(message, aOutput); !answered) {
      this->Refuse(answered.error().code, answered.error().message, aOutput);
      break;
    }
  }
  ++aOutput.localAnswers;
  aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
}

Result<void> CallerSession::AnswerMessage(const UnitMessage& aMessage, SessionOutput& aOutput)
{
  switch (aMessage.view.type) {
    case 'Q':
      if (aMessage.statement.kind == StatementKind::Show) {
        aOutput.toCaller += this->DescribeLocally(aMessage.statement);
      }
      return this->ExecuteLocally(aMessage.statement, aOutput);
    case 'P':
      this->StorePreparedStatement(aMessage.statementName,
                                   { std::string(aMessage.view.whole), aMessage.statement });
      aOutput.toCaller += BuildEmptyMessage('1');
      break;
    case 'B':
      aOutput.toCaller += BuildEmptyMessage('2');
      break;
    case 'D':
      if (aMessage.refersToStatement) {
        aOutput.toCaller += BuildParameterDescription(0);
      }
      aOutput.toCaller += this->DescribeLocally(aMessage.statement);
      break;
    case 'E':
      return this->ExecuteLocally(aMessage.statement, aOutput);
    case 'C':
      this->RemovePreparedStatement(aMessage.statementName);
      aOutput.toCaller += BuildEmptyMessage('3');
      break;
    default:
      break;
  }
  return boost::outcome_v2::success();
}

std::string CallerSession::DescribeLocally(const RecognizedStatement& aStatement) const
{
  if (aStatement.kind != StatementKind::Show) {
    return BuildEmptyMessage('n');
  }
  const std::array columns = { aStatement.name };
  return BuildRowDescription(columns);
}

Result<void> CallerSession::ExecuteLocally(const RecognizedStatement& aStatement,
                                           SessionOutput& aOutput)
{
  switch (aStatement.kind) {
    case StatementKind::Set:
    case StatementKind::Reset: {
      if (auto set = this->ExecuteSet(aStatement); !set) {
        return set;
      }
      this->ReportSetting(aStatement.name, aOutput);
      break;
    }
    case StatementKind::Show: {
      auto value = this->settings.ShowProxySetting(aStatement.name);
      if (!value) {
        return value.as_failure();
      }
      const std::array<std::optional<std::string>, 1> row = { value.value() };
      aOutput.toCaller += BuildDataRow(row);
      break;
    }
    case StatementKind::SetCharacteristic:
      if (aStatement.readOnly) {
        (void)this->settings.SetProxySetting("default_transaction_read_only",
                                             *aStatement.readOnly ? "on" : "off");
      }
      if (!aStatement.isolationLevel.empty()) {
        this->settings.SetBackendSetting("default_transaction_isolation",
                                         aStatement.isolationLevel);
      }
      break;
    case StatementKind::ResetAll:
    case StatementKind::DiscardAll:
      if (this->transactionStatus != 'I') {
        return Fail(ResultCode::FeatureNotSupported,
                    "RESET ALL and DISCARD ALL are not supported inside a transaction");
      }
      this->settings.ResetAll();
      if (aStatement.kind == StatementKind::DiscardAll) {
        this->preparedStatements.clear();
        this->preparedBytes = 0;
      }
      break;
    default:
      this->SetTransactionStatus('I');
      break;
  }
  aOutput.toCaller += BuildCommandComplete(CommandTagOf(aStatement));
  return boost::outcome_v2::success();
}

Result<void> CallerSession::ExecuteSet(const RecognizedStatement& aStatement)
{
  const std::string& name = aStatement.name;
  if (!SessionSettings::IsProxySetting(name)) {
    this->settings.ResetBackendSetting(name);
    return boost::outcome_v2::success();
  }
  if (aStatement.isLocal) {
    return Fail(ResultCode::FeatureNotSupported, "SET LOCAL is not supported for " + name);
  }
  if (aStatement.kind == StatementKind::Reset || aStatement.isDefault) {
    return this->settings.ResetProxySetting(name);
  }
  if (name == kRequestIdSetting && this->transactionStatus != 'I') {
    return Fail(ResultCode::InvalidSetting,
                "oleanderledge.request_id must be set before the transaction begins");
  }
  SessionSettings changed = this->settings;
  if (auto set = changed.SetProxySetting(name, aStatement.value); !set) {
    return set;
  }
  if (name == kClassSetting && !this->IsKnownClass(aStatement.value)) {
    return Fail(ResultCode::UnknownClass, "class \"" + aStatement.value + "\" is not known");
  }
  this->settings = std::move(changed);
  return boost::outcome_v2::success();
}

void CallerSession::ReportSetting(std::string_view aName, SessionOutput& aOutput) const
{
  const std::string_view reported = SessionSettings::ReportedName(aName);
  if (reported.empty()) {
    return;
  }
  auto value = this->settings.FindBackendSetting(aName);
  if (!value) {
    const auto* found = std::find_if(kStartupParameters.begin(),
                                     kStartupParameters.end(),
                                     [&](const auto& aEntry) { return aEntry.first == reported; });
    value = std::string(found->second);
  }
  aOutput.toCaller += BuildParameterStatus(reported, *value);
}

// --- Errors --------------------------------------------------------------------------------------

void CallerSession::WriteError(ResultCode aCode,
                               RunState aRunState,
                               std::string_view aDetail,
                               std::int64_t aRetryAfterMs,
                               SessionOutput& aOutput) const
{
  aOutput.toCaller += BuildCallerError("ERROR", aCode, aRunState, aDetail, aRetryAfterMs);
  aOutput.errors.emplace_back(aCode, aRunState);
}

void CallerSession::Refuse(ResultCode aCode, std::string_view aDetail, SessionOutput& aOutput)
{
  this->WriteError(aCode, RunState::NotRun, aDetail, 0, aOutput);
  if (this->transactionStatus == 'T') {
    this->FailTransaction(aOutput);
  }
}

void CallerSession::FailTransaction(SessionOutput& aOutput)
{
  this->transactionStatus = 'E';
  this->isFailedLocally = true;
  this->beginFailed = false;
  RunningUnit rollback;
  rollback.isInternalRollback = true;
  ForwardUnit forward;
  forward.request.channel = this->channel;
  forward.request.database = this->database;
  forward.request.caller = this->user;
  forward.request.inTransaction = true;
  forward.request.readOnly = this->transactionReadOnly;
  this->settings.FillRequest(forward.request);
  forward.request.requestId.clear();
  forward.request.settings = this->settings.BackendSettings();
  forward.request.payload = BuildQuery("ROLLBACK");
  this->running = std::move(rollback);
  aOutput.forward = std::move(forward);
}

// --- Replies of the owner ------------------------------------------------------------------------

SessionOutput CallerSession::OnReply(StatementReply&& aReply, Instant aNow)
{
  SessionOutput output;
  if (!this->running) {
    return output;
  }
  if (aReply.finalPiece) {
    this->runnableSince = aNow;
  }
  if (this->running->isInternalRollback) {
    if (aReply.finalPiece) {
      this->running.reset();
      this->RunQueued(output);
    }
    return output;
  }
  this->RelayPayload(aReply.payload, output);
  if (aReply.finalPiece) {
    this->FinishUnit(aReply, output);
    this->RunQueued(output);
  }
  return output;
}

void CallerSession::RelayPayload(const std::string& aPayload, SessionOutput& aOutput)
{
  RunningUnit& unit = *this->running;
  for (const MessageView& view : SplitMessages(aPayload)) {
    switch (view.type) {
      case '1':
        ++unit.parseCompletes;
        break;
      case 'E':
        unit.hasError = true;
        break;
      case 'C':
        unit.lastCommandTag = FieldReader(view.body).ReadString();
        break;
      case 'S':
        unit.reported.push_back(LowerCase(FieldReader(view.body).ReadString()));
        break;
      case 'Z':
        // FinishUnit() writes ReadyForQuery.
        continue;
      default:
        break;
    }
    aOutput.toCaller += view.whole;
  }
}

void CallerSession::FinishUnit(const StatementReply& aReply, SessionOutput& aOutput)
{
  const RunningUnit finished = std::move(*this->running);
  this->running.reset();
  char nextStatus = aReply.transactionStatus;
  bool isLost = false;
  if (aReply.code != ResultCode::Ok) {
    this->WriteError(aReply.code, aReply.runState, aReply.message, aReply.retryAfterMs, aOutput);
    isLost = nextStatus == 'I' && ((finished.wasInTransaction && !finished.endsTransaction) ||
                                   finished.beginsTransaction);
  }
  this->ApplyChanges(finished, aReply.code == ResultCode::Ok && !finished.hasError, aOutput);
  if (nextStatus != 'T' && nextStatus != 'E') {
    nextStatus = 'I';
  }
  if (isLost) {
    this->transactionStatus = 'E';
    this->isFailedLocally = true;
    this->beginFailed = finished.beginsTransaction;
    this->pendingSettings.clear();
  } else {
    this->SetTransactionStatus(nextStatus);
    this->transactionReadOnly = nextStatus != 'I' && finished.readOnly;
    if (aReply.code != ResultCode::Ok && nextStatus == 'T') {
      this->FailTransaction(aOutput);
    }
  }
  aOutput.toCaller += BuildReadyForQuery(this->transactionStatus);
}

void CallerSession::ApplyChanges(const RunningUnit& aFinished,
                                 bool aSucceeded,
                                 SessionOutput& aOutput)
{
  for (std::size_t at = 0; at < aFinished.parses.size() && at < aFinished.parseCompletes; ++at) {
    this->StorePreparedStatement(aFinished.parses[at].name,
                                 SessionStatement(aFinished.parses[at].statement));
  }
  for (const std::string& name : aFinished.closes) {
    const bool isParsedAgain =
      std::any_of(aFinished.parses.begin(),
                  aFinished.parses.end(),
                  [&](const PreparedChange& aParse) { return aParse.name == name; });
    if (aSucceeded && !isParsedAgain) {
      this->RemovePreparedStatement(name);
    }
  }
  if (aFinished.wasInTransaction) {
    if (aSucceeded) {
      this->pendingSettings.insert(
        this->pendingSettings.end(), aFinished.settings.begin(), aFinished.settings.end());
    }
    if (aFinished.lastCommandTag != "COMMIT") {
      return;
    }
  }
  if (!aSucceeded) {
    return;
  }
  const auto changes =
    aFinished.wasInTransaction ? std::exchange(this->pendingSettings, {}) : aFinished.settings;
  for (const SettingChange& change : changes) {
    change.value ? this->settings.SetBackendSetting(change.name, *change.value)
                 : this->settings.ResetBackendSetting(change.name);
    if (std::find(aFinished.reported.begin(), aFinished.reported.end(), change.name) ==
        aFinished.reported.end()) {
      this->ReportSetting(change.name, aOutput);
    }
  }
}

void CallerSession::SetTransactionStatus(char aStatus)
{
  this->transactionStatus = aStatus;
  if (aStatus == 'I') {
    this->isFailedLocally = false;
    this->beginFailed = false;
    this->transactionReadOnly = false;
    this->pendingSettings.clear();
  }
}

} // namespace oleanderledge
