#pragma once

#include "oleanderledge/owner/internal/BackendDelayLine.hpp"
#include "oleanderledge/wire/wire.hpp"

#include <QObject>
#include <QTcpSocket>

#include <cstdint>
#include <string>

namespace oleanderledge {

/// Where and how to open a connection to a backend server.
struct BackendEndpoint
{
  std::string address; ///< "ip:port".
  std::string user;
  std::string database;
  Duration latency{ 0 }; ///< Emulated one-way delay.
};

/// A PostgreSQL connection to a backend server: performs the start-up and splits received bytes
/// into messages. Bytes may be sent once it is ready.
class BackendSocket : public QObject
{
  Q_OBJECT

public:
  BackendSocket(BackendEndpoint aEndpoint, QObject* aParent);

  void Send(std::string aBytes);
  /// While paused, no message is delivered, and TCP flow control makes the server wait.
  void SetPaused(bool aPaused);
  bool IsReady() const { return this->ready; }

  /// Sends a CancelRequest for the statement in progress over a second connection. `CancelFinished`
  /// is emitted once the server has processed the request or cannot be reached.
  void RequestCancel();

Q_SIGNALS:
  /// The start-up has completed.
  void Ready();
  /// A complete message was received after the start-up.
  void Received(const std::string& aMessage);
  /// The connection was lost or could not be opened. Emitted once; no message follows.
  void Closed(const std::string& aReason);
  void CancelFinished();

private:
  void ReadAvailable();
  void DeliverMessages();
  void HandleStartupMessage(const MessageView& aMessage);
  void Finish(const std::string& aReason);

  BackendEndpoint endpoint;
  QTcpSocket socket;
  BackendDelayLine outgoing;
  BackendDelayLine incoming;
  MessageReader reader;
  std::uint32_t processId = 0;
  std::uint32_t secretKey = 0;
  bool ready = false;
  bool closed = false;
  bool paused = false;
  bool delivering = false;
};

} // namespace oleanderledge
