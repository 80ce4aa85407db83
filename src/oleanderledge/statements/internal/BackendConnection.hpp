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

/// Why a connection ended, or could not be opened.
enum class ConnectionEnd : std::uint8_t
{
  BackendFailed, ///< The backend server cannot be reached or closed the connection.
  BackendFull,   ///< The backend server has its number of connections.
  RelayFailed,   ///< Only the way through another proxy failed; says nothing of the server.
};

/// One connection to a backend server, of this proxy or through a relay. Runs one statement at a
/// time.
class BackendConnection : public QObject
{
  Q_OBJECT

public:
  using Callback = std::function<void(StatementResult)>;

  BackendConnection(std::string aBackend, QObject* aParent);

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

  /// True for a connection of another proxy, which goes back to it after each use.
  virtual bool IsRelayed() const = 0;

  bool IsBusy() const { return this->callback != nullptr; }
  bool IsOpen() const { return this->isOpen; }
  /// When the attempt to open it began.
  Instant OpenedAt() const { return this->openedAt; }
  /// When the running statement was sent.
  Instant SentAt() const { return this->result.sentAt; }
  const std::string& Backend() const { return this->backend; }
  /// Valid once `Closed` was emitted.
  ConnectionEnd End() const { return this->end; }

  /// False while it is not certain which settings are in force.
  bool settingsKnown = true;
  /// Settings that are in force on the connection, by name.
  SettingMap settings;
  /// Names that are prepared on the connection.
  std::set<std::string, std::less<>> prepared;
  /// When the last statement ended, to close connections that are idle for long.
  Instant idleSince{};

Q_SIGNALS:
  void Opened();
  void Closed();

protected:
  /// Puts the request on its way.
  virtual void Send(const std::string& aRequest) = 0;
  /// Lets go of what the connection holds; nothing is called back afterwards.
  virtual void Release() = 0;

  void NoteOpening() { this->openedAt = MonotonicNow(); }
  void NoteOpened();
  /// Ends the running statement with `result`, whose remaining fields are set here.
  void Complete(const ReadyAnswer& aReady);
  /// The connection ended by itself.
  void Finish(ConnectionEnd aEnd, std::string_view aReason);

  bool IsClosed() const { return this->isClosed; }
  StatementResult result; ///< Of the running statement.

private:
  std::string backend;
  Callback callback;
  std::function<void()> lostWhileIdle;
  ConnectionEnd end = ConnectionEnd::BackendFailed;
  Instant openedAt{};
  bool isOpen = false;
  bool isClosed = false;
};

} // namespace oleanderledge
