#pragma once

#include "oleanderledge/control/internal/BackendAdmin.hpp"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <libpq-fe.h>

#include <memory>
#include <string>

namespace oleanderledge {

/// One query on a connection of its own, without blocking the event loop. Deletes itself when done.
class BackendCall : public QObject
{
  Q_OBJECT

public:
  BackendCall(std::string aConnectionString,
              std::string aQuery,
              Duration aTimeout,
              BackendAdmin::Callback aCallback,
              QObject* aParent);
  ~BackendCall() override;

private:
  void Begin();
  /// Waits for the socket, whose descriptor may change while connecting.
  void WaitFor(QSocketNotifier::Type aType);
  void Continue();
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

/// Reads the answer of `platform_status()` or `platform_promote()`: columns role and term, and for
/// a status received and applied. A promotion answer may be one composite value "(role,term)".
Result<PlatformStatus> ReadPlatformStatus(const PGresult* aResult);

} // namespace oleanderledge
