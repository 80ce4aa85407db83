#include "LoadConnection.hpp"

#include <utility>

namespace oleanderledge::load {

namespace {

constexpr int kReconnectMs = 50;
/// SQLSTATE for a connection that is lost without an answer.
constexpr const char* kConnectionLost = "08006";

} // namespace

LoadConnection::LoadConnection(ConnectionTarget aTarget, QObject* aParent)
  : QObject(aParent)
  , target(std::move(aTarget))
  , connection(nullptr, &PQfinish)
{
  this->retryTimer.setSingleShot(true);
  QObject::connect(&this->retryTimer, &QTimer::timeout, this, &LoadConnection::Connect);
  this->retryTimer.start(0);
}

LoadConnection::~LoadConnection()
{
  this->readNotifier.reset();
  this->writeNotifier.reset();
}

void LoadConnection::Connect()
{
  const char* const names[] = { "host",    "port",       "dbname",  "user",
                                "options", "gssencmode", "sslmode", nullptr };
  const char* const values[] = { this->target.host.c_str(),
                                 this->target.port.c_str(),
                                 this->target.database.c_str(),
                                 this->target.user.c_str(),
                                 this->target.options.c_str(),
                                 "disable",
                                 "disable",
                                 nullptr };
  this->connection.reset(PQconnectStartParams(names, values, 0));
  if (PQstatus(this->connection.get()) == CONNECTION_BAD) {
    this->HandleLoss();
    return;
  }
  this->WatchSocket(false, true);
}

void LoadConnection::PollConnect()
{
  switch (PQconnectPoll(this->connection.get())) {
    case PGRES_POLLING_READING:
      this->WatchSocket(true, false);
      return;
    case PGRES_POLLING_WRITING:
      this->WatchSocket(false, true);
      return;
    case PGRES_POLLING_OK:
      PQsetnonblocking(this->connection.get(), 1);
      this->connected = true;
      this->WatchSocket(true, false);
      Q_EMIT this->Idle();
      return;
    default:
      this->HandleLoss();
      return;
  }
}

void LoadConnection::WatchSocket(bool aRead, bool aWrite)
{
  // libpq may replace the socket while it connects.
  const qintptr socket = PQsocket(this->connection.get());
  const auto renew = [&](std::unique_ptr<QSocketNotifier>& aNotifier,
                         QSocketNotifier::Type aType,
                         bool aEnabled,
                         void (LoadConnection::*aHandler)()) {
    if (!aNotifier || aNotifier->socket() != socket) {
      if (aNotifier) {
        aNotifier->setEnabled(false);
        aNotifier.release()->deleteLater();
      }
      aNotifier = std::make_unique<QSocketNotifier>(socket, aType);
      QObject::connect(aNotifier.get(), &QSocketNotifier::activated, this, aHandler);
    }
    aNotifier->setEnabled(aEnabled);
  };
  renew(this->readNotifier, QSocketNotifier::Read, aRead, &LoadConnection::HandleReadable);
  renew(this->writeNotifier, QSocketNotifier::Write, aWrite, &LoadConnection::HandleWritable);
}

void LoadConnection::Send(const std::string& aSql, Done aDone)
{
  this->done = std::move(aDone);
  this->sqlstate.clear();
  if (PQsendQuery(this->connection.get(), aSql.c_str()) == 0) {
    this->HandleLoss();
    return;
  }
  this->HandleWritable();
}

void LoadConnection::HandleWritable()
{
  if (!this->connected) {
    this->PollConnect();
    return;
  }
  const int flushed = PQflush(this->connection.get());
  if (flushed < 0) {
    this->HandleLoss();
    return;
  }
  this->WatchSocket(true, flushed > 0);
}

void LoadConnection::HandleReadable()
{
  if (!this->connected) {
    this->PollConnect();
    return;
  }
  if (PQconsumeInput(this->connection.get()) == 0) {
    this->HandleLoss();
    return;
  }
  while (this->done && PQisBusy(this->connection.get()) == 0) {
    const std::unique_ptr<PGresult, void (*)(PGresult*)> result(PQgetResult(this->connection.get()),
                                                                &PQclear);
    if (!result) {
      if (PQstatus(this->connection.get()) == CONNECTION_BAD) {
        this->HandleLoss();
        return;
      }
      this->Finish(this->sqlstate);
      Q_EMIT this->Idle();
      return;
    }
    if (PQresultStatus(result.get()) == PGRES_FATAL_ERROR) {
      const char* code = PQresultErrorField(result.get(), PG_DIAG_SQLSTATE);
      this->sqlstate = code == nullptr ? kConnectionLost : code;
    }
  }
  if (PQstatus(this->connection.get()) == CONNECTION_BAD) {
    this->HandleLoss();
  }
}

void LoadConnection::HandleLoss()
{
  this->connected = false;
  for (auto* notifier : { &this->readNotifier, &this->writeNotifier }) {
    if (*notifier) {
      (*notifier)->setEnabled(false);
      notifier->release()->deleteLater();
    }
  }
  this->connection.reset();
  this->retryTimer.start(kReconnectMs);
  Q_EMIT this->Lost();
  this->Finish(this->sqlstate.empty() ? kConnectionLost : this->sqlstate);
}

void LoadConnection::Finish(const std::string& aSqlstate)
{
  const Done callback = std::exchange(this->done, nullptr);
  if (callback) {
    callback(aSqlstate);
  }
}

} // namespace oleanderledge::load
