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

/// What a connection asks of the server that accepted it.
class CallerConnectionEvents
{
public:
  virtual ~CallerConnectionEvents() = default;

  /// A session wants to start. Returns the key for cancel requests, or why it is refused.
  virtual Result<CancelRequest> OnSessionStart(CallerConnection& aConnection,
                                               const std::string& aDatabase) = 0;
  /// The directory in force, or null while there is none.
  virtual const Directory* CurrentDirectory() const = 0;
  virtual void OnCancelRequest(const CancelRequest& aRequest) = 0;
  virtual void OnUnit(ForwardUnit&& aUnit) = 0;
  /// Counts what the session did.
  virtual void OnOutput(const SessionOutput& aOutput) = 0;
  /// The connection is closed; called once.
  virtual void OnDisconnected(CallerConnection& aConnection) = 0;
};

/// The socket of one caller.
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

  /// Hands a piece of the answer of the running unit to the session.
  void DeliverReply(StatementReply&& aReply);

  /// Closes with 57P01 as soon as the session is idle.
  void BeginStop();

  /// Closes with 57P01 now; a unit that still runs is reported as unknown.
  void ForceStop();

  /// Drops the connection without a message.
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
