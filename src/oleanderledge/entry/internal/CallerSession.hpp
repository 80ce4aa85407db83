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

/// What a session wants done after an event, in the order of the members.
struct SessionOutput
{
  std::string toCaller; ///< Whole messages.
  std::optional<ForwardUnit> forward;
  bool shouldClose = false;
  ResultCode closeReason = ResultCode::Ok;
  std::uint64_t localAnswers = 0; ///< Units answered without an owner.
  /// An error that was written to the caller, for counters.
  std::vector<std::pair<ResultCode, RunState>> errors;
};

/// Gives the directory in force, or null while the entry has none.
using DirectorySource = std::function<const Directory*()>;

/// State of one caller's connection after start-up. Pure.
///
/// Units are answered in order, one at a time. While a transaction is open, a unit that is refused
/// or whose answer is lost fails the transaction: later units are refused until the caller ends it,
/// so that units already under way never run outside the transaction they belong to.
class CallerSession
{
public:
  /// Without a source of the directory, class names are not checked.
  CallerSession(std::uint64_t aChannel,
                const EntryLimits& aLimits,
                DirectorySource aDirectory = {});

  /// Takes the start-up message. Returns the messages that open the session, without
  /// BackendKeyData and ReadyForQuery. Fails with InvalidSetting.
  Result<std::string> Start(const StartupMessage& aStartup);

  /// Takes one whole message of the caller.
  SessionOutput OnMessage(std::string aMessage, Instant aNow);

  /// Takes a piece of the answer to the unit that was forwarded.
  SessionOutput OnReply(StatementReply&& aReply, Instant aNow);

  /// While the caller's output is full, no further unit is started.
  SessionOutput SetOutputFull(bool aIsFull);

  /// No unit is running or queued and no transaction is open.
  bool IsIdle() const;
  bool IsInTransaction() const { return this->transactionStatus != 'I'; }
  /// False while so much is queued that the socket should not be read.
  bool CanAcceptInput() const;

private:
  /// A change of a remembered setting; no value returns it to its start-up value.
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

  /// The unit that an owner is working on.
  struct RunningUnit
  {
    bool isInternalRollback = false; ///< Sent by the session itself; its answer is not relayed.
    bool wasInTransaction = false;
    bool beginsTransaction = false;
    bool endsTransaction = false;
    bool readOnly = false;
    bool hasError = false;
    std::size_t parseCompletes = 0;
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
  /// Why a unit is refused before anything of it is looked at by an owner, or Ok.
  ResultCode CheckPreparedStatements(const UnitAnalysis& aAnalysis) const;
  void CollectStatementChanges(const UnitAnalysis& aAnalysis, RunningUnit& aRunning) const;
  bool IsRetrySafe(const UnitAnalysis& aAnalysis, const StatementRequest& aRequest) const;
  std::string RewriteForTransaction(const UnitAnalysis& aAnalysis) const;

  bool IsAnsweredLocally(const RecognizedStatement& aStatement) const;
  void AnswerLocally(const UnitAnalysis& aAnalysis, SessionOutput& aOutput);
  Result<void> AnswerMessage(const UnitMessage& aMessage, SessionOutput& aOutput);
  Result<void> ExecuteLocally(const RecognizedStatement& aStatement, SessionOutput& aOutput);
  Result<void> ExecuteSet(const RecognizedStatement& aStatement);
  bool IsKnownClass(std::string_view aName) const;
  std::string DescribeLocally(const RecognizedStatement& aStatement) const;
  void ReportSetting(std::string_view aName, SessionOutput& aOutput) const;

  /// Writes the error of a refused unit and fails an open transaction.
  void Refuse(ResultCode aCode, std::string_view aDetail, SessionOutput& aOutput);
  void WriteError(ResultCode aCode,
                  RunState aRunState,
                  std::string_view aDetail,
                  std::int64_t aRetryAfterMs,
                  SessionOutput& aOutput) const;
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
  std::size_t preparedBytes = 0;
  std::deque<CollectedUnit> queue;
  std::size_t queuedBytes = 0;
  bool isOutputFull = false;
  Instant runnableSince{}; ///< When the last forwarded unit was answered.
  std::optional<RunningUnit> running;
  /// Settings changed inside the open transaction; they last only if it commits.
  std::vector<SettingChange> pendingSettings;
  char transactionStatus = 'I'; ///< As in the last ReadyForQuery.
  bool isFailedLocally = false; ///< Status is 'E' but no owner holds a transaction.
  bool beginFailed = false;     ///< Failed before the transaction was opened.
  bool transactionReadOnly = false;
};

} // namespace oleanderledge
