#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/transport/BackOff.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <map>
#include <string>

namespace oleanderledge {

class LinkConnection;

/// Links to peers by their address ("ip:port"), opened on demand. A lost link is reopened with
/// back-off if it was used or requested within the last 30 s. Peers are pinged, and the link to a
/// peer that sends nothing for 1.2 s is closed.
class PeerLinks : public QObject
{
  Q_OBJECT

public:
  /// When a link is pinged; the interval is 200 ms.
  enum class Pinging : std::uint8_t
  {
    Always,   ///< In each interval, for peers that rely on the time of the last ping.
    WhenQuiet ///< Only if nothing was received for an interval.
  };

  PeerLinks(const InstanceInfo& aSelf,
            const EmulatedLatency& aLatency,
            std::uint64_t aSeed,
            Pinging aPinging,
            QObject* aParent);

  /// Requests the link: opens it if it is neither open nor being opened.
  void Open(const std::string& aAddress);
  /// Sends a message. Returns false if the link is not ready; no byte was sent then.
  bool Send(const std::string& aAddress, const Message& aMessage);
  bool IsReady(const std::string& aAddress) const;
  /// Logs an unexpected message of a peer and closes the link.
  void Reject(const std::string& aAddress, const Message& aMessage);

Q_SIGNALS:
  // None of these is emitted from within Open() or Send().
  void Ready(const std::string& aAddress);
  /// A link for which Ready() was emitted was closed.
  void Lost(const std::string& aAddress);
  /// A message other than the answer to a ping arrived.
  void Received(const std::string& aAddress, const oleanderledge::Message& aMessage);

private:
  struct Peer
  {
    LinkConnection* link = nullptr;
    Instant lastRequested{};    ///< Last call of Open() or successful Send().
    Instant lastReceived{};     ///< When the last message arrived.
    std::uint32_t failures = 0; ///< Closed links since the last ready one.
    bool isOpening = false;     ///< A link is being opened, or will be after the back-off.
    bool isReady = false;
  };

  void Connect(const std::string& aAddress);
  void HandleReady(const std::string& aAddress);
  void HandleReceived(const std::string& aAddress, const Message& aMessage);
  void HandleClosed(const std::string& aAddress);
  void PingAll();

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  BackOff backOff;
  Pinging pinging;
  std::map<std::string, Peer> peers;
  QTimer pingTimer;
  Instant lastPing;
};

} // namespace oleanderledge
