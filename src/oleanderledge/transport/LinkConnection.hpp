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

/// One link to a peer process over TCP. Use it only in the thread of its event loop.
///
/// Both sides send Hello first; Ready() is emitted when a valid Hello of the peer arrives. A frame
/// that is malformed, is too large or precedes Hello closes the link and is logged. A closed link
/// is not reopened.
class LinkConnection : public QObject
{
  Q_OBJECT

public:
  /// Opens a link to "ip:port".
  LinkConnection(const InstanceInfo& aSelf,
                 const std::string& aAddress,
                 const EmulatedLatency& aLatency,
                 QObject* aParent);

  /// Takes ownership of an accepted socket.
  LinkConnection(const InstanceInfo& aSelf,
                 QTcpSocket* aAccepted,
                 const EmulatedLatency& aLatency,
                 QObject* aParent);

  /// Queues a message. It is not sent before the peer's Hello has arrived, and is dropped if the
  /// link is closed.
  void Send(const Message& aMessage);

  /// Closes the link; Closed() is emitted later from the event loop. Repeated calls have no effect.
  void Close();

  bool IsReady() const { return this->helloReceived && !this->isClosed; }
  bool IsClosed() const { return this->isClosed; }

  /// Identity of the peer from its Hello; empty before Ready().
  const InstanceInfo& Peer() const { return this->peerInfo; }

  /// When bytes of the peer last arrived, also if they do not complete a message.
  Instant LastReceivedAt() const { return this->lastReceivedAt; }

  /// Bytes queued for sending; senders use it for back-pressure.
  std::int64_t QueuedBytes() const;

Q_SIGNALS:
  void Ready();
  void Received(const oleanderledge::Message& aMessage);
  /// Emitted exactly once, also if the link never became ready.
  void Closed();

private:
  struct DelayedFrame
  {
    Instant due; ///< When the frame is to be sent.
    std::string frame;
  };

  void SetUpSocket();
  void ReadAvailable();
  void HandleBody(const std::string& aBody);
  void HandleHello(const Hello& aHello);
  void Reject(ResultCode aCode, const std::string& aReason);
  void WriteFrame(std::string aFrame);
  void FlushDelayed();
  void CloseNow();

  InstanceInfo selfInfo;
  InstanceInfo peerInfo;
  EmulatedLatency latency;
  QTcpSocket* socket = nullptr;
  QTimer delayTimer;
  FrameReader reader;
  std::deque<DelayedFrame> delayedFrames;
  std::int64_t delayedBytes = 0; ///< Size of all frames in `delayedFrames`.
  Instant lastReceivedAt{};
  bool helloReceived = false;
  bool isClosed = false;
};

/// Splits "ip:port" at its last colon; the port is 0 if it is missing or invalid.
std::pair<std::string, std::uint16_t> SplitAddress(std::string_view aAddress);

} // namespace oleanderledge
