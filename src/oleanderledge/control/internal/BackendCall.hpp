#pragma once

#include "oleanderledge/control/internal/BackendAdmin.hpp"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <libpq-fe.h>

#include <memory>
#include <string>

namespace oleanderledge {

/// Opens a connection for one query and closes it afterwards, without blocking the event loop.
/// Deletes itself when done.
class BackendCall : public QObject
{
  Q_OBJECT

public:
  /// `aTimeout` limits the connection set-up and the query together.
  BackendCall(std::string aConnectionString,
              std::string aQuery,
              Duration aTimeout,
              BackendAdmin::Callback aCallback,
              QObject* aParent);
  ~BackendCall() override;

private:
  void StartConnecting();
  /// Waits for the socket with a new notifier, as its descriptor may change while libpq connects.
  void WaitForSocket(QSocketNotifier::Type aType);
  void OnSocketReady();
  void ContinueConnecting();
  void SendQuery();
  void ContinueQuery();
  void Finish(const Result<PlatformStatus>& aResult);
  void FinishWithError();

  std::string connectionString;
  std::string query;
  BackendAdmin::Callback callback;
  PGconn* connection = nullptr;
  std::unique_ptr<QSocketNotifier> notifier;
  QTimer timeout;
  bool isConnected = false;
  bool isDone = false;
};

/// Reads the result of `platform_status()` (columns role, term, received and applied) or
/// `platform_promote()` (columns role and term, or one composite value "(role,term)"). Fails with
/// BackendConnectionLost if the result is malformed.
Result<PlatformStatus> ReadPlatformStatus(const PGresult* aResult);

} // namespace oleanderledge
