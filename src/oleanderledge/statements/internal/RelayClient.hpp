#pragma once

#include "oleanderledge/transport/PeerLinks.hpp"

#include <QObject>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Receives what a relay sends on one channel.
class RelayChannelListener
{
public:
  virtual ~RelayChannelListener() = default;
  virtual void OnOpened(const RelayOpened& aMessage) = 0;
  virtual void OnResult(const RelayResult& aMessage) = 0;
  /// The link to the relay was lost, and the channel with it.
  virtual void OnRelayLost() = 0;
};

/// The links to relays and the channels on them.
class RelayClient : public QObject
{
  Q_OBJECT

public:
  RelayClient(const InstanceInfo& aSelf, QObject* aParent);

  /// Keeps a link to the relay open.
  void Connect(const std::string& aAddress) { this->links.Open(aAddress); }
  /// The relay to use next: among those that are ready, one with the fewest channels. Empty if none
  /// is ready.
  std::string Choose(const std::vector<std::string>& aRelays, Instant aNow) const;
  /// Does not choose a relay for a short time, because it stops or does not answer.
  void Avoid(const std::string& aAddress, Instant aNow);

  /// Sends a request for a connection on a new channel and returns its number. The listener lives
  /// until the channel ends.
  std::uint64_t OpenChannel(const std::string& aAddress,
                            RelayOpen aRequest,
                            RelayChannelListener& aListener);
  void Send(std::uint64_t aChannel, const Message& aMessage);
  /// Forgets a channel; the caller has sent RelayClose if the relay still knows it.
  void EndChannel(std::uint64_t aChannel);

Q_SIGNALS:
  /// A relay can be used that could not be before.
  void RelayReady();

private:
  struct Channel
  {
    std::string address;
    RelayChannelListener* listener = nullptr;
  };

  void HandleReceived(const std::string& aAddress, const Message& aMessage);
  void HandleLost(const std::string& aAddress);
  RelayChannelListener* FindListener(const std::string& aAddress, std::uint64_t aChannel) const;

  PeerLinks links;
  std::map<std::uint64_t, Channel> channels;
  std::map<std::string, std::size_t, std::less<>> channelCount; ///< By address.
  std::map<std::string, Instant, std::less<>> avoidedUntil;     ///< By address.
  std::uint64_t lastChannel = 0;
};

} // namespace oleanderledge
