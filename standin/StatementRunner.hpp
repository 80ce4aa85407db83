#pragma once

#include "SessionSettings.hpp"
#include "SlotContext.hpp"
#include "Statement.hpp"
#include "StatementResult.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <optional>

namespace oleanderledge::stand_in {

/// Runs the statements of one session, one at a time, and keeps its transaction and settings.
class StatementRunner : public QObject
{
public:
  using Done = std::function<void(StatementResult)>;

  StatementRunner(SlotContext& aContext, QObject* aParent);
  ~StatementRunner() override;
  StatementRunner(const StatementRunner&) = delete;
  StatementRunner& operator=(const StatementRunner&) = delete;

  SessionSettings& Settings() { return this->settings; }

  /// Starts a statement. `aDone` is called exactly once, possibly before Run() returns, unless the
  /// runner is stopped first.
  void Run(const Statement& aStatement, const Parameters& aParameters, Done aDone);

  /// Columns and parameters of a statement, without running it.
  StatementShape Describe(const Statement& aStatement);

  /// Ends a batch (one Query, or the messages up to Sync): commits a transaction that no BEGIN
  /// opened, or rolls it back if a statement failed. Returns the error of the commit.
  std::optional<SqlError> EndBatch();

  /// Cancels the statement that waits for its service time, a sleep or the writer token.
  void Cancel();

  /// Rolls back and releases the writer token. No statement may run afterwards.
  void Stop();

  /// Resumes work that was deferred while the slot was frozen.
  void Thaw();

  /// Marks the open transaction as failed, for errors found outside Run().
  void FailTransaction();

  /// 'I', 'T' or 'E', as in ReadyForQuery.
  char Status() const;
  bool IsRunning() const { return static_cast<bool>(this->done); }

private:
  void StartDelay(double aMilliseconds);
  void DelayEnded();
  void ContinueAfterDelay();
  void Execute();
  void TokenTimedOut();
  void Finish(StatementResult aResult);
  void FinishWithError(std::string aSqlstate, std::string aMessage);
  void FinishWithTag(std::string aTag);

  bool RunTransactionStatement();
  bool RunSettingStatement();
  void RunBegin();
  void RunCommit();
  void RunSet();
  void RunSetTransaction();
  void RunShow();
  void RunSavepoint();
  void RunPlatformStatus();
  void RunPlatformPromote();
  void RunSleep();

  bool IsReadOnly() const;
  bool HoldsToken() const { return this->context.writerToken.IsHeldBy(this); }
  std::optional<SqlError> Commit();
  void Rollback();
  void CloseTransaction();
  std::string ArgumentOrParameter() const;

  SlotContext& context;
  SessionSettings settings;
  SessionSettings settingsAtBegin;      ///< SET is undone by ROLLBACK.
  SessionSettings settingsWithoutLocal; ///< Settings without SET LOCAL, restored by COMMIT.

  bool transactionOpen = false; ///< A transaction is open, explicit or implicit.
  bool isExplicit = false;      ///< BEGIN opened it.
  bool transactionFailed = false;
  bool hasLocalSettings = false;
  std::optional<bool> transactionReadOnly;

  Statement statement;
  Parameters parameters;
  Done done;
  QTimer delayTimer;
  QTimer tokenTimer;
  bool delayEndedWhileFrozen = false;
  bool stopped = false;
  bool grantedWhileFrozen = false;
};

} // namespace oleanderledge::stand_in
