#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/organisations/organisations.hpp"
#include "oleanderledge/statements/SessionCommits.hpp"
#include "oleanderledge/statements/internal/CallerChannel.hpp"
#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"
#include "oleanderledge/statements/internal/SessionQuota.hpp"

#include <QObject>
#include <QPointer>
#include <QTcpSocket>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oleanderledge {

/// The server as seen by its sessions.
class SessionHost
{
public:
  virtual ~SessionHost() = default;
  virtual const Directory& CurrentDirectory() const = 0;
  virtual ServiceDispatcher& DispatcherOf(const std::string& aService) = 0;
  /// True once a graceful stop has lasted so long that a new statement might not be answered before
  /// the process ends.
  virtual bool RefusesNewWork() const = 0;
  /// Admits operations of organisations with a limited rate; null: nothing is limited.
  virtual OperationAdmission* Admission() const = 0;
  /// Whether a caller with this key may use the route now.
  virtual KeyDecision CheckKey(const RouteRow& aRoute, std::string_view aKeyDigest) const = 0;
  /// Counts a finished statement by the priority of its route; std::nullopt means success. `aTook`
  /// is the time from arrival to answer.
  virtual void CountOutcome(std::uint32_t aPriority,
                            std::optional<StatementError> aError,
                            Duration aTook) = 0;
  virtual const ClientLimits& Limits() const = 0;
  virtual ResourceBudget& Budget() = 0;
  /// Closes the sessions that the budget selects, possibly the calling one. To be called from the
  /// event loop only, not while another session is handled.
  virtual void CloseSessionsOverBudget() = 0;
};

/// Session of one caller, with its settings, prepared statements and transaction. Executes SET,
/// PREPARE and the like itself, and reads, writes and transactions on pooled connections. Retries
/// an attempt on another connection if it certainly had no effect, or if it was a single read.
class StatementSession : public QObject
{
  Q_OBJECT

public:
  StatementSession(const StatementProtocol& aProtocol,
                   SessionHost& aHost,
                   QTcpSocket* aSocket,
                   ResourceBudget::ClientId aClient,
                   QObject* aParent);
  ~StatementSession() override;

  /// To be called when the first configuration is known, and when keys are trusted again; answers a
  /// start-up that waits for it.
  void ResumeStartUp();
  /// Enforces the time limits of the start-up, the statement and an idle transaction, and retries a
  /// single read whose server does not respond. Called periodically.
  void CheckTimeLimits(Instant aNow);
  /// True if no request is pending, no transaction is open and the last answer was sent by
  /// `aSince`.
  bool IsIdleSince(Instant aSince) const;
  /// Rolls back an open transaction, tells the caller that it was aborted and closes the session.
  /// Also closes a session whose transaction has failed. No effect while a statement runs or
  /// without a transaction.
  void AbortTransaction(std::string_view aReason);
  /// Answers the running statement, if any, without waiting for its backend server any longer.
  void EndStatement();
  /// Closes the session once all answers are sent; reads nothing any more.
  void Close();
  /// Closes the session at once, without an answer to a statement that runs.
  void CloseForLimit(ClosingReason aReason);
  ResourceBudget::ClientId Client() const { return this->client; }

Q_SIGNALS:
  void Closed();

private:
  /// A prepared statement.
  struct StatementTemplate
  {
    bool writes = false;
    std::string text;
  };
  /// The statement in progress.
  struct RunningStatement
  {
    Statement statement;
    Instant arrivedAt{};
    bool isSent = false; ///< The statement itself was sent to a backend server.
    /// Set while the statement may commit.
    std::optional<ServiceDispatcher::CommitToken> commit;
    /// Set while the acknowledgement of a commit waits for witnesses.
    CommitWitnesses::Owner heldAcknowledgement;
    Instant sentAt{};
    int attempts = 0;
    std::set<std::string, std::less<>> excluded; ///< Backend servers that failed to execute it.
  };
  struct Transaction
  {
    TransactionState state = TransactionState::Idle;
    Statement begin;
    Instant arrivedAt{};
    bool onPrimary = false;
    bool hasBegun = false; ///< The backend server confirmed BEGIN.
    bool hasRun = false;   ///< A statement of the caller was sent.
    bool hasWritten = false;
    /// A setting was applied to the connection inside the transaction.
    bool hasChangedSetting = false;
    int attempts = 0;
    std::set<std::string, std::less<>> excluded; ///< Backend servers that rejected its BEGIN.
    std::optional<StatementError> failure; ///< Returned to the caller with its next statement.
    std::string failureText;
    Instant lastActivity{};
  };
  using Continuation = std::function<void()>;

  void ReadAvailable();
  void ProcessNext();
  /// Answers a violation of the protocol and closes the session.
  void RejectViolation();
  /// Reports to the budget what is held for the caller.
  void UpdateHeld();
  /// Adjusts `keptBytes` for a setting or a prepared statement that replaces one of `aOldBytes`, 0
  /// if there is none. Answers the statement and returns false if the session would keep too much.
  bool ReserveKept(std::size_t aOldBytes, std::size_t aNewBytes);
  void Handle(StartUp aStartUp);
  void Handle(Statement aStatement);
  /// Why a start-up is refused, or nothing.
  std::optional<StatementError> RefusalOf(const StartUp& aStartUp) const;
  /// True if a start-up cannot be decided yet.
  bool MustWait(const StartUp& aStartUp) const;
  /// Checks the key for the running statement on a route and sets `organisation`. Answers the
  /// statement and returns false if it is not admitted.
  bool Authenticate(const RouteRow& aRoute);
  /// Continues once the limit of the organisation admits the operation that begins; refuses it
  /// otherwise.
  void AdmitOperation(Continuation aDone);
  /// Checks the key again after the wait for a token. Returns false if the operation ended.
  bool IsAdmissionValid();
  /// Rolls back the open transaction and answers the running statement with Aborted.
  void AbortRunning(std::string_view aReason);
  /// Answers the running statement, which was not sent, with an error that promises that nothing
  /// was executed, rolls back an open transaction and closes the session.
  void RefuseWhileStopping();
  /// Executes a statement that needs no backend server, or starts a transaction.
  void HandleLocally(const Statement& aStatement);

  // Transactions.
  void BeginTransaction(const Statement& aStatement);
  void PlaceTransaction();
  void StartTransaction(const Placement& aPlacement);
  /// Records that the backend server of the placement rejected BEGIN.
  void RecordBeginRefusal(const StatementResult& aResult);
  void FailTransaction(StatementError aError, std::string_view aText);
  /// Cancels a pending request for a connection and releases the connection that is held, which
  /// rolls back an open transaction. Also used for a single statement when the caller disconnects.
  void EndTransaction();
  /// Sends the running statement, or answers it with the failure of the transaction. No effect
  /// until BEGIN has succeeded or failed, after which it is called again.
  void RunInTransaction();
  void OnTransactionResult(StatementResult aResult);

  // Single statements.
  void PlaceSingleStatement();
  void StartSingleStatement();
  void OnSingleStatementResult(StatementResult aResult);
  void RetrySingleStatement(StatementError aError, std::string_view aText);

  // Preparation of a connection for the caller's statement.
  void ApplySettings(Continuation aDone);
  void PrepareIfNeeded(Continuation aDone);
  void RunPreparatory(const std::string& aRequest,
                      std::function<void(const StatementResult&)> aDone);
  void SendStatement(const std::optional<LogPosition>& aAwait);
  /// True if the running statement, or the transaction that it belongs to, would commit on a
  /// primary that is being replaced, or may be.
  bool IsCommitRefused();
  /// Answers the running statement, for which IsCommitRefused() holds, or has it wait for the
  /// successor of the primary.
  void RefuseCommit();
  /// True if the running statement was a commit whose confirmation by its server may come from a
  /// primary that is being replaced.
  bool IsCommitDoubtful();
  /// Answers the running statement, whose commit `aExecutedBy` confirmed, once it cannot be lost
  /// with a silent replica.
  void AcknowledgeCommit(const std::optional<LogPosition>& aPosition,
                         const std::string& aExecutedBy,
                         std::string aMessages);
  /// Places the running statement, the first one on its connection, anew, because its server may
  /// not be given new work any more.
  void MoveToOtherServer();
  /// The connection was lost while no statement of the caller ran on it, or it could not be
  /// prepared for one.
  void OnConnectionUnusable(const StatementResult& aResult);

  void RetryReadIfUnresponsive(Instant aNow);
  /// Answers the running statement and drops its connection. `aErrorIfExecuted` is the answer if
  /// the statement may have been executed.
  void GiveUp(StatementError aErrorIfExecuted, std::string_view aReason);
  bool IsWrite(const Statement& aStatement) const;
  /// Requests a connection from the dispatcher; EndTransaction() cancels.
  void RequestPlacement(PlacementRequest aRequest, ServiceDispatcher::Callback aDone);
  PlacementRequest NewPlacementRequest(Instant aArrivedAt, bool aNeedsPrimary) const;
  ServiceDispatcher* Dispatcher();
  void ReleaseConnection(bool aInTransaction);
  void AnswerError(StatementError aError, std::string_view aText);
  void Answer(std::string aMessages, std::optional<StatementError> aError);
  void LogFailure(StatementError aError, std::string_view aText) const;
  /// Logs that the backend server of the placement did not execute a statement, which is retried.
  void LogRetry(std::string_view aId, StatementError aError, int aAttempts) const;
  void HandleDisconnected();

  const StatementProtocol& protocol;
  SessionHost& host;
  QTcpSocket* socket;
  ResourceBudget::ClientId client;
  CallerChannel channel;
  Instant connectedAt = MonotonicNow();
  std::string database;
  std::string keyDigest; ///< See DigestOfKey().
  /// Organisation for which the current or last operation was admitted; empty: none.
  std::string organisation;
  std::optional<StartUp> pendingStartUp; ///< Received before it could be decided.
  Instant pendingStartUpSince{};
  bool isStarted = false;
  bool isClosing = false;
  std::optional<RouteRow> route; ///< Of the current transaction or statement.
  SettingMap settings;
  std::map<std::string, StatementTemplate, std::less<>> prepared;
  std::size_t keptBytes = 0; ///< Size of `settings` and `prepared`.
  std::optional<RunningStatement> running;
  Transaction transaction;
  SessionQuota quota;
  std::optional<Placement> placement;
  std::optional<ServiceDispatcher::Ticket> ticket;
  SessionCommits commits; ///< Of this session, for routes with read-your-writes.
};

} // namespace oleanderledge
