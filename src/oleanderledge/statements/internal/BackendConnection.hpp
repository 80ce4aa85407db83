#pragma once

#include "oleanderledge/statements/StatementProtocol.hpp"

#include <QObject>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleanderledge {

using SettingMap = std::map<std::string, std::string, std::less<>>;

/// Result of one request on a connection.
struct StatementResult
{
  bool lost = false;     ///< The connection was lost before the answer was complete.
  std::string rows;      ///< Row messages as received.
  std::string completed; ///< Completion message as received; empty after an error.
  std::optional<ErrorAnswer> error;
  ReadyAnswer ready;
  Instant sentAt{};
  Duration took{ 0 }; ///< Time from request to answer.

  bool IsSuccess() const { return !this->lost && !this->error; }
};

/// Reason why a connection was lost or could not be opened.
enum class ConnectionEnd : std::uint8_t
{
  BackendFailed, ///< The backend server is unreachable or closed the connection.
  BackendFull,   ///< The backend server has reached its connection limit.
  RelayFailed,   ///< Only the relay failed; the state of the server is unknown.
};

/// One connection to a backend server, direct or borrowed from a relay. Executes one request at a
/// time.
class BackendConnection : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(StatementResult)>;

  BackendConnection(std::string aBackend, QObject* aParent);

  /// Sends one encoded request. Calls back exactly once, unless Close() is called first.
  void Run(const std::string& aRequest, Callback aCallback);

  /// Redirects the result of the running request to another callback.
  void ReplaceCallback(Callback aCallback) { this->callback = std::move(aCallback); }

  /// Sets the callback for a loss of the connection while it is held and no request runs; empty if
  /// nobody holds it.
  void SetIdleLossCallback(std::function<void()> aCallback)
  {
    this->idleLossCallback = std::move(aCallback);
  }

  /// Closes the connection without callbacks and without emitting `Closed`.
  void Close();

  /// True for a connection of a relay, which is returned to it after each use.
  virtual bool IsRelayed() const = 0;

  bool IsBusy() const { return this->callback != nullptr; }
  bool IsOpen() const { return this->isOpen; }
  /// Start of the attempt to open the connection.
  Instant OpenedAt() const { return this->openedAt; }
  /// Time at which the last request was sent.
  Instant SentAt() const { return this->result.sentAt; }
  const std::string& Backend() const { return this->backend; }
  /// Valid once `Closed` was emitted.
  ConnectionEnd EndReason() const { return this->endReason; }

  /// Organisation that the connection was opened for; empty: none. Only its callers use it.
  std::string organisation;
  /// False while the settings in force are uncertain.
  bool settingsKnown = true;
  /// Settings in force on the connection, by name.
  SettingMap settings;
  /// Names of the statements that are prepared on the connection.
  std::set<std::string, std::less<>> prepared;
  /// Size of `prepared`, with an estimate of the overhead of each name.
  std::size_t PreparedBytes() const;
  /// End of the last request, or of the opening; zero before.
  Instant idleSince{};

Q_SIGNALS:
  void Opened();
  void Closed();

protected:
  /// Transmits the request.
  virtual void Send(const std::string& aRequest) = 0;
  /// Releases the socket or the relay channel; no callback follows.
  virtual void CloseTransport() = 0;

  void MarkOpening() { this->openedAt = MonotonicNow(); }
  void MarkOpened();
  /// Completes the running request with `result`, whose remaining fields are set here.
  void CompleteStatement(const ReadyAnswer& aReady);
  /// Handles a loss of the connection, or a failure to open it.
  void EndConnection(ConnectionEnd aEnd, std::string_view aReason);

  bool IsClosed() const { return this->isClosed; }
  StatementResult result; ///< Of the running request.

private:
  std::string backend;
  Callback callback;
  std::function<void()> idleLossCallback;
  ConnectionEnd endReason = ConnectionEnd::BackendFailed;
  Instant openedAt{};
  bool isOpen = false;
  bool isClosed = false;
};

} // namespace oleanderledge
