#pragma once

#include "oleanderledge/owner/internal/BackendSession.hpp"
#include "oleanderledge/owner/internal/OwnerTypes.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace oleanderledge {

/// What a unit came to on its connection.
struct UnitResult
{
  ResultCode code = ResultCode::Ok;
  RunState runState = RunState::Ran;
  std::string message;
  std::string answer;           ///< Backend messages without ReadyForQuery.
  char transactionStatus = 'I'; ///< Of the connection.
  /// The unit ended a read-write transaction: its answer is a write acknowledgement and waits for
  /// the in-sync set.
  bool isWrite = false;
  bool positionKnown = false;
  bool positionIsPrimary = false; ///< The server still regarded itself as the primary.
  LogPosition position;
};

/// Runs one unit on one connection: settings, at-most-once record, prepared statements, payload and
/// the question for the log position, one step after the other. Pure.
class UnitExecution
{
public:
  /// `aRequest` must outlive the execution. `aRequestsTableExists`: `oleanderledge_requests` exists
  /// on the primary.
  UnitExecution(const StatementRequest& aRequest, bool aRequestsTableExists);

  /// The bytes of the first step.
  std::string Start(BackendSession& aSession);

  /// Takes a message of the server. Returns bytes to send, empty if there are none.
  std::string HandleMessage(const MessageView& aMessage, BackendSession& aSession);

  bool IsFinished() const { return this->finished; }
  UnitResult TakeResult() { return std::move(this->result); }

  /// True once bytes of the unit's payload were handed out.
  bool IsStatementSent() const { return this->statementSent; }
  /// True while the payload runs, when a cancellation concerns this unit only.
  bool IsPayloadRunning() const { return this->step == Step::Payload; }
  /// True if the answer became too large and the statement must be cancelled. Reported once.
  bool TakeCancelRequested() { return std::exchange(this->cancelRequested, false); }
  /// A piece of the answer of a read that can be relayed now; empty if there is none.
  std::string TakeStreamablePiece();
  bool RequestsTableCreated() const { return this->tableCreated; }

private:
  enum class Step : std::uint8_t
  {
    Settings,
    EnsureTable,
    Begin,
    Lookup,
    Record,
    Prepare,
    Payload,
    StoreTag,
    Commit,
    Rollback,
    FailTransaction,
    Position,
  };

  /// What follows a rollback.
  enum class AfterRollback : std::uint8_t
  {
    Finish,
    Restart,
    AskPosition,
  };

  std::string EnterStep(Step aStep, BackendSession& aSession);
  std::string EndStep(char aStatus, BackendSession& aSession);
  std::string AfterLookup(BackendSession& aSession);
  std::string AfterRecord(BackendSession& aSession);
  std::string AfterPayload(char aStatus, BackendSession& aSession);
  std::string AfterAnswerTooLarge(char aStatus, BackendSession& aSession);
  std::string AfterRollbackStep(BackendSession& aSession);
  std::string AfterPosition(BackendSession& aSession);
  std::string RollBack(AfterRollback aNext, BackendSession& aSession);
  std::string Finish();
  std::string HandlePayloadMessage(const MessageView& aMessage, BackendSession& aSession);
  void ReportAlreadyApplied();

  const StatementRequest& request;
  bool recordsRequestId = false; ///< Applies the request id.
  bool opensTransaction = false;
  bool simpleQuery = false;
  bool requestsTableExists = false;
  bool tableCreated = false;

  Step step = Step::Settings;
  AfterRollback afterRollback = AfterRollback::Finish;
  int recordAttempts = 0;
  int positionAttempts = 0;

  // Of the current step.
  std::optional<ErrorFields> error;
  std::string errorMessage; ///< The whole ErrorResponse.
  std::optional<std::vector<std::optional<std::string>>> row;
  std::string lastCommandTag;

  bool statementSent = false;
  bool mayWrite = false; ///< Cleared only for units that cannot have written.
  bool copyRefused = false;
  bool answerTooLarge = false;
  bool cancelRequested = false;
  bool alreadyApplied = false;
  bool finished = false;
  std::string answer;
  std::string payloadCommandTag; ///< Of the last statement.
  int payloadCommandCount = 0;
  UnitResult result;
};

/// Largest answer of a write that is held until it is acknowledged.
constexpr std::size_t kMaxHeldAnswerBytes = std::size_t{ 16 } * 1024 * 1024;

/// Question for role, term and positions of a server.
constexpr std::string_view kStatusQuery = "SELECT * FROM platform_status()";

/// Reads a row of kStatusQuery; nothing if it is malformed. `slot` and `queriedAt` are not set.
std::optional<SlotStatus> ParseStatusRow(const std::vector<std::optional<std::string>>& aRow);

/// True if the SQL begins with one of the words, which are in upper case.
bool BeginsWithWord(std::string_view aSql, std::string_view aWord);

/// The SQL text of the first Query or Parse message of a unit, or of the prepared statement that
/// its first Bind refers to.
std::string_view FirstSqlOf(const StatementRequest& aRequest);

/// Answer for a unit that is not run: what its messages would have returned, without rows.
std::string BuildAnswerForSkippedUnit(std::string_view aPayload, std::string_view aCommandTag);

} // namespace oleanderledge
