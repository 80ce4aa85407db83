#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <deque>
#include <memory>
#include <string>

namespace oleanderledge {

/// One link to a peer process. Lives in the thread of its event loop.
///
/// Both sides send Hello first; `ready` follows the peer's valid Hello. Frames that are malformed,
/// too large or precede Hello close the link with a logged event. The object never reconnects by
/// itself.
class LinkConnection : public QObject
{
  Q_OBJECT

public:
  /// Opens a link to "ip:port".
  LinkConnection(const InstanceInfo& aSelf,
                 const std::string& aAddress,
                 const EmulatedLatency& aLatency,
                 QObject* aParent);

  /// Takes over an accepted socket.
  LinkConnection(const InstanceInfo& aSelf,
                 QTcpSocket* aAccepted,
                 const EmulatedLatency& aLatency,
                 QObject* aParent);

  /// Queues a message. Messages sent before `ready` follow the Hello. Dropped once closed.
  void Send(const Message& aMessage);

  /// Closes the link; `closed` follows from the event loop. May be called repeatedly.
  void Close();

  bool IsReady() const { return this->helloReceived && !this->hasClosed; }
  bool IsClosed() const { return this->hasClosed; }

  /// The peer's identity, valid once ready.
  const InstanceInfo& Peer() const { return this->peerInfo; }

  /// Bytes queued for sending, to apply back-pressure.
  std::int64_t QueuedBytes() const;

Q_SIGNALS:
  void Ready();
  void Received(const oleanderledge::Message& aMessage);
  /// Emitted exactly once.
  void Closed();

private:
  struct DelayedFrame
  {
    Instant due;
    std::string frame;
  };

  void ConnectSocket();
  void ReadAvailable();
  void HandleBody(const std::string& aBody);
  void HandleHello(const Hello& aHello);
  void Reject(ResultCode aCode, const std::string& aReason);
  void WriteFrame(std::string aFrame);
  void FlushDelayed();
  void Finish();

  InstanceInfo selfInfo;
  InstanceInfo peerInfo;
  EmulatedLatency latency;
  QTcpSocket* socket = nullptr;
  QTimer delayTimer;
  FrameReader reader;
  std::deque<DelayedFrame> delayed;
  std::int64_t delayedBytes = 0;
  bool helloReceived = false;
  bool hasClosed = false;
};

/// Splits "ip:port"; the port is 0 if it is missing or invalid.
std::pair<std::string, std::uint16_t> SplitAddress(std::string_view aAddress);

} // namespace oleanderledge
