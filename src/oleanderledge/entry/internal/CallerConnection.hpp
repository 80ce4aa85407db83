#pragma once

#include "oleanderledge/entry/EntrySettings.hpp"
#include "oleanderledge/entry/internal/CallerSession.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <QObject>
#include <QTcpSocket>

#include <memory>
#include <optional>

namespace oleanderledge {

class CallerConnection;
class DelayLine;

/// Events of a connection, handled by the server that accepted it.
class CallerConnectionEvents
{
public:
  virtual ~CallerConnectionEvents() = default;

  /// Registers a session that starts. Returns its key for cancel requests. Fails with ShuttingDown,
  /// StartupRejected or UnknownDatabase if the session is refused.
  virtual Result<CancelRequest> OnSessionStart(CallerConnection& aConnection,
                                               const std::string& aDatabase) = 0;
  /// The current directory, or null while there is none.
  virtual const Directory* CurrentDirectory() const = 0;
  virtual void OnCancelRequest(const CancelRequest& aRequest) = 0;
  virtual void OnUnit(ForwardUnit&& aUnit) = 0;
  /// Updates the counters.
  virtual void OnOutput(const SessionOutput& aOutput) = 0;
  /// The connection is closed; called once.
  virtual void OnDisconnected(CallerConnection& aConnection) = 0;
};

/// Connection of one caller: reads and writes the socket and owns the session.
class CallerConnection : public QObject
{
  Q_OBJECT

public:
  /// Takes over an accepted socket. `aEvents` outlives the connection.
  CallerConnection(std::uint64_t aChannel,
                   QTcpSocket* aSocket,
                   const EntrySettings& aSettings,
                   CallerConnectionEvents& aEvents,
                   QObject* aParent);

  std::uint64_t Channel() const { return this->channel; }
  bool HasSession() const { return this->session != nullptr; }

  /// Passes one piece of the answer to the running unit to the session.
  void DeliverReply(StatementReply&& aReply);

  /// Closes the connection with SQLSTATE 57P01 as soon as the session is idle.
  void BeginStop();

  /// Closes the connection with SQLSTATE 57P01 now. The outcome is reported as unknown unless the
  /// session is idle.
  void ForceStop();

  /// Closes the connection without a message.
  void Abort();

private:
  void ReadSocket();
  void ProcessInput();
  bool ProcessStartup();
  bool ProcessMessage();
  void StartSession(const StartupMessage& aMessage);
  void HandleOutput(SessionOutput&& aOutput);
  void Write(const std::string& aBytes);
  void CheckOutput();
  void CloseWithError(ResultCode aCode, std::string_view aDetail);
  void CloseAfterFlush();
  void FinishClosing();
  void CloseIfStoppingAndIdle();
  void HandleDisconnect();
  bool IsReadingPaused() const;

  std::uint64_t channel;
  QTcpSocket* socket;
  EntryLimits limits;
  CallerConnectionEvents& events;
  DelayLine* input = nullptr;
  DelayLine* output = nullptr;
  MessageReader reader;
  std::unique_ptr<CallerSession> session;
  int encryptionRequests = 0;
  bool isOutputFull = false;
  bool isStopping = false;
  bool isClosing = false;
  bool isDisconnected = false;
};

} // namespace oleanderledge
