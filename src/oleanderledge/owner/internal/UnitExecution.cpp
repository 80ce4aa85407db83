#include "oleanderledge/owner/internal/UnitExecution.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace oleanderledge {

namespace {

/// Pieces of a streamed answer have at least this size, except the last one.
constexpr std::size_t kMinStreamPieceBytes = std::size_t{ 32 } * 1024;

/// Recording a request id fails with a unique violation if a concurrent unit with the same id has
/// just committed. The unit is then started again, and its lookup finds that record.
constexpr int kMaxRecordAttempts = 3;

/// The query of the position is repeated, because a late cancellation may cancel it instead of the
/// payload.
constexpr int kMaxPositionAttempts = 3;

constexpr std::string_view kUniqueViolation = "23505";
constexpr std::string_view kCreateTable = "CREATE TABLE IF NOT EXISTS oleanderledge_requests"
                                          "(request_id TEXT PRIMARY KEY, command_tag TEXT)";

std::optional<std::uint64_t> ParseNumber(const std::optional<std::string>& aText)
{
  if (!aText) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(aText->data(), aText->data() + aText->size(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != aText->data() + aText->size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::optional<SlotStatus> ParseStatusRow(const std::vector<std::optional<std::string>>& aRow)
{
  if (aRow.size() != 4 || !aRow[0]) {
    return std::nullopt;
  }
  const auto term = ParseNumber(aRow[1]);
  const auto received = ParseNumber(aRow[2]);
  const auto applied = ParseNumber(aRow[3]);
  if (!term || !received || !applied || (*aRow[0] != "primary" && *aRow[0] != "replica")) {
    return std::nullopt;
  }
  SlotStatus status;
  status.isPrimary = *aRow[0] == "primary";
  status.term = *term;
  status.received = *received;
  status.applied = *applied;
  return status;
}

bool BeginsWithWord(std::string_view aSql, std::string_view aWord)
{
  while (!aSql.empty() && std::isspace(static_cast<unsigned char>(aSql.front())) != 0) {
    aSql.remove_prefix(1);
  }
  if (aSql.size() < aWord.size()) {
    return false;
  }
  for (std::size_t index = 0; index < aWord.size(); ++index) {
    if (std::toupper(static_cast<unsigned char>(aSql[index])) != aWord[index]) {
      return false;
    }
  }
  return aSql.size() == aWord.size() ||
         std::isalnum(static_cast<unsigned char>(aSql[aWord.size()])) == 0;
}

std::string_view FirstSqlOf(const StatementRequest& aRequest)
{
  for (const MessageView& message : SplitMessages(aRequest.payload)) {
    FieldReader reader(message.body);
    if (message.type == 'Q') {
      return reader.ReadString();
    }
    if (message.type == 'P') {
      reader.ReadString();
      return reader.ReadString();
    }
    if (message.type != 'B') {
      continue;
    }
    reader.ReadString();
    const std::string_view name = reader.ReadString();
    for (const PreparedStatement& statement : aRequest.prepared) {
      const auto parsed = SplitMessages(statement.parseMessage);
      if (statement.name != name || parsed.empty()) {
        continue;
      }
      FieldReader definition(parsed.front().body);
      definition.ReadString();
      return definition.ReadString();
    }
    return {};
  }
  return {};
}

std::string BuildAnswerForSkippedUnit(std::string_view aPayload, std::string_view aCommandTag)
{
  std::string answer;
  for (const MessageView& message : SplitMessages(aPayload)) {
    switch (message.type) {
      case 'Q':
      case 'E':
        answer += BuildCommandComplete(aCommandTag);
        break;
      case 'P':
        answer += BuildEmptyMessage('1');
        break;
      case 'B':
        answer += BuildEmptyMessage('2');
        break;
      case 'C':
        answer += BuildEmptyMessage('3');
        break;
      case 'D':
        answer += message.body.starts_with('S') ? BuildParameterDescription(0) : std::string();
        answer += BuildEmptyMessage('n');
        break;
      default:
        break;
    }
  }
  return answer;
}

UnitExecution::UnitExecution(const StatementRequest& aRequest, bool aRequestsTableExists)
  : request(aRequest)
  , requestsTableExists(aRequestsTableExists)
{
  this->recordsRequestId =
    !aRequest.requestId.empty() && !aRequest.inTransaction && !aRequest.readOnly;
  const std::string_view sql = FirstSqlOf(this->request);
  this->opensTransaction =
    !aRequest.inTransaction && (BeginsWithWord(sql, "BEGIN") || BeginsWithWord(sql, "START"));
  this->simpleQuery = this->request.payload.starts_with('Q');
  this->mayWrite = !aRequest.readOnly;
}

std::string UnitExecution::Start(BackendSession& aSession)
{
  return this->EnterStep(Step::Settings, aSession);
}

std::string UnitExecution::EnterStep(Step aStep, BackendSession& aSession)
{
  this->step = aStep;
  this->error.reset();
  this->errorMessage.clear();
  this->row.reset();
  this->lastCommandTag.clear();
  const std::string id = QuoteLiteral(this->request.requestId);
  const bool recordsRequestIdHere = this->recordsRequestId && !this->opensTransaction;
  switch (aStep) {
    case Step::Settings: {
      // Statements inside a transaction keep the settings that it began with.
      const std::string sql =
        this->request.inTransaction
          ? std::string()
          : aSession.SettingsSql(this->request.settings, this->request.readOnly);
      return sql.empty() ? this->EnterStep(Step::EnsureTable, aSession) : BuildQuery(sql);
    }
    case Step::EnsureTable:
      return this->recordsRequestId && !this->requestsTableExists
               ? BuildQuery(kCreateTable)
               : this->EnterStep(Step::Begin, aSession);
    case Step::Begin:
      return recordsRequestIdHere ? BuildQuery("BEGIN") : this->EnterStep(Step::Prepare, aSession);
    case Step::Lookup:
      return BuildQuery("SELECT command_tag FROM oleanderledge_requests WHERE request_id = " + id);
    case Step::Record:
      return BuildQuery("INSERT INTO oleanderledge_requests (request_id, command_tag) VALUES (" +
                        id + ", '')");
    case Step::Prepare: {
      std::string messages = aSession.PrepareMessages(this->request);
      return messages.empty() ? this->EnterStep(Step::Payload, aSession) : messages;
    }
    case Step::Payload:
      this->statementSent = true;
      return this->request.payload;
    case Step::StoreTag:
      return BuildQuery("UPDATE oleanderledge_requests SET command_tag = " +
                        QuoteLiteral(this->payloadCommandTag) + " WHERE request_id = " + id);
    case Step::Commit:
      return BuildQuery("COMMIT");
    case Step::Rollback:
      return BuildQuery("ROLLBACK");
    case Step::FailTransaction:
      // The savepoint does not exist. The error puts the transaction into the failed state, so that
      // the caller's later statements cannot run.
      return BuildQuery("ROLLBACK TO SAVEPOINT oleanderledge_answer_too_large");
    case Step::Position:
      return BuildQuery(kStatusQuery);
  }
  return {};
}

std::string UnitExecution::HandleMessage(const MessageView& aMessage, BackendSession& aSession)
{
  if (aMessage.type == 'Z') {
    return this->EndStep(aMessage.body.empty() ? 'I' : aMessage.body.front(), aSession);
  }
  if (aMessage.type == 'E' && !this->error) {
    this->error = ReadErrorFields(aMessage.body);
    this->errorMessage = std::string(aMessage.whole);
  }
  if (aMessage.type == 'C') {
    this->lastCommandTag = std::string(FieldReader(aMessage.body).ReadString());
  }
  if (this->step == Step::Payload) {
    return this->HandlePayloadMessage(aMessage, aSession);
  }
  if (aMessage.type == 'D') {
    this->row = ReadDataRow(aMessage.body);
  }
  return {};
}

std::string UnitExecution::HandlePayloadMessage(const MessageView& aMessage,
                                                BackendSession& aSession)
{
  switch (aMessage.type) {
    case 'G':
      this->copyRefused = true;
      // In COPY mode the server ignores the Sync of the extended query, so another Sync is sent.
      return BuildMessage('f', std::string_view("COPY is not supported\0", 22)) +
             (this->simpleQuery ? std::string() : BuildSync());
    case 'H':
    case 'd':
    case 'c':
      this->copyRefused = true;
      return {};
    case 'C':
      aSession.NoteCommandTag(this->lastCommandTag);
      this->payloadCommandTag = this->lastCommandTag;
      ++this->payloadCommandCount;
      this->mayWrite = this->mayWrite || IsWriteTag(this->lastCommandTag);
      break;
    default:
      break;
  }
  if (this->answerTooLarge) {
    return {};
  }
  this->answer.append(aMessage.whole);
  if (this->mayWrite && this->answer.size() > kMaxHeldAnswerBytes) {
    this->answerTooLarge = true;
    this->cancelRequested = true;
    this->answer.clear();
    this->answer.shrink_to_fit();
  }
  return {};
}

std::string UnitExecution::TakeStreamablePiece()
{
  if (this->mayWrite || this->step != Step::Payload || this->answer.size() < kMinStreamPieceBytes) {
    return {};
  }
  return std::exchange(this->answer, {});
}

std::string UnitExecution::Finish()
{
  this->finished = true;
  if (this->result.code == ResultCode::Ok) {
    this->result.answer = std::move(this->answer);
  }
  return {};
}

std::string UnitExecution::RollBack(AfterRollback aNext, BackendSession& aSession)
{
  this->afterRollback = aNext;
  return this->EnterStep(Step::Rollback, aSession);
}

std::string UnitExecution::EndStep(char aStatus, BackendSession& aSession)
{
  this->result.transactionStatus = aStatus;
  switch (this->step) {
    case Step::Settings:
      if (this->error) {
        aSession.RequireReset();
        this->answer = this->errorMessage;
        return this->Finish();
      }
      aSession.NoteSettings(this->request.settings, this->request.readOnly);
      return this->EnterStep(Step::EnsureTable, aSession);
    case Step::EnsureTable:
      // If the table could not be created, the lookup fails too and reports the error to the
      // caller.
      this->tableCreated = !this->error;
      return this->EnterStep(Step::Begin, aSession);
    case Step::Begin:
      if (this->error) {
        this->answer = this->errorMessage;
        return this->Finish();
      }
      return this->EnterStep(Step::Lookup, aSession);
    case Step::Lookup:
      return this->AfterLookup(aSession);
    case Step::Record:
      return this->AfterRecord(aSession);
    case Step::Prepare:
      if (this->error) {
        aSession.ForgetPrepared(this->request);
        this->answer = this->errorMessage;
        return this->recordsRequestId && !this->opensTransaction
                 ? this->RollBack(AfterRollback::Finish, aSession)
                 : this->Finish();
      }
      aSession.NotePrepared(this->request);
      return this->EnterStep(Step::Payload, aSession);
    case Step::Payload:
      return this->AfterPayload(aStatus, aSession);
    case Step::StoreTag:
      if (this->error) {
        this->answer = this->errorMessage;
        return this->RollBack(AfterRollback::Finish, aSession);
      }
      return this->EnterStep(Step::Commit, aSession);
    case Step::Commit:
      if (this->error) {
        this->answer = this->errorMessage;
        return this->Finish();
      }
      if (this->lastCommandTag != "COMMIT") {
        this->answer = BuildErrorResponse("ERROR", "40000", "the transaction was rolled back");
        return this->Finish();
      }
      return this->EnterStep(Step::Position, aSession);
    case Step::Rollback:
      return this->AfterRollbackStep(aSession);
    case Step::FailTransaction:
      return this->Finish();
    case Step::Position:
      return this->AfterPosition(aSession);
  }
  return {};
}

std::string UnitExecution::AfterLookup(BackendSession& aSession)
{
  if (this->error) {
    this->answer = this->errorMessage;
    return this->opensTransaction ? this->Finish()
                                  : this->RollBack(AfterRollback::Finish, aSession);
  }
  if (!this->row) {
    return this->EnterStep(Step::Record, aSession);
  }
  this->alreadyApplied = true;
  this->payloadCommandTag = this->row->empty() ? "" : this->row->front().value_or("");
  return this->RollBack(AfterRollback::AskPosition, aSession);
}

std::string UnitExecution::AfterRecord(BackendSession& aSession)
{
  if (!this->error) {
    return this->opensTransaction ? this->Finish() : this->EnterStep(Step::Prepare, aSession);
  }
  if (this->error->sqlstate == kUniqueViolation) {
    if (this->opensTransaction) {
      this->alreadyApplied = true;
      return this->RollBack(AfterRollback::AskPosition, aSession);
    }
    if (++this->recordAttempts < kMaxRecordAttempts) {
      return this->RollBack(AfterRollback::Restart, aSession);
    }
  }
  this->answer = this->errorMessage;
  return this->opensTransaction ? this->Finish() : this->RollBack(AfterRollback::Finish, aSession);
}

std::string UnitExecution::AfterPayload(char aStatus, BackendSession& aSession)
{
  aSession.NotePayload(this->request, this->error.has_value());
  if (this->answerTooLarge) {
    return this->AfterAnswerTooLarge(aStatus, aSession);
  }
  if (this->copyRefused) {
    this->result.code = ResultCode::CopyNotSupported;
    this->result.message = InfoOf(ResultCode::CopyNotSupported).text;
    aSession.RequireReset();
  }
  const bool failed = this->error.has_value() || this->copyRefused;
  if (!this->recordsRequestId) {
    // A unit that consists of ROLLBACK has written nothing that would have to be confirmed.
    const bool onlyRolledBack =
      this->payloadCommandCount == 1 && this->payloadCommandTag == "ROLLBACK";
    return aStatus == 'I' && this->mayWrite && !onlyRolledBack
             ? this->EnterStep(Step::Position, aSession)
             : this->Finish();
  }
  if (this->opensTransaction) {
    return aStatus == 'T' && !failed ? this->EnterStep(Step::Lookup, aSession) : this->Finish();
  }
  if (aStatus == 'I') {
    // The payload ended the transaction, and the request id was committed or rolled back with it.
    return this->EnterStep(Step::Position, aSession);
  }
  return failed ? this->RollBack(AfterRollback::Finish, aSession)
                : this->EnterStep(Step::StoreTag, aSession);
}

std::string UnitExecution::AfterAnswerTooLarge(char aStatus, BackendSession& aSession)
{
  this->result.code = ResultCode::MessageTooLarge;
  const bool rollsBack = this->recordsRequestId && !this->opensTransaction && aStatus != 'I';
  if (this->error || rollsBack || aStatus != 'I') {
    this->result.runState = RunState::Ran;
    this->result.message =
      "the answer of a read-write unit exceeds 16 MiB; the statement was rolled back";
  } else {
    this->result.runState = RunState::Unknown;
    this->result.message =
      "the answer of a read-write unit exceeds 16 MiB; the statement may have been committed";
  }
  if (rollsBack) {
    return this->RollBack(AfterRollback::Finish, aSession);
  }
  return aStatus == 'T' ? this->EnterStep(Step::FailTransaction, aSession) : this->Finish();
}

void UnitExecution::ReportAlreadyApplied()
{
  if (this->opensTransaction) {
    this->result.code = ResultCode::RequestAlreadyApplied;
    this->result.message = InfoOf(ResultCode::RequestAlreadyApplied).text;
    return;
  }
  this->answer =
    BuildNoticeResponse("00000", "the request id was already applied; nothing was run") +
    BuildAnswerForSkippedUnit(this->request.payload, this->payloadCommandTag);
}

std::string UnitExecution::AfterRollbackStep(BackendSession& aSession)
{
  switch (this->afterRollback) {
    case AfterRollback::Restart:
      return this->EnterStep(Step::Begin, aSession);
    case AfterRollback::AskPosition:
      // The in-sync set may not have received the earlier write yet, so this answer also waits for
      // its position.
      this->ReportAlreadyApplied();
      return this->EnterStep(Step::Position, aSession);
    case AfterRollback::Finish:
      break;
  }
  return this->Finish();
}

std::string UnitExecution::AfterPosition(BackendSession& aSession)
{
  const auto status = this->row && !this->error ? ParseStatusRow(*this->row) : std::nullopt;
  if (!status && ++this->positionAttempts < kMaxPositionAttempts) {
    return this->EnterStep(Step::Position, aSession);
  }
  this->result.isWrite = true;
  if (status) {
    this->result.positionKnown = true;
    this->result.positionIsPrimary = status->isPrimary;
    this->result.position = { status->term, status->received };
  }
  return this->Finish();
}

} // namespace oleanderledge
