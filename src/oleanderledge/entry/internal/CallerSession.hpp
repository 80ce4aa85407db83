#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/entry/EntrySettings.hpp"
#include "oleanderledge/entry/internal/ForwardUnit.hpp"
#include "oleanderledge/entry/internal/SessionSettings.hpp"
#include "oleanderledge/entry/internal/UnitAnalysis.hpp"
#include "oleanderledge/entry/internal/UnitCollector.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// Result of an event on a session. The members are applied in their order.
struct SessionOutput
{
  std::string toCaller;               ///< Whole messages, to be written to the caller.
  std::optional<ForwardUnit> forward; ///< Unit to send to the owner.
  bool shouldClose = false;
  ResultCode closeReason = ResultCode::Ok;
  std::uint64_t localAnswers = 0; ///< Units answered without an owner.
  /// Errors contained in `toCaller`, for the counters.
  std::vector<std::pair<ResultCode, RunState>> errors;
};

/// Returns the current directory, or null while the entry has none.
using DirectorySource = std::function<const Directory*()>;

/// Protocol state of one caller's session after start-up. Performs no I/O and reads no clock.
///
/// Units are answered in order, one at a time. If a unit inside a transaction is refused or its
/// answer is lost, the transaction fails and later units are refused until the caller ends it.
/// Otherwise pipelined units could run outside the transaction they belong to.
class CallerSession
{
public:
  /// Class names are not checked if `aDirectory` is empty.
  CallerSession(std::uint64_t aChannel,
                const EntryLimits& aLimits,
                DirectorySource aDirectory = {});

  /// Handles the start-up message. Returns the reply to it without BackendKeyData and
  /// ReadyForQuery. Fails with InvalidSetting if a setting in the message has an invalid name or
  /// value.
  Result<std::string> Start(const StartupMessage& aStartup);

  /// Handles one whole message of the caller.
  SessionOutput OnMessage(std::string aMessage, Instant aNow);

  /// Handles one piece of the answer to the forwarded unit.
  SessionOutput OnReply(StatementReply&& aReply, Instant aNow);

  /// Sets whether the caller's output buffer is full; no further unit is started while it is.
  SessionOutput SetOutputFull(bool aIsFull);

  /// True if no unit is running or queued and no transaction is open.
  bool IsIdle() const;
  bool IsInTransaction() const { return this->transactionStatus != 'I'; }
  /// False while the queue of units is at its limit, so that the socket must not be read.
  bool CanAcceptInput() const;

private:
  /// A change of a backend setting. Without a value, the setting returns to its start-up value.
  struct SettingChange
  {
    std::string name;
    std::optional<std::string> value;
  };

  struct PreparedChange
  {
    std::string name;
    SessionStatement statement;
  };

  /// The unit that was forwarded and is not answered yet.
  struct RunningUnit
  {
    bool isInternalRollback = false; ///< Sent by the session itself; the answer is not relayed.
    bool wasInTransaction = false;
    bool beginsTransaction = false;
    bool endsTransaction = false;
    bool readOnly = false;
    bool hasError = false;
    std::size_t parseCompletes = 0; ///< ParseComplete messages in the answer.
    std::string lastCommandTag;
    std::vector<std::string> reported; ///< ParameterStatus names in the answer.
    std::vector<PreparedChange> parses;
    std::vector<std::string> closes;
    std::vector<SettingChange> settings;
  };

  void RunQueued(SessionOutput& aOutput);
  void RunUnit(CollectedUnit&& aUnit, SessionOutput& aOutput);
  void RunInFailedTransaction(const UnitAnalysis& aAnalysis, SessionOutput& aOutput);
  void Forward(CollectedUnit&& aUnit, UnitAnalysis&& aAnalysis, SessionOutput& aOutput);
  void StorePreparedStatement(const std::string& aName, SessionStatement&& aStatement);
  void RemovePreparedStatement(const std::string& aName);
  /// Checks the prepared statements of a unit before it is forwarded. Returns Ok, UnknownStatement
  /// or MessageTooLarge.
  ResultCode CheckPreparedStatements(const UnitAnalysis& aAnalysis) const;
  void CollectStatementChanges(const UnitAnalysis& aAnalysis, RunningUnit& aRunning) const;
  bool IsRetrySafe(const UnitAnalysis& aAnalysis, const StatementRequest& aRequest) const;
  /// Payload of the unit with each SET and RESET of a backend setting replaced by SET LOCAL.
  std::string RewriteForTransaction(const UnitAnalysis& aAnalysis) const;

  bool IsAnsweredLocally(const RecognizedStatement& aStatement) const;
  void AnswerLocally(const UnitAnalysis& aAnalysis, SessionOutput& aOutput);
  Result<void> AnswerMessage(const UnitMessage& aMessage, SessionOutput& aOutput);
  Result<void> ExecuteLocally(const RecognizedStatement& aStatement, SessionOutput& aOutput);
  Result<void> ExecuteSet(const RecognizedStatement& aStatement);
  bool IsKnownClass(std::string_view aName) const;
  std::string DescribeLocally(const RecognizedStatement& aStatement) const;
  void ReportSetting(std::string_view aName, SessionOutput& aOutput) const;

  /// Writes the error for a refused unit and fails the transaction if one is open.
  void Refuse(ResultCode aCode, std::string_view aDetail, SessionOutput& aOutput);
  void WriteError(ResultCode aCode,
                  RunState aRunState,
                  std::string_view aDetail,
                  std::int64_t aRetryAfterMs,
                  SessionOutput& aOutput) const;
  /// Marks the open transaction as failed and sends ROLLBACK to its owner.
  void FailTransaction(SessionOutput& aOutput);
  void RelayPayload(const std::string& aPayload, SessionOutput& aOutput);
  void FinishUnit(const StatementReply& aReply, SessionOutput& aOutput);
  void ApplyChanges(const RunningUnit& aFinished, bool aSucceeded, SessionOutput& aOutput);
  void SetTransactionStatus(char aStatus);

  std::uint64_t channel;
  EntryLimits limits;
  DirectorySource directory;
  UnitCollector collector;
  std::string user;
  std::string database;
  SessionSettings settings;
  SessionStatements preparedStatements;
  std::size_t preparedBytes = 0; ///< Of the Parse messages in `preparedStatements`.
  std::deque<CollectedUnit> queue;
  std::size_t queuedBytes = 0;
  bool isOutputFull = false;
  Instant runnableSince{}; ///< Time of the answer to the last forwarded unit.
  std::optional<RunningUnit> running;
  /// Backend settings changed inside the open transaction; applied only if it commits.
  std::vector<SettingChange> pendingSettings;
  char transactionStatus = 'I'; ///< Status of the last ReadyForQuery.
  bool isFailedLocally = false; ///< Status is 'E' without an open transaction at an owner.
  bool beginFailed = false;     ///< The transaction failed before it was opened.
  bool transactionReadOnly = false;
};

} // namespace oleanderledge
