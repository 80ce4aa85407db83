#pragma once

#include "oleanderledge/transport/PeerLinks.hpp"

#include <QObject>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Receives the messages of a relay on one channel.
class RelayChannelListener
{
public:
  virtual ~RelayChannelListener() = default;
  virtual void OnOpened(const RelayOpened& aMessage) = 0;
  virtual void OnResult(const RelayResult& aMessage) = 0;
  /// The link to the relay was lost, and the channel with it.
  virtual void OnRelayLost() = 0;
};

/// Links to relays, and the channels on them. Each channel carries one borrowed connection.
class RelayClient : public QObject
{
  Q_OBJECT

public:
  RelayClient(const InstanceInfo& aSelf, QObject* aParent);

  /// Opens a link to the relay at this link address, and keeps it open.
  void Connect(const std::string& aAddress) { this->links.Open(aAddress); }
  /// Returns the link address of the relay to use next: one with the fewest channels among those
  /// that are ready and not avoided. Uses for the same organisation go to the same relay, which may
  /// have an idle connection for it, unless that one has many more channels. Empty if there is
  /// none.
  std::string ChooseRelay(const std::vector<std::string>& aRelays,
                          std::string_view aOrganisation,
                          Instant aNow) const;
  /// Excludes a relay that is stopping or does not answer from ChooseRelay() for a short time.
  void AvoidRelay(const std::string& aAddress, Instant aNow);

  /// Sends a request for a connection on a new channel and returns its number. The listener must
  /// outlive the channel.
  std::uint64_t OpenChannel(const std::string& aAddress,
                            RelayOpen aRequest,
                            RelayChannelListener& aListener);
  void Send(std::uint64_t aChannel, const Message& aMessage);
  /// Removes a channel locally. RelayClose must be sent first if the channel is open at the relay.
  void EndChannel(std::uint64_t aChannel);

Q_SIGNALS:
  /// A relay has become ready.
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
