#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"
#include "oleanderledge/transport/LinkLimits.hpp"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <deque>
#include <memory>
#include <optional>
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

  /// Closes the link and its socket at once. Not for use in a handler of Received().
  void Abort() { this->CloseNow(); }

  bool IsReady() const { return this->helloReceived && !this->isClosed; }
  bool IsClosed() const { return this->isClosed; }

  /// Identity of the peer from its Hello; empty before Ready().
  const InstanceInfo& Peer() const { return this->peerInfo; }

  /// When bytes of the peer last arrived, also if they do not complete a message.
  Instant LastReceivedAt() const { return this->lastReceivedAt; }

  /// Bytes queued for sending; senders use it for back-pressure.
  std::int64_t QueuedBytes() const;

  /// Limits what the peer may send.
  void SetLimits(const LinkLimits& aLimits);
  /// Memory that is held for the peer: parts of frames, and messages that it has not read.
  std::uint64_t HeldBytes() const;
  /// Since when a frame that was begun has not been completed; nothing between frames.
  std::optional<Instant> IncompleteSince() const;
  /// IP address of the peer.
  std::string PeerAddress() const;

Q_SIGNALS:
  void Ready();
  void Received(const oleanderledge::Message& aMessage);
  /// Bytes have arrived and complete frames among them have been handled.
  void BytesHandled();
  /// The peer sent what it must not send: a frame over a limit, or one that cannot be read.
  /// Closed() follows.
  void Rejected(oleanderledge::ResultCode aCode);
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
  std::size_t maxFrameBytes = kMaxFrameBytes; ///< For a peer that is not a control instance.
  Instant frameSince{};                       ///< When the incomplete frame was begun.
  std::deque<DelayedFrame> delayedFrames;
  std::int64_t delayedBytes = 0; ///< Size of all frames in `delayedFrames`.
  Instant lastReceivedAt{};
  bool helloReceived = false;
  bool isClosed = false;
};

/// Splits "ip:port" at its last colon; the port is 0 if it is missing or invalid.
std::pair<std::string, std::uint16_t> SplitAddress(std::string_view aAddress);

} // namespace oleanderledge
