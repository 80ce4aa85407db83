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

/// Links to peers by their address ("ip:port"), opened on demand and re-opened with back-off while
/// they are wanted. Pings find peers that fell silent.
class PeerLinks : public QObject
{
  Q_OBJECT

public:
  /// How often a link is pinged.
  enum class Pinging : std::uint8_t
  {
    Always,   ///< At each interval, for peers that use the pings as a sign of life.
    WhenQuiet ///< Only if nothing was heard for an interval.
  };

  PeerLinks(const InstanceInfo& aSelf,
            const EmulatedLatency& aLatency,
            std::uint64_t aSeed,
            Pinging aPinging,
            QObject* aParent);

  /// Opens the link if it is not open, and keeps re-opening it while it is wanted.
  void Open(const std::string& aAddress);
  /// Sends a message. Returns false, without having sent any byte, if the link is not ready.
  bool Send(const std::string& aAddress, const Message& aMessage);
  bool IsReady(const std::string& aAddress) const;
  /// Closes a link whose peer sent a message that does not belong there.
  void Reject(const std::string& aAddress, const Message& aMessage);

Q_SIGNALS:
  // Never emitted from inside Open() or Send().
  void Ready(const std::string& aAddress);
  /// Follows only after Ready.
  void Lost(const std::string& aAddress);
  /// Any message but the answers to pings.
  void Received(const std::string& aAddress, const oleanderledge::Message& aMessage);

private:
  struct Peer
  {
    LinkConnection* link = nullptr;
    Instant wanted{};    ///< When the link was last asked for.
    Instant lastHeard{}; ///< When the last message arrived.
    std::uint32_t failures = 0;
    bool isOpening = false; ///< A link is being opened, or will be after the back-off.
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
