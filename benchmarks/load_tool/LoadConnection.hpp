#pragma once

#include <libpq-fe.h>

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace oleanderledge::load {

/// Address and start-up parameters of a connection.
struct ConnectionTarget
{
  std::string host;
  std::string port;
  std::string database;
  std::string user;
  std::string options; ///< Start-up parameter `options`.
};

/// One non-blocking libpq connection. Reconnects after a connection loss.
class LoadConnection : public QObject
{
  Q_OBJECT

public:
  /// Receives the SQLSTATE of the answer; empty on success.
  using Done = std::function<void(const std::string&)>;

  LoadConnection(ConnectionTarget aTarget, QObject* aParent);
  ~LoadConnection() override;
  LoadConnection(const LoadConnection&) = delete;
  LoadConnection& operator=(const LoadConnection&) = delete;

  /// Sends a simple query. Must be called only while the connection is idle.
  void Send(const std::string& aSql, Done aDone);

Q_SIGNALS:
  /// The connection is ready for a query: connected, or the last answer is complete.
  void Idle();
  /// The connection is lost and not ready until the next Idle().
  void Lost();

private:
  void Connect();
  void PollConnect();
  void WatchSocket(bool aRead, bool aWrite);
  void HandleReadable();
  void HandleWritable();
  void HandleLoss();
  void Finish(const std::string& aSqlstate);

  ConnectionTarget target;
  std::unique_ptr<PGconn, void (*)(PGconn*)> connection;
  std::unique_ptr<QSocketNotifier> readNotifier;
  std::unique_ptr<QSocketNotifier> writeNotifier;
  QTimer retryTimer;
  bool connected = false;
  std::string sqlstate;
  Done done;
};

} // namespace oleanderledge::load
