#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/internal/ServiceDispatcher.hpp"

#include <QObject>
#include <QPointer>
#include <QTcpSocket>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oleanderledge {

/// What sessions need of the server that they belong to.
class SessionHost
{
public:
  virtual ~SessionHost() = default;
  virtual const Directory& CurrentDirectory() const = 0;
  virtual ServiceDispatcher& DispatcherOf(const std::string& aService) = 0;
  /// Counts how a statement of a route with this priority ended; no error means success.
  virtual void CountOutcome(std::uint32_t aPriority,
                            std::optional<StatementError> aError,
                            Duration aTook) = 0;
};

/// One caller: its settings, prepared statements and transaction. Carries out what needs no backend
/// server, and the rest on pooled connections.
class StatementSession : public QObject
{
  Q_OBJECT

public:
  StatementSession(const StatementProtocol& aProtocol,
                   SessionHost& aHost,
                   QTcpSocket* aSocket,
                   QObject* aParent);
  ~StatementSession() override;

  /// The first configuration is known now.
  void OnConfiguration();
  /// Ends what has taken too long. Called regularly.
  void CheckTime(Instant aNow);
  /// True if the session may be closed without cutting a request or a transaction.
  bool IsIdle() const;
  /// Ends an open transaction with a promise that nothing is kept, and closes the session.
  void AbortTransaction(std::string_view aReason);
  void Close();

Q_SIGNALS:
  void Closed();

private:
  struct PreparedShape
  {
    bool writes = false;
    std::string shape;
  };
  /// The statement being carried out.
  struct Running
  {
    Statement statement;
    Instant arrivedAt{};
    bool isSent = false; ///< Bytes of the statement itself went to a backend server.
    Instant sentAt{};
    int attempts = 0;
    std::set<std::string, std::less<>> excluded;
  };
  struct Transaction
  {
    TransactionState state = TransactionState::Idle;
    Statement begin;
    Instant arrivedAt{};
    bool onPrimary = false;
    bool hasBegun = false; ///< The backend server confirmed the begin.
    bool hasWritten = false;
    bool hasSet = false; ///< A setting was applied to the connection inside the transaction.
    int attempts = 0;
    std::set<std::string, std::less<>> excluded;
    std::optional<StatementError> failure; ///< Told to the caller with its next statement.
    std::string failureText;
    Instant lastActivity{};
  };
  using Continuation = std::function<void()>;

  void ReadAvailable();
  void ProcessNext();
  void Handle(StartUp aStartUp);
  void Handle(Statement aStatement);
  void HandleOwn(const Statement& aStatement);

  // Transactions.
  void BeginTransaction(const Statement& aStatement);
  void PlaceTransaction();
  void StartTransactionOn(const Placement& aPlacement);
  /// The placed backend server refused a begin.
  void NoteBeginRefused(const StatementResult& aResult);
  void FailTransaction(StatementError aError, std::string_view aText);
  void EndTransaction();
  void RunInTransaction();
  void OnTransactionResult(StatementResult aResult);

  // Single statements.
  void PlaceSingle();
  void StartSingleOn();
  void OnSingleResult(StatementResult aResult);
  void RetrySingle(StatementError aError, std::string_view aText);

  // Preparation of a connection.
  void ApplySettings(Continuation aDone);
  void PrepareIfNeeded(Continuation aDone);
  void RunOwn(const std::string& aRequest, std::function<void(const StatementResult&)> aDone);
  void SendRunning(const std::optional<LogPosition>& aAwait);
  void OnPreparationLost(const StatementResult& aResult);

  void LeaveSilentServer(Instant aNow);
  bool IsWrite(const Statement& aStatement) const;
  /// Asks the dispatcher for a connection; Disconnect() cancels.
  void Place(PlacementRequest aRequest, ServiceDispatcher::Callback aDone);
  PlacementRequest RequestFor(Instant aArrivedAt, bool aNeedsPrimary) const;
  ServiceDispatcher* Dispatcher();
  void ReleaseConnection(bool aInTransaction);
  void AnswerError(StatementError aError, std::string_view aText);
  void Answer(std::string aMessages, std::optional<StatementError> aError);
  void LogFailure(StatementError aError, std::string_view aText) const;
  /// The placed backend server did not run a statement, so another attempt follows.
  void LogRetry(std::string_view aId, StatementError aError, int aAttempts) const;
  void Disconnect();

  const StatementProtocol& protocol;
  SessionHost& host;
  QTcpSocket* socket;
  std::unique_ptr<CallerDecoder> decoder;
  std::deque<CallerMessage> inbox;
  std::string database;
  /// Waits for the first configuration.
  std::optional<StartUp> heldStartUp;
  Instant heldSince{};
  bool isStarted = false;
  bool isClosing = false;
  std::optional<RouteRow> route; ///< Of the present transaction or statement.
  SettingMap settings;
  std::map<std::string, PreparedShape, std::less<>> prepared;
  std::optional<Running> running;
  Transaction transaction;
  std::optional<Placement> placement;
  std::optional<ServiceDispatcher::Ticket> ticket;
  std::optional<LogPosition> lastCommit;
};

} // namespace oleanderledge
