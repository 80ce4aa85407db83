#include "oleanderledge/statements/internal/StatementSession.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Attempts per statement, or per BEGIN of a transaction, each on another connection.
constexpr int kMaxAttempts = 4;
/// A statement waits for a connection for at most the target latency of its route divided by this.
/// A later rejection would leave the caller no time to try another proxy.
constexpr int kTargetWaitDivisor = 5;
/// Added to that limit for callers of an organisation, for whom a connection may have to be opened:
/// two round trips between regions of 24 ms each and 12 ms at the server, in its queue.
constexpr Duration kOpeningAllowance = std::chrono::milliseconds(100);
/// Lower bound of that limit, for routes with a short target latency.
constexpr Duration kMinWait = std::chrono::milliseconds(50);

/// A single read whose server counts as failing is retried elsewhere if it was not answered within
/// this time.
constexpr Duration kReadNoResponseLimit = std::chrono::milliseconds(200);

/// A start-up that arrives before the first configuration is rejected after this time. It is
/// shorter than the 2 s that callers wait.
constexpr Duration kConfigurationWaitLimit = std::chrono::milliseconds(1500);

/// Name of a prepared statement on a backend connection. It is derived from the statement, so that
/// sessions share it and equal names in different sessions do not collide.
std::string SharedStatementName(bool aWrites, std::string_view aTemplate)
{
  return (aWrites ? "w" : "r") + std::string(aTemplate);
}

std::string RetryAfterText(std::chrono::milliseconds aDelay)
{
  return "retry_after_ms=" + std::to_string(aDelay.count());
}

/// Retry delays reported to rejected callers: a queue drains, and a primary is replaced, within
/// about this time.
constexpr std::chrono::milliseconds kRetryAfterOverload(200);
constexpr std::chrono::milliseconds kRetryAfterFailover(1000);
/// The load balancer connects a caller of a stopping proxy to another one at once.
constexpr std::chrono::milliseconds kRetryAfterStop(0);

/// Size of a setting or of a prepared statement, with an estimate of the overhead of its entry.
std::size_t EntryBytes(std::size_t aNameBytes, std::size_t aValueBytes)
{
  constexpr std::size_t kOverheadBytes = 256;
  return kOverheadBytes + aNameBytes + aValueBytes;
}

constexpr std::string_view kDoubtfulCommit =
  "committed by a server that may have been replaced meanwhile";

constexpr std::string_view kKeyWithdrawn = "the key of the session is not valid any more";

bool IsRefusal(StatementError aError)
{
  return aError == StatementError::Overloaded || aError == StatementError::Unavailable;
}

std::string RefusalText(StatementError aError)
{
  return aError == StatementError::Overloaded
           ? "no backend connection became available; " + RetryAfterText(kRetryAfterOverload)
           : "no backend server is available for the statement; " +
               RetryAfterText(kRetryAfterFailover);
}

std::string RefusalText(const PlacementRefusal& aRefusal)
{
  return aRefusal.retryAfter
           ? "the queue for connections is too long; " +
               RetryAfterText(std::chrono::ceil<std::chrono::milliseconds>(*aRefusal.retryAfter))
           : RefusalText(aRefusal.error);
}

} // namespace

StatementSession::StatementSession(const StatementProtocol& aProtocol,
                                   SessionHost& aHost,
                                   QTcpSocket* aSocket,
                                   ResourceBudget::ClientId aClient,
                                   QObject* aParent)
  : QObject(aParent)
  , protocol(aProtocol)
  , host(aHost)
  , socket(aSocket)
  , client(aClient)
  , channel(aProtocol.NewCallerDecoder(), *aSocket, aHost.Limits())
  , quota(aHost.Admission())
{
  this->socket->setParent(this);
  this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(this->socket, &QTcpSocket::readyRead, this, &StatementSession::ReadAvailable);
  QObject::connect(this->socket, &QTcpSocket::bytesWritten, this, &StatementSession::ProcessNext);
  QObject::connect(
    this->socket, &QTcpSocket::disconnected, this, &StatementSession::HandleDisconnected);
}

StatementSession::~StatementSession()
{
  this->isClosing = true;
  this->socket->disconnect(this);
  this->HandleDisconnected();
}

void StatementSession::HandleDisconnected()
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
  this->channel.StopReading();
  this->socket->disconnectFromHost();
}

void StatementSession::CloseForLimit(ClosingReason aReason)
{
  if (this->isClosing) {
    return;
  }
  this->host.Budget().RecordClosing(ClientPort::Callers,
                                    aReason,
                                    this->socket->peerAddress().toString().toStdString(),
                                    this->channel.HeldBytes() + this->keptBytes);
  this->channel.StopReading();
  this->socket->abort();
}

bool StatementSession::IsIdleSince(Instant aSince) const
{
  return !this->running && !this->channel.HasMessage() &&
         this->transaction.state == TransactionState::Idle &&
         this->transaction.lastActivity <= aSince;
}

void StatementSession::ReadAvailable()
{
  this->channel.Receive();
  this->UpdateHeld();
  this->host.CloseSessionsOverBudget();
  this->ProcessNext();
}

void StatementSession::ProcessNext()
{
  while (!this->running && !this->pendingStartUp && !this->isClosing &&
         this->channel.HasReadyMessage()) {
    CallerMessage message = this->channel.Take();
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
  if (!this->running && !this->pendingStartUp && !this->isClosing && !this->channel.HasMessage() &&
      this->channel.Violation()) {
    this->RejectViolation();
  }
  this->UpdateHeld();
}

void StatementSession::RejectViolation()
{
  const Error violation = *this->channel.Violation();
  this->host.Budget().RecordClosing(ClientPort::Callers,
                                    violation.code == ResultCode::MessageTooLarge
                                      ? ClosingReason::MessageTooLarge
                                      : ClosingReason::MalformedMessage,
                                    this->socket->peerAddress().toString().toStdString(),
                                    this->channel.HeldBytes());
  this->channel.Write(this->protocol.Failure(StatementError::Malformed, violation.message));
  this->Close();
}

void StatementSession::UpdateHeld()
{
  std::uint64_t bytes = this->channel.HeldBytes() + this->keptBytes;
  if (this->running) {
    // A statement that was sent is also held for the connection to its server.
    const Statement& statement = this->running->statement;
    bytes += BytesOf(statement) + (this->running->isSent ? statement.text.size() : 0);
  }
  this->host.Budget().SetHeld(this->client, bytes, this->running ? 1 : 0);
}

bool StatementSession::ReserveKept(std::size_t aOldBytes, std::size_t aNewBytes)
{
  const std::size_t bytes = this->keptBytes - aOldBytes + aNewBytes;
  if (bytes > this->host.Limits().sessionBytes) {
    this->AnswerError(StatementError::Malformed,
                      "the settings and prepared statements of the session are too large");
    return false;
  }
  this->keptBytes = bytes;
  return true;
}

void StatementSession::Handle(StartUp aStartUp)
{
  const Directory& directory = this->host.CurrentDirectory();
  if (!this->pendingStartUp && this->MustWait(aStartUp)) {
    this->host.Budget().MarkStarted(this->client);
    this->pendingStartUp = std::move(aStartUp);
    this->pendingStartUpSince = MonotonicNow();
    return;
  }
  this->pendingStartUp.reset();
  if (const auto refusal = this->RefusalOf(aStartUp)) {
    WriteLog(LogEvent::CallerRejected,
             "database=" + aStartUp.database + " error=" + std::string(ToString(*refusal)) +
               " configuration=" + std::to_string(directory.ConfigurationNumber()));
    this->channel.Write(this->protocol.Failure(*refusal, RetryAfterText(kRetryAfterFailover)));
    this->Close();
    return;
  }
  this->database = std::move(aStartUp.database);
  this->keyDigest = DigestOfKey(aStartUp.key);
  this->isStarted = true;
  this->host.Budget().MarkStarted(this->client);
  this->Answer({}, std::nullopt);
}

bool StatementSession::MustWait(const StartUp& aStartUp) const
{
  if (this->isStarted) {
    return false;
  }
  const Directory& directory = this->host.CurrentDirectory();
  const RouteRow* found = directory.FindRoute(aStartUp.database);
  return directory.ConfigurationNumber() == 0 ||
         (found != nullptr && this->host.CheckKey(*found, DigestOfKey(aStartUp.key)).verdict ==
                                KeyVerdict::OutOfContact);
}

std::optional<StatementError> StatementSession::RefusalOf(const StartUp& aStartUp) const
{
  if (this->isStarted) {
    return StatementError::Malformed;
  }
  const Directory& directory = this->host.CurrentDirectory();
  if (directory.ConfigurationNumber() == 0 || this->host.RefusesNewWork()) {
    return StatementError::Unavailable;
  }
  const RouteRow* found = directory.FindRoute(aStartUp.database);
  if (found == nullptr) {
    return StatementError::UnknownDatabase;
  }
  switch (this->host.CheckKey(*found, DigestOfKey(aStartUp.key)).verdict) {
    case KeyVerdict::Admitted:
      return std::nullopt;
    case KeyVerdict::UnknownKey:
      return StatementError::Unauthenticated;
    case KeyVerdict::OutOfContact:
      break;
  }
  return StatementError::Unavailable;
}

bool StatementSession::Authenticate(const RouteRow& aRoute)
{
  const KeyDecision decision = this->host.CheckKey(aRoute, this->keyDigest);
  const bool isAdmitted = decision.verdict == KeyVerdict::Admitted;
  if (this->transaction.state == TransactionState::Open) {
    // The connection belongs to the organisation that began the transaction.
    if (isAdmitted && decision.organisation == this->organisation) {
      return true;
    }
    this->AbortRunning(kKeyWithdrawn);
    return false;
  }
  if (!isAdmitted) {
    const bool isUnknown = decision.verdict == KeyVerdict::UnknownKey;
    this->AnswerError(isUnknown ? StatementError::Unauthenticated : StatementError::Unavailable,
                      isUnknown ? "the key of the session is not valid"
                                : "the proxy is out of contact with the control plane; " +
                                    RetryAfterText(kRetryAfterFailover));
    return false;
  }
  this->organisation = decision.organisation;
  return true;
}

void StatementSession::AdmitOperation(Continuation aDone)
{
  const bool isTransaction = this->transaction.state == TransactionState::Open;
  this->quota.Begin(
    this->host.CurrentDirectory().FindOrganisation(this->organisation),
    *this->route,
    isTransaction ? this->transaction.arrivedAt : this->running->arrivedAt,
    [this, isTransaction, done = std::move(aDone)](bool aIsAdmitted, const std::string& aReason) {
      if (aIsAdmitted && this->IsAdmissionValid()) {
        done();
      } else if (!aIsAdmitted && isTransaction) {
        this->FailTransaction(StatementError::Overloaded, aReason);
      } else if (!aIsAdmitted) {
        this->AnswerError(StatementError::Overloaded, aReason);
      }
    });
}

bool StatementSession::IsAdmissionValid()
{
  const KeyDecision decision = this->host.CheckKey(*this->route, this->keyDigest);
  if (decision.verdict == KeyVerdict::Admitted && decision.organisation == this->organisation) {
    return true;
  }
  if (this->transaction.state == TransactionState::Open && !this->running) {
    this->FailTransaction(StatementError::Aborted, kKeyWithdrawn);
  } else if (this->Authenticate(*this->route)) {
    // The key has moved to another organisation, whose limit has not admitted the operation.
    this->AnswerError(StatementError::Unavailable,
                      "the organisation of the key has changed; " +
                        RetryAfterText(kRetryAfterStop));
  }
  return false;
}

void StatementSession::AbortRunning(std::string_view aReason)
{
  const bool isCommit = this->running->statement.kind == StatementKind::Commit;
  this->EndTransaction();
  this->transaction.state = isCommit ? TransactionState::Idle : TransactionState::Failed;
  this->AnswerError(StatementError::Aborted, aReason);
}

void StatementSession::ResumeStartUp()
{
  if (this->pendingStartUp && !this->MustWait(*this->pendingStartUp)) {
    this->Handle(StartUp(*this->pendingStartUp));
    this->ProcessNext();
  }
}

void StatementSession::Handle(Statement aStatement)
{
  this->running = RunningStatement{};
  this->running->statement = std::move(aStatement);
  this->running->arrivedAt = MonotonicNow();
  const Statement& statement = this->running->statement;
  if (!this->isStarted) {
    this->AnswerError(StatementError::Malformed, "the first message must be the start-up");
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
      this->AnswerError(StatementError::Malformed,
                        "the transaction failed; only ROLLBACK and COMMIT are accepted");
    }
    return;
  }
  if (statement.kind != StatementKind::Rollback && this->host.RefusesNewWork()) {
    this->RefuseWhileStopping();
    return;
  }
  if (this->transaction.state == TransactionState::Idle && !this->host.Budget().AllowsStatement()) {
    this->AnswerError(StatementError::Overloaded, RefusalText(StatementError::Overloaded));
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
        if (this->Authenticate(*this->route)) {
          this->RunInTransaction();
        }
        return;
      }
      if (const RouteRow* found = this->host.CurrentDirectory().FindRoute(this->database)) {
        this->route = *found;
        if (this->Authenticate(*this->route)) {
          this->AdmitOperation([this] { this->PlaceSingleStatement(); });
        }
      } else {
        this->AnswerError(StatementError::UnknownDatabase, this->database);
      }
      return;
    case StatementKind::Commit:
      if (this->transaction.state == TransactionState::Open) {
        if (this->Authenticate(*this->route)) {
          this->RunInTransaction();
        }
        return;
      }
      this->AnswerError(StatementError::Malformed, "COMMIT without an open transaction");
      return;
    default:
      this->HandleLocally(statement);
  }
}

void StatementSession::RefuseWhileStopping()
{
  const std::string reason = "the proxy is stopping; " + RetryAfterText(kRetryAfterStop);
  if (this->transaction.state == TransactionState::Open) {
    this->AbortRunning(reason);
  } else {
    this->AnswerError(StatementError::Unavailable, reason);
  }
  // Statements that were received together with this one are refused before the session closes.
  if (!this->channel.HasMessage()) {
    this->Close();
  }
}

void StatementSession::HandleLocally(const Statement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
      this->BeginTransaction(aStatement);
      return;
    case StatementKind::Rollback:
      this->EndTransaction();
      break;
    case StatementKind::Set: {
      const auto old = this->settings.find(aStatement.name);
      if (!this->ReserveKept(
            old == this->settings.end() ? 0 : EntryBytes(old->first.size(), old->second.size()),
            EntryBytes(aStatement.name.size(), aStatement.argument.size()))) {
        return;
      }
      this->settings[aStatement.name] = aStatement.argument;
      break;
    }
    case StatementKind::Prepare: {
      const auto old = this->prepared.find(aStatement.name);
      if (!this->ReserveKept(old == this->prepared.end()
                               ? 0
                               : EntryBytes(old->first.size(), old->second.text.size()),
                             EntryBytes(aStatement.name.size(), aStatement.argument.size()))) {
        return;
      }
      this->prepared[aStatement.name] = { aStatement.writes, aStatement.argument };
      break;
    }
    case StatementKind::Deallocate: {
      const auto old = this->prepared.find(aStatement.name);
      if (old != this->prepared.end()) {
        this->keptBytes -= EntryBytes(old->first.size(), old->second.text.size());
        this->prepared.erase(old);
      }
      break;
    }
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
    this->AnswerError(StatementError::Malformed, "BEGIN inside an open transaction");
    return;
  }
  const RouteRow* found = this->host.CurrentDirectory().FindRoute(this->database);
  if (found == nullptr) {
    this->AnswerError(StatementError::UnknownDatabase, this->database);
    return;
  }
  this->route = *found;
  if (!this->Authenticate(*this->route)) {
    return;
  }
  this->transaction = Transaction{};
  this->transaction.state = TransactionState::Open;
  this->transaction.begin = aStatement;
  this->transaction.arrivedAt = this->running->arrivedAt;
  this->transaction.lastActivity = this->running->arrivedAt;
  // Confirmed at once; BEGIN on a backend server runs in the background.
  this->Answer(this->protocol.Completed(), std::nullopt);
  this->AdmitOperation([this] { this->PlaceTransaction(); });
}

void StatementSession::PlaceTransaction()
{
  const bool needsPrimary = this->transaction.begin.kind == StatementKind::Begin ||
                            this->route->consistency == ReadConsistency::Primary;
  PlacementRequest request = this->NewPlacementRequest(this->transaction.arrivedAt, needsPrimary);
  request.excluded = this->transaction.excluded;
  this->RequestPlacement(
    std::move(request),
    [this](std::optional<Placement> aPlacement, const PlacementRefusal& aRefusal) {
      if (!aPlacement) {
        this->FailTransaction(aRefusal.error, RefusalText(aRefusal));
        return;
      }
      this->StartTransaction(*aPlacement);
    });
}

void StatementSession::StartTransaction(const Placement& aPlacement)
{
  this->quota.MarkSent();
  this->placement = aPlacement;
  this->transaction.onPrimary = aPlacement.onPrimary;
  ++this->transaction.attempts;
  aPlacement.connection->SetIdleLossCallback([this] { this->OnConnectionUnusable({}); });
  this->ApplySettings([this] {
    const Statement& begin = this->transaction.begin;
    // The caller's BEGIN is forwarded. On the primary, a read-only transaction uses a plain BEGIN
    // instead, which a server that is no longer primary rejects.
    const bool isForwarded = !this->transaction.onPrimary || begin.kind == StatementKind::Begin;
    const std::string request =
      isForwarded ? this->protocol.Forward(begin.id, begin.text, this->placement->await)
                  : this->protocol.Begin();
    this->RunPreparatory(request, [this](const StatementResult& aResult) {
      if (!aResult.error) {
        this->transaction.hasBegun = true;
        if (this->placement->await) {
          this->placement->pool->RecordPosition(*this->placement->await);
        }
        if (this->transaction.onPrimary && aResult.ready.position) {
          this->Dispatcher()->RecordPrimaryPosition(aResult.sentAt, *aResult.ready.position);
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
      this->RecordBeginRefusal(aResult);
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

void StatementSession::RecordBeginRefusal(const StatementResult& aResult)
{
  const Instant now = MonotonicNow();
  if (aResult.error->error == StatementError::ReadOnly) {
    this->Dispatcher()->RecordNotPrimary(this->placement->pool->Row().name, now);
  }
  this->placement->pool->RecordResult(aResult, this->placement->await, now);
}

void StatementSession::FailTransaction(StatementError aError, std::string_view aText)
{
  this->quota.End();
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
    [this] { this->PrepareIfNeeded([this] { this->SendStatement(std::nullopt); }); });
}

void StatementSession::OnTransactionResult(StatementResult aResult)
{
  const Statement& statement = this->running->statement;
  const bool isCommit = statement.kind == StatementKind::Commit;
  const bool hadWritten = this->transaction.hasWritten;
  if (aResult.lost) {
    this->placement.reset();
    // Without COMMIT the server rolls back; a lost COMMIT may have taken effect.
    const bool isUnknown = isCommit && hadWritten;
    this->transaction = Transaction{};
    this->transaction.state = isCommit ? TransactionState::Idle : TransactionState::Failed;
    this->AnswerError(isUnknown ? StatementError::Unknown : StatementError::Aborted,
                      "the connection to the backend server was lost");
    return;
  }
  this->placement->pool->RecordResult(aResult, std::nullopt, MonotonicNow());
  if (aResult.error) {
    const StatementError error = aResult.error->error;
    const std::string raw = aResult.error->raw;
    if (error == StatementError::ReadOnly) {
      this->Dispatcher()->RecordNotPrimary(this->placement->pool->Row().name, MonotonicNow());
    }
    this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
    this->transaction = Transaction{};
    this->transaction.state = isCommit ? TransactionState::Idle : TransactionState::Failed;
    this->LogFailure(error, "reported by the backend server");
    this->Answer(raw, error);
    return;
  }
  this->transaction.hasWritten = hadWritten || this->IsWrite(statement);
  const std::string executedBy = this->placement->pool->Row().name;
  if (isCommit) {
    if (hadWritten && aResult.ready.position) {
      this->Dispatcher()->RecordPrimaryPosition(aResult.sentAt, *aResult.ready.position);
      this->commits.Record(this->route->service, *aResult.ready.position);
    }
    this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
    this->transaction = Transaction{};
    if (hadWritten) {
      this->AcknowledgeCommit(aResult.ready.position, executedBy, aResult.rows + aResult.completed);
      return;
    }
  }
  this->Answer(aResult.rows + aResult.completed, std::nullopt);
}

void StatementSession::EndTransaction()
{
  this->quota.End();
  if (this->ticket) {
    this->Dispatcher()->Cancel(*this->ticket);
    this->ticket.reset();
  }
  if (this->placement) {
    if (this->placement->connection->IsBusy()) {
      // A rollback that follows may revert a setting.
      if (this->transaction.hasChangedSetting) {
        this->placement->connection->settingsKnown = false;
      }
      this->placement->pool->ReleaseAfterStatement(this->placement->connection);
      this->placement.reset();
    } else {
      this->ReleaseConnection(this->transaction.hasBegun);
    }
  }
  this->transaction = Transaction{};
}

void StatementSession::AbortTransaction(std::string_view aReason)
{
  if (this->running || this->transaction.state == TransactionState::Idle) {
    return;
  }
  if (this->transaction.state == TransactionState::Failed) {
    this->Close();
    return;
  }
  this->EndTransaction();
  this->transaction.state = TransactionState::Failed;
  const std::string message = this->protocol.Failure(StatementError::Aborted, aReason);
  this->channel.Write(message);
  this->Close();
}

// --- Single statements --------------------------------------------------------------------------

void StatementSession::PlaceSingleStatement()
{
  const bool needsPrimary =
    this->IsWrite(this->running->statement) || this->route->consistency == ReadConsistency::Primary;
  PlacementRequest request = this->NewPlacementRequest(this->running->arrivedAt, needsPrimary);
  request.excluded = this->running->excluded;
  this->RequestPlacement(
    std::move(request),
    [this](std::optional<Placement> aPlacement, const PlacementRefusal& aRefusal) {
      if (!aPlacement) {
        this->AnswerError(aRefusal.error, RefusalText(aRefusal));
        return;
      }
      this->placement = *aPlacement;
      this->StartSingleStatement();
    });
}

void StatementSession::StartSingleStatement()
{
  this->quota.MarkSent();
  ++this->running->attempts;
  this->ApplySettings([this] {
    this->PrepareIfNeeded([this] {
      if (!this->placement->onPrimary || this->IsWrite(this->running->statement)) {
        this->SendStatement(this->placement->await);
        return;
      }
      // A replaced primary would still execute a single read, but it rejects a plain BEGIN.
      this->RunPreparatory(this->protocol.Begin(), [this](const StatementResult& aResult) {
        if (aResult.error) {
          this->RecordBeginRefusal(aResult);
          this->LogRetry(
            this->running->statement.id, aResult.error->error, this->running->attempts);
          this->ReleaseConnection(aResult.ready.state != TransactionState::Idle);
          this->RetrySingleStatement(aResult.error->error, RefusalText(aResult.error->error));
          return;
        }
        if (aResult.ready.position) {
          this->Dispatcher()->RecordPrimaryPosition(aResult.sentAt, *aResult.ready.position);
        }
        this->SendStatement(std::nullopt);
      });
    });
  });
}

void StatementSession::OnSingleStatementResult(StatementResult aResult)
{
  const bool isWrite = this->IsWrite(this->running->statement);
  const Instant now = MonotonicNow();
  if (aResult.lost) {
    this->placement.reset();
    if (isWrite) {
      this->AnswerError(StatementError::Unknown, "the connection to the backend server was lost");
    } else {
      this->RetrySingleStatement(StatementError::Unknown,
                                 "the connection to the backend server was lost");
    }
    return;
  }
  BackendPool& pool = *this->placement->pool;
  pool.RecordResult(aResult, this->placement->await, now);
  const bool inTransaction = aResult.ready.state != TransactionState::Idle;
  if (aResult.error) {
    const StatementError error = aResult.error->error;
    if (error == StatementError::ReadOnly) {
      this->Dispatcher()->RecordNotPrimary(pool.Row().name, now);
    } else if (error == StatementError::UnknownStatement) {
      // The server lacks a statement that the proxy took to be prepared on the connection.
      this->placement->connection->prepared.clear();
    }
    if (error != StatementError::ReadOnly) {
      this->running->excluded.insert(pool.Row().name);
    }
    const bool mayRetry = MeansNotExecuted(error) || (!isWrite && error == StatementError::Failed);
    if (mayRetry) {
      this->LogRetry(this->running->statement.id, error, this->running->attempts);
    }
    this->ReleaseConnection(inTransaction);
    if (mayRetry) {
      this->RetrySingleStatement(error, "reported by the backend server");
      return;
    }
    this->LogFailure(error, "reported by the backend server");
    this->Answer(aResult.error->raw, error);
    return;
  }
  if (this->placement->await) {
    pool.RecordPosition(*this->placement->await);
  }
  if (isWrite && aResult.ready.position) {
    this->Dispatcher()->RecordPrimaryPosition(aResult.sentAt, *aResult.ready.position);
    this->commits.Record(this->route->service, *aResult.ready.position);
  }
  this->ReleaseConnection(inTransaction);
  if (isWrite) {
    this->AcknowledgeCommit(
      aResult.ready.position, pool.Row().name, aResult.rows + aResult.completed);
    return;
  }
  this->Answer(aResult.rows + aResult.completed, std::nullopt);
}

void StatementSession::RetrySingleStatement(StatementError aError, std::string_view aText)
{
  const Instant limit =
    this->running->arrivedAt + std::chrono::milliseconds(this->route->statementTimeoutMs);
  this->running->isSent = false;
  this->running->commit.reset();
  if (this->running->attempts >= kMaxAttempts || MonotonicNow() >= limit) {
    this->AnswerError(aError, aText);
    return;
  }
  this->PlaceSingleStatement();
}

// --- Preparation of a connection ----------------------------------------------------------------

void StatementSession::RunPreparatory(const std::string& aRequest,
                                      std::function<void(const StatementResult&)> aDone)
{
  this->placement->connection->Run(aRequest,
                                   [this, done = std::move(aDone)](const StatementResult& aResult) {
                                     if (aResult.lost) {
                                       this->OnConnectionUnusable(aResult);
                                       return;
                                     }
                                     done(aResult);
                                   });
}

void StatementSession::OnConnectionUnusable(const StatementResult& /*aResult*/)
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
    this->RetrySingleStatement(StatementError::Unavailable,
                               RefusalText(StatementError::Unavailable));
  }
}

void StatementSession::ApplySettings(Continuation aDone)
{
  BackendConnection& connection = *this->placement->connection;
  const bool hasOthers = std::ranges::any_of(connection.settings, [this](const auto& aEach) {
    return !this->settings.contains(aEach.first);
  });
  const bool hasTooMany =
    !this->transaction.hasBegun && connection.PreparedBytes() > this->host.Limits().preparedBytes;
  if (hasOthers || hasTooMany || !connection.settingsKnown) {
    connection.settingsKnown = false;
    this->RunPreparatory(
      this->protocol.Discard(),
      [this, &connection, done = std::move(aDone)](const StatementResult& aResult) {
        if (aResult.error) {
          this->placement->pool->Drop(&connection, false);
          this->OnConnectionUnusable(aResult);
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
    this->RunPreparatory(
      this->protocol.Set(name, value),
      [this, &connection, setting = std::pair(name, value), done = std::move(aDone)](
        const StatementResult& aResult) {
        if (aResult.error) {
          this->placement->pool->Drop(&connection, false);
          this->OnConnectionUnusable(aResult);
          return;
        }
        connection.settings[setting.first] = setting.second;
        connection.settingsKnown = true;
        this->transaction.hasChangedSetting = this->transaction.hasBegun;
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
  const StatementTemplate& definition = this->prepared[statement.name];
  std::string name = SharedStatementName(definition.writes, definition.text);
  if (connection.prepared.contains(name)) {
    aDone();
    return;
  }
  const ClientLimits& limits = this->host.Limits();
  if (this->transaction.hasBegun &&
      connection.PreparedBytes() > std::size_t{ limits.preparedBytes } + limits.sessionBytes) {
    this->AbortRunning("the transaction uses too many prepared statements");
    return;
  }
  this->RunPreparatory(
    this->protocol.Prepare(name, definition.writes, definition.text),
    [this, &connection, name, done = std::move(aDone)](const StatementResult& aResult) {
      if (aResult.error) {
        this->placement->pool->Drop(&connection, false);
        this->OnConnectionUnusable(aResult);
        return;
      }
      connection.prepared.insert(name);
      done();
    });
}

void StatementSession::SendStatement(const std::optional<LogPosition>& aAwait)
{
  if (!this->running) {
    return;
  }
  const bool inTransaction = this->transaction.state == TransactionState::Open;
  const bool isFirst = !inTransaction || !this->transaction.hasRun;
  if (isFirst && !this->placement->pool->AcceptsNewWork(MonotonicNow())) {
    this->MoveToOtherServer();
    return;
  }
  if (this->IsCommitRefused()) {
    this->RefuseCommit();
    return;
  }
  const Statement& statement = this->running->statement;
  const bool mayCommit = inTransaction
                           ? statement.kind == StatementKind::Commit && this->transaction.hasWritten
                           : this->IsWrite(statement);
  if (mayCommit) {
    this->running->commit = this->Dispatcher()->BeginCommit();
  }
  std::string request;
  if (statement.kind == StatementKind::Execute) {
    const StatementTemplate& definition = this->prepared[statement.name];
    request = this->protocol.Execute(statement.id,
                                     SharedStatementName(definition.writes, definition.text),
                                     statement.argument,
                                     aAwait);
  } else {
    request = this->protocol.Forward(statement.id, statement.text, aAwait);
  }
  this->running->isSent = true;
  this->running->sentAt = MonotonicNow();
  this->transaction.hasRun = inTransaction;
  this->placement->connection->Run(request, [this, inTransaction](StatementResult aResult) {
    if (inTransaction) {
      this->OnTransactionResult(std::move(aResult));
    } else {
      this->OnSingleStatementResult(std::move(aResult));
    }
  });
}

bool StatementSession::IsCommitRefused()
{
  const bool writes = this->IsWrite(this->running->statement);
  const bool isAffected =
    this->transaction.state == TransactionState::Open
      ? this->transaction.onPrimary && (writes || this->transaction.hasWritten)
      : writes;
  return isAffected && this->Dispatcher()->Commits().RefusesCommits(MonotonicNow());
}

void StatementSession::RefuseCommit()
{
  const bool isReplacing = this->Dispatcher()->Commits().IsReplacingPrimary();
  const std::string reason =
    (isReplacing ? "the primary is being replaced; "
                 : "the proxy is out of contact with the control plane; ") +
    RetryAfterText(kRetryAfterFailover);
  if (this->transaction.state == TransactionState::Open) {
    this->AbortRunning(reason);
  } else if (isReplacing) {
    this->MoveToOtherServer();
  } else {
    this->ReleaseConnection(false);
    this->AnswerError(StatementError::Unavailable, reason);
  }
}

bool StatementSession::IsCommitDoubtful()
{
  return this->running->commit &&
         !this->Dispatcher()->Commits().IsCommitKept(this->running->commit->fence, MonotonicNow());
}

void StatementSession::AcknowledgeCommit(const std::optional<LogPosition>& aPosition,
                                         const std::string& aExecutedBy,
                                         std::string aMessages)
{
  const auto answer = [this, messages = std::move(aMessages)] {
    if (this->IsCommitDoubtful()) {
      this->AnswerError(StatementError::Unknown, kDoubtfulCommit);
    } else {
      this->Answer(messages, std::nullopt);
    }
  };
  ServiceDispatcher* dispatcher = this->Dispatcher();
  if (!dispatcher->NeedsWitnesses()) {
    answer();
    return;
  }
  if (!aPosition) {
    this->AnswerError(StatementError::Unknown, "the position of the commit is not known");
    return;
  }
  this->running->heldAcknowledgement = std::make_shared<int>(0);
  dispatcher->AwaitWitnesses(*aPosition, aExecutedBy, this->running->heldAcknowledgement, answer);
}

void StatementSession::MoveToOtherServer()
{
  if (this->transaction.state == TransactionState::Open) {
    this->LogRetry(
      this->running->statement.id, StatementError::Unavailable, this->transaction.attempts);
    this->ReleaseConnection(true);
    this->transaction.hasBegun = false;
    this->transaction.hasChangedSetting = false;
    // The wait for a connection, and the age of the data, count from this statement on.
    this->transaction.arrivedAt = this->running->arrivedAt;
    if (this->transaction.attempts < kMaxAttempts) {
      this->PlaceTransaction();
    } else {
      this->FailTransaction(StatementError::Unavailable, RefusalText(StatementError::Unavailable));
    }
    return;
  }
  this->LogRetry(this->running->statement.id, StatementError::Unavailable, this->running->attempts);
  // A read on the primary follows a BEGIN.
  const bool hasBegun = this->placement->onPrimary && !this->IsWrite(this->running->statement);
  this->ReleaseConnection(hasBegun);
  this->RetrySingleStatement(StatementError::Unavailable, RefusalText(StatementError::Unavailable));
}

// --- Helpers ------------------------------------------------------------------------------------

void StatementSession::CheckTimeLimits(Instant aNow)
{
  if (this->pendingStartUp && aNow - this->pendingStartUpSince >= kConfigurationWaitLimit) {
    this->Handle(StartUp(*this->pendingStartUp));
    return;
  }
  std::optional<ClosingReason> exceeded = this->channel.CheckTimeLimits(aNow);
  if (!this->isStarted && !this->pendingStartUp &&
      aNow - this->connectedAt >= this->host.Limits().startUpTime) {
    exceeded = ClosingReason::StartUpTime;
  }
  if (exceeded) {
    this->CloseForLimit(*exceeded);
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
  this->RetryReadIfUnresponsive(aNow);
  if (!this->running || aNow - this->running->arrivedAt <
                          std::chrono::milliseconds(this->route->statementTimeoutMs)) {
    return;
  }
  this->GiveUp(StatementError::TimedOut, "the statement timed out");
}

void StatementSession::EndStatement()
{
  if (this->running && this->route) {
    this->GiveUp(StatementError::Unknown, "the proxy is stopping");
  }
}

void StatementSession::GiveUp(StatementError aErrorIfExecuted, std::string_view aReason)
{
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
    // The server counts as failing only if it has not responded at all meanwhile.
    const bool isSilent = !lastAnswer || *lastAnswer < since;
    this->placement->pool->Drop(this->placement->connection, isSilent);
    this->placement.reset();
  }
  this->transaction = Transaction{};
  if (inTransaction && !isCommit) {
    this->transaction.state = TransactionState::Failed;
    this->AnswerError(StatementError::Aborted, aReason);
    return;
  }
  // In a transaction only COMMIT reaches this point; it has no effect if nothing was written.
  const bool mayHaveRun = wasSent && (!inTransaction || hasWritten);
  this->AnswerError(mayHaveRun ? aErrorIfExecuted : StatementError::Unavailable, aReason);
}

/// Retries a single read elsewhere if its server counts as failing and has not answered it within
/// kReadNoResponseLimit. Executing a read twice is harmless. Reads that were placed on the primary
/// after a BEGIN wait for their answer.
void StatementSession::RetryReadIfUnresponsive(Instant aNow)
{
  const bool isRead = this->running && this->transaction.state == TransactionState::Idle &&
                      !this->IsWrite(this->running->statement);
  if (!isRead || !this->placement || this->placement->onPrimary ||
      !this->placement->pool->Health().IsFailing() || !this->placement->connection->IsBusy() ||
      aNow - this->placement->connection->SentAt() < kReadNoResponseLimit) {
    return;
  }
  this->running->excluded.insert(this->placement->pool->Row().name);
  this->placement->pool->Drop(this->placement->connection, false);
  this->placement.reset();
  this->RetrySingleStatement(StatementError::Unknown, "the backend server does not respond");
}

bool StatementSession::IsWrite(const Statement& aStatement) const
{
  if (aStatement.kind != StatementKind::Execute) {
    return aStatement.kind == StatementKind::Write;
  }
  const auto found = this->prepared.find(aStatement.name);
  return found != this->prepared.end() && found->second.writes;
}

PlacementRequest StatementSession::NewPlacementRequest(Instant aArrivedAt, bool aNeedsPrimary) const
{
  PlacementRequest request;
  request.needsPrimary = aNeedsPrimary;
  request.acceptedAge = std::chrono::milliseconds(this->route->acceptedAgeMs);
  if (this->route->consistency == ReadConsistency::ReadYourWrites) {
    request.ownCommit = this->commits.NewestOn(this->route->service);
  }
  request.arrivedAt = aArrivedAt;
  const Duration wait =
    std::chrono::milliseconds(this->route->targetLatencyMs) / kTargetWaitDivisor +
    (this->organisation.empty() ? Duration{ 0 } : kOpeningAllowance);
  request.deadline = aArrivedAt + std::max<Duration>(wait, kMinWait);
  request.priority = this->route->priority;
  request.settings = &this->settings;
  request.organisation = this->organisation;
  return request;
}

void StatementSession::RequestPlacement(PlacementRequest aRequest,
                                        ServiceDispatcher::Callback aDone)
{
  ServiceDispatcher* dispatcher = this->Dispatcher();
  const ServiceDispatcher::Ticket requested = dispatcher->NewTicket();
  this->ticket = requested;
  dispatcher->RequestConnection(requested,
                                std::move(aRequest),
                                [this, done = std::move(aDone)](std::optional<Placement> aPlacement,
                                                                const PlacementRefusal& aRefusal) {
                                  this->ticket.reset();
                                  done(aPlacement, aRefusal);
                                });
}

ServiceDispatcher* StatementSession::Dispatcher()
{
  return &this->host.DispatcherOf(this->route->service);
}

void StatementSession::ReleaseConnection(bool aInTransaction)
{
  const Placement released = *std::exchange(this->placement, std::nullopt);
  // The rollback may revert a setting.
  if (aInTransaction && this->transaction.hasChangedSetting) {
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
                ? " " + this->host.DispatcherOf(this->route->service).DescribePools(MonotonicNow())
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
  if (this->transaction.state != TransactionState::Open) {
    this->quota.End();
  }
  this->transaction.lastActivity = now;
  aMessages += this->protocol.Ready(this->transaction.state);
  this->channel.Write(aMessages);
  this->UpdateHeld();
  if (this->channel.HasMessage() || this->channel.Violation()) {
    QMetaObject::invokeMethod(this, &StatementSession::ProcessNext, Qt::QueuedConnection);
  }
}

} // namespace oleanderledge
