#include "oleanderledge/statements/internal/StatementSession.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Attempts to run one statement, or to begin one transaction, on different connections.
constexpr int kMaxAttempts = 4;
/// A statement waits for a connection at most this part of its target, 1 in so many. Refusing
/// later leaves the caller no time for another proxy.
constexpr int kWaitPartOfTarget = 4;
constexpr Duration kShortestWait = std::chrono::milliseconds(50);

/// A read leaves a server that is silent, after this time without an answer.
constexpr Duration kSilentReadLimit = std::chrono::milliseconds(200);

/// A proxy that has just started waits this long for the configuration before it refuses callers,
/// who wait for 2 s.
constexpr Duration kStartUpLimit = std::chrono::milliseconds(1500);

/// Names of prepared statements on backend connections follow the shape, so that all sessions share
/// them and names of different sessions cannot collide.
std::string SharedName(bool aWrites, std::string_view aShape)
{
  return (aWrites ? "w" : "r") + std::string(aShape);
}

std::string RetryAfterText(std::chrono::milliseconds aDelay)
{
  return "retry_after_ms=" + std::to_string(aDelay.count());
}

/// When a refused caller may expect to be served: a queue drains within about this time.
constexpr std::chrono::milliseconds kRetryAfterQueue(200);
/// A primary is replaced within about this time.
constexpr std::chrono::milliseconds kRetryAfterFailover(1000);

bool IsRefusal(StatementError aError)
{
  return aError == StatementError::Overloaded || aError == StatementError::Unavailable;
}

std::string RefusalText(StatementError aError)
{
  return aError == StatementError::Overloaded
           ? "no connection was free; " + RetryAfterText(kRetryAfterQueue)
           : "no backend server can run it now; " + RetryAfterText(kRetryAfterFailover);
}

} // namespace

StatementSession::StatementSession(const StatementProtocol& aProtocol,
                                   SessionHost& aHost,
                                   QTcpSocket* aSocket,
                                   QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , host(aHost)
  , socket(aSocket)
  , decoder(aProtocol.NewCallerDecoder())
{
  this->socket->setParent(this);
  this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &StatementSession::ReadAvailable);
  QObject::connect(this->socket, &QTcpSocket::disconnected, this, &StatementSession::Disconnect);
}

StatementSession::~StatementSession()
{
  this->isClosing = true;
  this->socket->disconnect(this);
  this->Disconnect();
}

void StatementSession::Disconnect()
{
  this->EndTransaction();
  this->running.reset();
  if (!this->isClosing) {
    this->isClosing = true;
    Q_EMIT this->Closed();
  }
}

void StatementSession::Close()
{
  this->socket->disconnectFromHost();
}

bool StatementSession::IsIdle() const
{
  return !this->running && this->inbox.empty() && this->transaction.state == TransactionState::Idle;
}

void StatementSession::ReadAvailable()
{
  const QByteArray bytes = this->socket->readAll();
  this->decoder->Append({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  while (auto next = this->decoder->Next()) {
    if (!*next) {
      WriteLog(LogEvent::CallerClosed,
               "database=" + this->database + " reason=" + next->error().message);
      this->socket->write(QByteArray::fromStdString(
        this->protocol.Failure(StatementError::Malformed, next->error().message)));
      this->Close();
      return;
    }
    this->inbox.push_back(std::move(next->value()));
  }
  this->ProcessNext();
}

void StatementSession::ProcessNext()
{
  while (!this->running && !this->heldStartUp && !this->inbox.empty() && !this->isClosing) {
    CallerMessage message = std::move(this->inbox.front());
    this->inbox.pop_front();
    if (std::holds_alternative<Terminate>(message)) {
      this->Close();
      return;
    }
    if (auto* startUp = std::get_if<StartUp>(&message)) {
      this->Handle(std::move(*startUp));
      continue;
    }
    this->Handle(std::move(std::get<Statement>(message)));
  }
}

void StatementSession::Handle(StartUp aStartUp)
{
  const Directory& directory = this->host.CurrentDirectory();
  if (!this->isStarted && directory.ConfigurationNumber() == 0 && !this->heldStartUp) {
    this->heldStartUp = std::move(aStartUp);
    this->heldSince = MonotonicNow();
    return;
  }
  this->heldStartUp.reset();
  std::optional<StatementError> refusal;
  if (this->isStarted) {
    refusal = StatementError::Malformed;
  } else if (directory.ConfigurationNumber() == 0) {
    refusal = StatementError::Unavailable;
  } else if (directory.FindRoute(aStartUp.database) == nullptr) {
    refusal = StatementError::UnknownDatabase;
  }
  if (refusal) {
    WriteLog(LogEvent::CallerRejected,
             "database=" + aStartUp.database + " error=" + std::string(ToString(*refusal)) +
               " configuration=" + std::to_string(directory.ConfigurationNumber()));
    this->socket->write(QByteArray::fromStdString(
      this->protocol.Failure(*refusal, RetryAfterText(kRetryAfterFailover))));
    this->Close();
    return;
  }
  this->database = std::move(aStartUp.database);
  this->isStarted = true;
  this->Answer({}, std::nullopt);
}

void StatementSession::OnConfiguration()
{
  if (this->heldStartUp) {
    this->Handle(StartUp(*this->heldStartUp));
    this->ProcessNext();
  }
}

void StatementSession::Handle(Statement aStatement)
{
  this->running = Running{};
  this->running->statement = std::move(aStatement);
  this->running->arrivedAt = MonotonicNow();
  const Statement& statement = this->running->statement;
  if (!this->isStarted) {
    this->AnswerError(StatementError::Malformed, "a session begins with its start-up");
    return;
  }
  if (this->transaction.state == TransactionState::Failed) {
    if (statement.kind == StatementKind::Rollback) {
      this->transaction = Transaction{};
      this->Answer(this->protocol.Completed(), std::nullopt);
    } else if (statement.kind == StatementKind::Commit) {
      this->transaction = Transaction{};
      this->AnswerError(StatementError::Aborted, "the transaction failed and was rolled back");
    } else {
      this->AnswerError(StatementError::Malformed, "the transaction failed; end it first");
    }
    return;
  }
  this->transaction.lastActivity = this->running->arrivedAt;
  switch (statement.kind) {
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
      if (statement.kind == StatementKind::Execute && !this->prepared.contains(statement.name)) {
        this->AnswerError(StatementError::UnknownStatement, statement.name);
        return;
      }
      if (this->transaction.state == TransactionState::Open) {
        this->RunInTransaction();
        return;
      }
      if (const RouteRow* found = this->host.CurrentDirectory().FindRoute(this->database)) {
        this->route = *found;
        this->PlaceSingle();
      } else {
        this->AnswerError(StatementError::UnknownDatabase, this->database);
      }
      return;
    case StatementKind::Commit:
      if (this->transaction.state == TransactionState::Open) {
        this->RunInTransaction();
        return;
      }
      this->AnswerError(StatementError::Malformed, "no transaction is open");
      return;
    default:
      this->HandleOwn(statement);
  }
}

void StatementSession::HandleOwn(const Statement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
      this->BeginTransaction(aStatement);
      return;
    case StatementKind::Rollback:
      this->EndTransaction();
      break;
    case StatementKind::Set:
      this->settings[aStatement.name] = aStatement.argument;
      break;
    case StatementKind::Prepare:
      this->prepared[aStatement.name] = { aStatement.writes, aStatement.argument };
      break;
    case StatementKind::Deallocate:
      this->prepared.erase(aStatement.name);
      break;
    default:
      this->AnswerError(StatementError::Malformed, "unknown statement");
      return;
  }
  this->Answer(this->protocol.Completed(), std::nullopt);
}

// --- Transactions -------------------------------------------------------------------------------

void StatementSession::BeginTransaction(const Statement& aStatement)
{
  if (this->transaction.state != TransactionState::Idle) {
    this->AnswerError(StatementError::Malformed, "a transaction is open");
    return;
  }
  const RouteRow* found = this->host.CurrentDirectory().FindRoute(this->database);
  if (found == nullptr) {
    this->AnswerError(StatementError::UnknownDatabase, this->database);
    return;
  }
  this->route = *found;
  this->transaction = Transaction{};
  this->transaction.state = TransactionState::Open;
  this->transaction.begin = aStatement;
  this->transaction.arrivedAt = this->running->arrivedAt;
  this->transaction.lastActivity = this->running->arrivedAt;
  // The caller goes on while the transaction is begun at a backend server.
  this->Answer(this->protocol.Completed(), std::nullopt);
  this->PlaceTransaction();
}

void StatementSession::PlaceTransaction()
{
  const bool needsPrimary = this->transaction.begin.kind == StatementKind::Begin ||
                            this->route->consistency == ReadConsistency::Primary;
  PlacementRequest request = this->RequestFor(this->transaction.arrivedAt, needsPrimary);
  request.excluded = this->transaction.excluded;
  this->Place(std::move(request),
              [this](std::optional<Placement> aPlacement, StatementError aError) {
                if (!aPlacement) {
                  this->FailTransaction(aError, RefusalText(aError));
                  return;
                }
                this->StartTransactionOn(*aPlacement);
              });
}

void StatementSession::StartTransactionOn(const Placement& aPlacement)
{
  this->placement = aPlacement;
  this->transaction.onPrimary = aPlacement.onPrimary;
  ++this->transaction.attempts;
  aPlacement.connection->SetLostWhileIdle([this] { this->OnPreparationLost({}); });
  this->ApplySettings([this] {
    const Statement& begin = this->transaction.begin;
    // The caller's own begin is passed on, unless the primary must prove that it leads.
    const bool isForwarded = !this->transaction.onPrimary || begin.kind == StatementKind::Begin;
    const std::string request =
      isForwarded ? this->protocol.Forward(begin.id, begin.text, this->placement->await)
                  : this->protocol.Begin();
    this->RunOwn(request, [this](const StatementResult& aResult) {
      if (!aResult.error) {
        this->transaction.hasBegun = true;
        if (this->placement->await) {
          this->placement->pool->NotePositionMet();
        }
        if (this->transaction.onPrimary && aResult.ready.position) {
          this->Dispatcher()->NotePrimaryPosition(aResult.sentAt, *aResult.ready.position);
        }
        if (this->running) {
          this->RunInTransaction();
        }
        return;
      }
      this->LogRetry(this->transaction.begin.id, aResult.error->error, this->transaction.attempts);
      if (aResult.error->error != StatementError::ReadOnly) {
        this->transaction.excluded.insert(this->placement->pool->Row().name);
      }
      this->NoteBeginRefused(aResult);
      this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
      if (this->transaction.attempts < kMaxAttempts) {
        this->PlaceTransaction();
      } else {
        this->FailTransaction(StatementError::Unavailable,
                              RefusalText(StatementError::Unavailable));
      }
    });
  });
}

void StatementSession::NoteBeginRefused(const StatementResult& aResult)
{
  const Instant now = MonotonicNow();
  if (aResult.error->error == StatementError::ReadOnly) {
    this->Dispatcher()->NoteNotLeading(this->placement->pool->Row().name, now);
  }
  this->placement->pool->NoteResult(aResult, now);
}

void StatementSession::FailTransaction(StatementError aError, std::string_view aText)
{
  this->transaction.failure = aError;
  this->transaction.failureText = aText;
  if (this->running) {
    this->RunInTransaction();
  }
}

void StatementSession::RunInTransaction()
{
  if (this->transaction.failure) {
    const StatementError error = *this->transaction.failure;
    const std::string text = this->transaction.failureText;
    const bool isCommit = this->running->statement.kind == StatementKind::Commit;
    this->transaction = Transaction{};
    this->transaction.state = isCommit ? TransactionState::Idle : TransactionState::Failed;
    this->AnswerError(error, text);
    return;
  }
  if (!this->transaction.hasBegun || this->running->isSent) {
    return;
  }
  this->ApplySettings(
    [this] { this->PrepareIfNeeded([this] { this->SendRunning(std::nullopt); }); });
}

void StatementSession::OnTransactionResult(StatementResult aResult)
{
  const Statement& statement = this->running->statement;
  const bool isCommit = statement.kind == StatementKind::Commit;
  const bool hadWritten = this->transaction.hasWritten;
  if (aResult.lost) {
    this->placement.reset();
    // Only a commit may have taken effect.
    const bool isUnknown = isCommit && hadWritten;
    this->transaction = Transaction{};
    this->transaction.state = isCommit ? TransactionState::Idle : TransactionState::Failed;
    this->AnswerError(isUnknown ? StatementError::Unknown : StatementError::Aborted,
                      "the connection to the backend server was lost");
    return;
  }
  this->placement->pool->NoteResult(aResult, MonotonicNow());
  if (aResult.error) {
    const StatementError error = aResult.error->error;
    const std::string raw = aResult.error->raw;
    if (error == StatementError::ReadOnly) {
      this->Dispatcher()->NoteNotLeading(this->placement->pool->Row().name, MonotonicNow());
    }
    this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
    this->transaction = Transaction{};
    this->transaction.state = isCommit ? TransactionState::Idle : TransactionState::Failed;
    this->LogFailure(error, "answered by the backend server");
    this->Answer(raw, error);
    return;
  }
  this->transaction.hasWritten = hadWritten || this->IsWrite(statement);
  if (isCommit) {
    if (hadWritten && aResult.ready.position) {
      this->Dispatcher()->NotePrimaryPosition(aResult.sentAt, *aResult.ready.position);
      this->lastCommit = *aResult.ready.position;
    }
    this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
    this->transaction = Transaction{};
  }
  this->Answer(aResult.rows + aResult.completed, std::nullopt);
}

void StatementSession::EndTransaction()
{
  if (this->ticket) {
    this->Dispatcher()->Cancel(*this->ticket);
    this->ticket.reset();
  }
  if (this->placement) {
    if (this->placement->connection->IsBusy()) {
      // The rollback that may follow may also undo a setting.
      if (this->transaction.hasSet) {
        this->placement->connection->settingsKnown = false;
      }
      this->placement->pool->ReleaseWhenDone(this->placement->connection);
      this->placement.reset();
    } else {
      this->ReleaseConnection(this->transaction.hasBegun);
    }
  }
  this->transaction = Transaction{};
}

void StatementSession::AbortTransaction(std::string_view aReason)
{
  if (this->running || this->transaction.state != TransactionState::Open) {
    return;
  }
  this->EndTransaction();
  this->transaction.state = TransactionState::Failed;
  const std::string message = this->protocol.Failure(StatementError::Aborted, aReason);
  this->socket->write(message.data(), static_cast<qint64>(message.size()));
  this->Close();
}

// --- Single statements --------------------------------------------------------------------------

void StatementSession::PlaceSingle()
{
  const bool needsPrimary =
    this->IsWrite(this->running->statement) || this->route->consistency == ReadConsistency::Primary;
  PlacementRequest request = this->RequestFor(this->running->arrivedAt, needsPrimary);
  request.excluded = this->running->excluded;
  this->Place(std::move(request),
              [this](std::optional<Placement> aPlacement, StatementError aError) {
                if (!aPlacement) {
                  this->AnswerError(aError, RefusalText(aError));
                  return;
                }
                this->placement = *aPlacement;
                this->StartSingleOn();
              });
}

void StatementSession::StartSingleOn()
{
  ++this->running->attempts;
  this->ApplySettings([this] {
    this->PrepareIfNeeded([this] {
      if (!this->placement->onPrimary || this->IsWrite(this->running->statement)) {
        this->SendRunning(this->placement->await);
        return;
      }
      // A primary that was replaced runs single reads but refuses a plain transaction.
      this->RunOwn(this->protocol.Begin(), [this](const StatementResult& aResult) {
        if (aResult.error) {
          this->NoteBeginRefused(aResult);
          this->LogRetry(
            this->running->statement.id, aResult.error->error, this->running->attempts);
          this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
          this->RetrySingle(aResult.error->error, RefusalText(aResult.error->error));
          return;
        }
        if (aResult.ready.position) {
          this->Dispatcher()->NotePrimaryPosition(aResult.sentAt, *aResult.ready.position);
        }
        this->SendRunning(std::nullopt);
      });
    });
  });
}

void StatementSession::OnSingleResult(StatementResult aResult)
{
  const bool isWrite = this->IsWrite(this->running->statement);
  const Instant now = MonotonicNow();
  if (aResult.lost) {
    this->placement.reset();
    if (isWrite) {
      this->AnswerError(StatementError::Unknown, "the connection to the backend server was lost");
    } else {
      this->RetrySingle(StatementError::Unknown, "the connection to the backend server was lost");
    }
    return;
  }
  BackendPool& pool = *this->placement->pool;
  pool.NoteResult(aResult, now);
  const bool inTransaction = aResult.ready.state != TransactionState::Idle;
  if (aResult.error) {
    const StatementError error = aResult.error->error;
    if (error == StatementError::ReadOnly) {
      this->Dispatcher()->NoteNotLeading(pool.Row().name, now);
    } else if (error == StatementError::UnknownStatement) {
      this->placement->connection->prepared.clear();
    }
    if (error != StatementError::ReadOnly) {
      this->running->excluded.insert(pool.Row().name);
    }
    const bool mayRetry = IsNotRun(error) || (!isWrite && error == StatementError::Failed);
    if (mayRetry) {
      this->LogRetry(this->running->statement.id, error, this->running->attempts);
    }
    this->ReleaseConnection(inTransaction);
    if (mayRetry) {
      this->RetrySingle(error, "answered by the backend server");
      return;
    }
    this->LogFailure(error, "answered by the backend server");
    this->Answer(aResult.error->raw, error);
    return;
  }
  if (this->placement->await) {
    pool.NotePositionMet();
  }
  if (isWrite && aResult.ready.position) {
    this->Dispatcher()->NotePrimaryPosition(aResult.sentAt, *aResult.ready.position);
    this->lastCommit = *aResult.ready.position;
  }
  this->ReleaseConnection(inTransaction);
  this->Answer(aResult.rows + aResult.completed, std::nullopt);
}

void StatementSession::RetrySingle(StatementError aError, std::string_view aText)
{
  const Instant limit =
    this->running->arrivedAt + std::chrono::milliseconds(this->route->statementTimeoutMs);
  this->running->isSent = false;
  if (this->running->attempts >= kMaxAttempts || MonotonicNow() >= limit) {
    this->AnswerError(aError, aText);
    return;
  }
  this->PlaceSingle();
}

// --- Preparation of a connection ----------------------------------------------------------------

void StatementSession::RunOwn(const std::string& aRequest,
                              std::function<void(const StatementResult&)> aDone)
{
  this->placement->connection->Run(aRequest,
                                   [this, done = std::move(aDone)](const StatementResult& aResult) {
                                     if (aResult.lost) {
                                       this->OnPreparationLost(aResult);
                                       return;
                                     }
                                     done(aResult);
                                   });
}

/// The connection was lost before the caller's statement was sent on it.
void StatementSession::OnPreparationLost(const StatementResult& /*aResult*/)
{
  this->placement.reset();
  if (this->transaction.state == TransactionState::Open) {
    if (!this->transaction.hasBegun && this->transaction.attempts < kMaxAttempts) {
      this->PlaceTransaction();
      return;
    }
    this->FailTransaction(StatementError::Aborted, "the connection to the backend server was lost");
    return;
  }
  if (this->running) {
    this->RetrySingle(StatementError::Unavailable, RefusalText(StatementError::Unavailable));
  }
}

void StatementSession::ApplySettings(Continuation aDone)
{
  BackendConnection& connection = *this->placement->connection;
  const bool hasOthers = std::ranges::any_of(connection.settings, [this](const auto& aEach) {
    return !this->settings.contains(aEach.first);
  });
  if (hasOthers || !connection.settingsKnown) {
    connection.settingsKnown = false;
    this->RunOwn(this->protocol.Discard(),
                 [this, &connection, done = std::move(aDone)](const StatementResult& aResult) {
                   if (aResult.error) {
                     this->placement->pool->Drop(&connection, false);
                     this->OnPreparationLost(aResult);
                     return;
                   }
                   connection.settings.clear();
                   connection.prepared.clear();
                   connection.settingsKnown = true;
                   this->ApplySettings(done);
                 });
    return;
  }
  for (const auto& [name, value] : this->settings) {
    const auto found = connection.settings.find(name);
    if (found != connection.settings.end() && found->second == value) {
      continue;
    }
    connection.settingsKnown = false;
    this->RunOwn(this->protocol.Set(name, value),
                 [this, &connection, setting = std::pair(name, value), done = std::move(aDone)](
                   const StatementResult& aResult) {
                   if (aResult.error) {
                     this->placement->pool->Drop(&connection, false);
                     this->OnPreparationLost(aResult);
                     return;
                   }
                   connection.settings[setting.first] = setting.second;
                   connection.settingsKnown = true;
                   this->transaction.hasSet = this->transaction.hasBegun;
                   this->ApplySettings(done);
                 });
    return;
  }
  aDone();
}

void StatementSession::PrepareIfNeeded(Continuation aDone)
{
  const Statement& statement = this->running->statement;
  if (statement.kind != StatementKind::Execute) {
    aDone();
    return;
  }
  BackendConnection& connection = *this->placement->connection;
  const PreparedShape& shape = this->prepared[statement.name];
  std::string name = SharedName(shape.writes, shape.shape);
  if (connection.prepared.contains(name)) {
    aDone();
    return;
  }
  this->RunOwn(this->protocol.Prepare(name, shape.writes, shape.shape),
               [this, &connection, name, done = std::move(aDone)](const StatementResult& aResult) {
                 if (aResult.error) {
                   this->placement->pool->Drop(&connection, false);
                   this->OnPreparationLost(aResult);
                   return;
                 }
                 connection.prepared.insert(name);
                 done();
               });
}

void StatementSession::SendRunning(const std::optional<LogPosition>& aAwait)
{
  if (!this->running) {
    return;
  }
  const Statement& statement = this->running->statement;
  std::string request;
  if (statement.kind == StatementKind::Execute) {
    const PreparedShape& shape = this->prepared[statement.name];
    request = this->protocol.Execute(
      statement.id, SharedName(shape.writes, shape.shape), statement.argument, aAwait);
  } else {
    request = this->protocol.Forward(statement.id, statement.text, aAwait);
  }
  this->running->isSent = true;
  this->running->sentAt = MonotonicNow();
  const bool inTransaction = this->transaction.state == TransactionState::Open;
  this->placement->connection->Run(request, [this, inTransaction](StatementResult aResult) {
    if (inTransaction) {
      this->OnTransactionResult(std::move(aResult));
    } else {
      this->OnSingleResult(std::move(aResult));
    }
  });
}

// --- Helpers ------------------------------------------------------------------------------------

void StatementSession::CheckTime(Instant aNow)
{
  if (this->heldStartUp && aNow - this->heldSince >= kStartUpLimit) {
    this->Handle(StartUp(*this->heldStartUp));
    return;
  }
  if (!this->route) {
    return;
  }
  const std::uint32_t idleLimitMs = this->host.CurrentDirectory().TransactionIdleMs();
  if (!this->running && this->transaction.state == TransactionState::Open && idleLimitMs > 0 &&
      aNow - this->transaction.lastActivity > std::chrono::milliseconds(idleLimitMs)) {
    this->AbortTransaction("the transaction was idle for too long");
    return;
  }
  this->LeaveSilentServer(aNow);
  if (!this->running || aNow - this->running->arrivedAt <
                          std::chrono::milliseconds(this->route->statementTimeoutMs)) {
    return;
  }
  const bool wasSent = this->running->isSent;
  const bool inTransaction = this->transaction.state == TransactionState::Open;
  const bool isCommit = this->running->statement.kind == StatementKind::Commit;
  const bool hasWritten = this->transaction.hasWritten;
  if (this->ticket) {
    this->Dispatcher()->Cancel(*this->ticket);
    this->ticket.reset();
  }
  if (this->placement) {
    const auto& lastAnswer = this->placement->pool->Health().LastAnswer();
    const Instant since = wasSent ? this->running->sentAt : this->running->arrivedAt;
    const bool isSilent = !lastAnswer || *lastAnswer < since;
    this->placement->pool->Drop(this->placement->connection, isSilent);
    this->placement.reset();
  }
  this->transaction = Transaction{};
  if (inTransaction && !isCommit) {
    this->transaction.state = TransactionState::Failed;
    this->AnswerError(StatementError::Aborted, "the statement timed out");
    return;
  }
  const bool mayHaveRun = wasSent && (!inTransaction || hasWritten);
  this->AnswerError(mayHaveRun ? StatementError::TimedOut : StatementError::Unavailable,
                    "the statement timed out");
}

/// A single read is run again elsewhere if its server is silent; a read may run twice.
void StatementSession::LeaveSilentServer(Instant aNow)
{
  const bool isRead = this->running && this->transaction.state == TransactionState::Idle &&
                      !this->IsWrite(this->running->statement);
  if (!isRead || !this->placement || this->placement->onPrimary ||
      !this->placement->pool->Health().IsFailing() || !this->placement->connection->IsBusy() ||
      aNow - this->placement->connection->SentAt() < kSilentReadLimit) {
    return;
  }
  this->running->excluded.insert(this->placement->pool->Row().name);
  this->placement->pool->Drop(this->placement->connection, false);
  this->placement.reset();
  this->RetrySingle(StatementError::Unknown, "the backend server is silent");
}

bool StatementSession::IsWrite(const Statement& aStatement) const
{
  if (aStatement.kind != StatementKind::Execute) {
    return aStatement.kind == StatementKind::Write;
  }
  const auto found = this->prepared.find(aStatement.name);
  return found != this->prepared.end() && found->second.writes;
}

PlacementRequest StatementSession::RequestFor(Instant aArrivedAt, bool aNeedsPrimary) const
{
  PlacementRequest request;
  request.needsPrimary = aNeedsPrimary;
  request.acceptedAge = std::chrono::milliseconds(this->route->acceptedAgeMs);
  if (this->route->consistency == ReadConsistency::ReadYourWrites) {
    request.ownCommit = this->lastCommit;
  }
  request.arrivedAt = aArrivedAt;
  const Duration wait = std::chrono::milliseconds(this->route->targetLatencyMs) / kWaitPartOfTarget;
  request.giveUpAt = aArrivedAt + std::max<Duration>(wait, kShortestWait);
  request.priority = this->route->priority;
  request.settings = &this->settings;
  return request;
}

void StatementSession::Place(PlacementRequest aRequest, ServiceDispatcher::Callback aDone)
{
  ServiceDispatcher* dispatcher = this->Dispatcher();
  const ServiceDispatcher::Ticket requested = dispatcher->NewTicket();
  this->ticket = requested;
  dispatcher->Request(
    requested,
    std::move(aRequest),
    [this, done = std::move(aDone)](std::optional<Placement> aPlacement, StatementError aError) {
      this->ticket.reset();
      done(aPlacement, aError);
    });
}

ServiceDispatcher* StatementSession::Dispatcher()
{
  return &this->host.DispatcherOf(this->route->service);
}

void StatementSession::ReleaseConnection(bool aInTransaction)
{
  const Placement released = *std::exchange(this->placement, std::nullopt);
  // The rollback may also undo a setting.
  if (aInTransaction && this->transaction.hasSet) {
    released.connection->settingsKnown = false;
  }
  released.pool->Release(released.connection, aInTransaction);
}

void StatementSession::AnswerError(StatementError aError, std::string_view aText)
{
  this->LogFailure(aError, aText);
  this->Answer(this->protocol.Failure(aError, aText), aError);
}

void StatementSession::LogFailure(StatementError aError, std::string_view aText) const
{
  const Duration age = this->running ? MonotonicNow() - this->running->arrivedAt : Duration{ 0 };
  WriteLog(LogEvent::StatementFailed,
           "id=" + (this->running ? this->running->statement.id : "-") +
             " database=" + this->database + " error=" + std::string(ToString(aError)) +
             " sent=" + (this->running && this->running->isSent ? "yes" : "no") + " attempts=" +
             std::to_string(this->running ? this->running->attempts : 0) + " age_ms=" +
             std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) +
             " reason=\"" + std::string(aText) + "\"" +
             (IsRefusal(aError) && this->route
                ? " " + this->host.DispatcherOf(this->route->service).Describe(MonotonicNow())
                : ""));
}

void StatementSession::LogRetry(std::string_view aId, StatementError aError, int aAttempts) const
{
  const auto& await = this->placement->await;
  WriteLog(LogEvent::StatementRetried,
           "id=" + std::string(aId) + " database=" + this->database + " backend=" +
             this->placement->pool->Row().name + " error=" + std::string(ToString(aError)) +
             " attempts=" + std::to_string(aAttempts) + " await=" +
             (await ? std::to_string(await->term) + "." + std::to_string(await->offset) : "none"));
}

void StatementSession::Answer(std::string aMessages, std::optional<StatementError> aError)
{
  const Instant now = MonotonicNow();
  if (this->running && this->route) {
    this->host.CountOutcome(this->route->priority, aError, now - this->running->arrivedAt);
  }
  this->running.reset();
  this->transaction.lastActivity = now;
  aMessages += this->protocol.Ready(this->transaction.state);
  this->socket->write(aMessages.data(), static_cast<qint64>(aMessages.size()));
  if (!this->inbox.empty()) {
    QMetaObject::invokeMethod(this, &StatementSession::ProcessNext, Qt::QueuedConnection);
  }
}

} // namespace oleanderledge
