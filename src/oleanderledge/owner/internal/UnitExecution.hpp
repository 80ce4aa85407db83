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

/// Result of running a unit on a connection.
struct UnitResult
{
  ResultCode code = ResultCode::Ok;
  RunState runState = RunState::Ran;
  std::string message;
  std::string answer;           ///< Backend messages without ReadyForQuery.
  char transactionStatus = 'I'; ///< Of the connection, as in ReadyForQuery: I, T or E.
  /// The unit may have committed writes: its answer acknowledges them and waits for the in-sync
  /// set.
  bool isWrite = false;
  bool positionKnown = false;     ///< `position` and `positionIsPrimary` are set.
  bool positionIsPrimary = false; ///< The server reported itself as the primary.
  LogPosition position;           ///< End of the server's log after the unit.
};

/// Runs one unit on one connection as a sequence of steps: settings, record of the request id,
/// prepared statements, payload, query of the log position. Performs no I/O.
class UnitExecution
{
public:
  /// `aRequest` must outlive the execution. `aRequestsTableExists` tells whether the primary is
  /// known to have the table `oleanderledge_requests`.
  UnitExecution(const StatementRequest& aRequest, bool aRequestsTableExists);

  /// Begins the first step and returns the bytes to send.
  std::string Start(BackendSession& aSession);

  /// Processes a message of the server. Returns bytes to send, empty if there are none.
  std::string HandleMessage(const MessageView& aMessage, BackendSession& aSession);

  bool IsFinished() const { return this->finished; }
  /// Moves the result out; valid once IsFinished().
  UnitResult TakeResult() { return std::move(this->result); }

  /// True once the payload of the unit was returned for sending, so that it may have run.
  bool IsStatementSent() const { return this->statementSent; }
  /// True while the payload runs, so that a cancellation affects the caller's statement and no
  /// other step.
  bool IsPayloadRunning() const { return this->step == Step::Payload; }
  /// Returns true once after the answer became too large, when the statement must be cancelled.
  bool TakeCancelRequested() { return std::exchange(this->cancelRequested, false); }
  /// Removes and returns the part of a read's answer that can be sent now; empty while it is small,
  /// and always for units that may write.
  std::string TakeStreamablePiece();
  /// True if this execution created the table `oleanderledge_requests` or found it.
  bool RequestsTableCreated() const { return this->tableCreated; }

private:
  enum class Step : std::uint8_t
  {
    Settings,
    EnsureTable, ///< Creates the table of request ids if it does not exist.
    Begin,       ///< Begins the transaction that records the request id and runs the payload.
    Lookup,      ///< Searches for the request id among those already applied.
    Record,      ///< Inserts the request id.
    Prepare,
    Payload,
    StoreTag, ///< Stores the payload's command tag with the request id.
    Commit,
    Rollback,
    FailTransaction, ///< Puts the caller's transaction into the failed state.
    Position,        ///< Queries the end of the server's log.
  };

  /// What follows a rollback.
  enum class AfterRollback : std::uint8_t
  {
    Finish,
    Restart,
    AskPosition,
  };

  /// Begins a step, or the next one that applies, and returns the bytes to send.
  std::string EnterStep(Step aStep, BackendSession& aSession);
  /// Handles the ReadyForQuery that ends the current step and enters the next one.
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
  bool recordsRequestId = false; ///< The request id is looked up and recorded.
  bool opensTransaction = false;
  bool simpleQuery = false;
  bool requestsTableExists = false;
  bool tableCreated = false;

  Step step = Step::Settings;
  AfterRollback afterRollback = AfterRollback::Finish;
  int recordAttempts = 0;
  int positionAttempts = 0;

  // State of the current step.
  std::optional<ErrorFields> error;
  std::string errorMessage; ///< The whole ErrorResponse.
  std::optional<std::vector<std::optional<std::string>>> row;
  std::string lastCommandTag;

  bool statementSent = false;
  bool mayWrite = false; ///< False only for units that cannot have written.
  bool copyRefused = false;
  bool answerTooLarge = false;
  bool cancelRequested = false;
  bool alreadyApplied = false;
  bool finished = false;
  std::string answer;
  std::string payloadCommandTag; ///< Of the last statement of the payload.
  int payloadCommandCount = 0;
  UnitResult result;
};

/// Largest answer of a unit that may write; it is held in memory until the write is acknowledged.
constexpr std::size_t kMaxHeldAnswerBytes = std::size_t{ 16 } * 1024 * 1024;

/// Query of the role, term and log positions of a server.
constexpr std::string_view kStatusQuery = "SELECT * FROM platform_status()";

/// Parses a row of kStatusQuery; `slot` and `queriedAt` are not set. Returns nothing if the row is
/// malformed.
std::optional<SlotStatus> ParseStatusRow(const std::vector<std::optional<std::string>>& aRow);

/// True if the first word of the SQL is `aWord`, ignoring case. `aWord` must be in upper case.
bool BeginsWithWord(std::string_view aSql, std::string_view aWord);

/// The SQL text of the first Query, Parse or Bind message of a unit. For a Bind it is the text of
/// the prepared statement that it names; empty if that is not known.
std::string_view FirstSqlOf(const StatementRequest& aRequest);

/// Builds the answer of a unit that is not run: the messages that the server would have returned,
/// without rows.
std::string BuildAnswerForSkippedUnit(std::string_view aPayload, std::string_view aCommandTag);

} // namespace oleanderledge
