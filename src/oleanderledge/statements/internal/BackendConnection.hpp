#pragma once

#include "oleanderledge/statements/StatementProtocol.hpp"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oleanderledge {

/// How one statement ended on a connection.
struct StatementResult
{
  bool lost = false;     ///< The connection ended before the answer did.
  std::string rows;      ///< Messages as received.
  std::string completed; ///< Message as received; empty if there was an error.
  std::optional<ErrorAnswer> error;
  ReadyAnswer ready;
  Instant sentAt{};
  Duration took{ 0 };

  bool IsSuccess() const { return !this->lost && !this->error; }
};

/// One connection to a backend server. Runs one statement at a time.
class BackendConnection : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(StatementResult)>;

  BackendConnection(const StatementProtocol& aProtocol, std::string aBackend, QObject* aParent);

  ~BackendConnection() override;

  /// Connects to "ip:port" and starts up at a service. `Opened` or `Closed` follows.
  void Open(const std::string& aAddress, std::string_view aService);

  /// Sends one encoded request. The callback is called once, unless Close() comes first.
  void Run(const std::string& aRequest, Callback aCallback);

  /// Hands the answer of the running statement to another receiver.
  void ReplaceCallback(Callback aCallback) { this->callback = std::move(aCallback); }

  /// Told if the connection is lost while it is held and no statement runs. Empty: nobody holds it.
  void SetLostWhileIdle(std::function<void()> aCallback)
  {
    this->lostWhileIdle = std::move(aCallback);
  }

  /// Closes without calling back. `Closed` does not follow.
  void Close();

  bool IsBusy() const { return this->callback != nullptr; }
  bool IsOpen() const { return this->isOpen; }
  /// When Open() was called.
  Instant OpenedAt() const { return this->openedAt; }
  /// When the running statement was sent.
  Instant SentAt() const { return this->result.sentAt; }
  const std::string& Backend() const { return this->backend; }
  /// Error of the start-up, if the server answered with one.
  const std::optional<ErrorAnswer>& StartUpError() const { return this->startUpError; }

  /// False while it is not certain which settings are in force.
  bool settingsKnown = true;
  /// Settings that are in force on the connection, by name.
  std::map<std::string, std::string, std::less<>> settings;
  /// Names that are prepared on the connection.
  std::set<std::string, std::less<>> prepared;
  /// When the last statement ended, to close connections that are idle for long.
  Instant idleSince{};

Q_SIGNALS:
  void Opened();
  void Closed();

private:
  void ReadAvailable();
  bool HandleAnswer(BackendAnswer aAnswer);
  void Finish(const char* aReason);

  const StatementProtocol& protocol;
  std::string backend;
  QTcpSocket socket;
  QTimer openTimer;
  std::unique_ptr<BackendDecoder> decoder;
  Callback callback;
  std::function<void()> lostWhileIdle;
  StatementResult result;
  std::optional<ErrorAnswer> startUpError;
  std::string startUp;
  Instant openedAt{};
  bool isOpen = false;
  bool isClosed = false;
};

} // namespace oleanderledge
