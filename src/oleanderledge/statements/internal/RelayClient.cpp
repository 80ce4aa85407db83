#include "oleanderledge/statements/internal/RelayClient.hpp"

#include <functional>
#include <limits>

namespace oleanderledge {

namespace {

/// A relay that is stopping or does not answer is not chosen for this time. The control plane names
/// other relays within two heartbeats of 200 ms.
constexpr Duration kRelayAvoidanceTime = std::chrono::milliseconds(400);

/// Channels that the relay of an organisation may have beyond the fewest of another one. A new
/// connection costs 12 ms at the server, about the execution time of one statement.
constexpr std::size_t kAffinityChannels = 2;

} // namespace

RelayClient::RelayClient(const InstanceInfo& aSelf, QObject* aParent)
  : QObject(aParent)
  , links(aSelf, {}, aSelf.incarnation, PeerLinks::Pinging::WhenQuiet, nullptr)
{
  QObject::connect(&this->links, &PeerLinks::Ready, this, &RelayClient::RelayReady);
  QObject::connect(&this->links, &PeerLinks::Lost, this, &RelayClient::HandleLost);
  QObject::connect(&this->links, &PeerLinks::Received, this, &RelayClient::HandleReceived);
}

std::string RelayClient::ChooseRelay(const std::vector<std::string>& aRelays,
                                     std::string_view aOrganisation,
                                     Instant aNow) const
{
  std::string best;
  std::size_t fewest = std::numeric_limits<std::size_t>::max();
  std::string preferred;
  std::size_t preferredRank = 0;
  std::size_t preferredCount = 0;
  for (const std::string& address : aRelays) {
    const auto avoided = this->avoidedUntil.find(address);
    if (!this->links.IsReady(address) ||
        (avoided != this->avoidedUntil.end() && aNow < avoided->second)) {
      continue;
    }
    const auto found = this->channelCount.find(address);
    const std::size_t count = found == this->channelCount.end() ? 0 : found->second;
    if (count < fewest) {
      best = address;
      fewest = count;
    }
    // Rendezvous hashing: an organisation keeps its relay while that one is in the list.
    const std::size_t rank = std::hash<std::string>{}(address + " " + std::string(aOrganisation));
    if (preferred.empty() || rank > preferredRank) {
      preferred = address;
      preferredRank = rank;
      preferredCount = count;
    }
  }
  if (!aOrganisation.empty() && preferredCount <= fewest + kAffinityChannels) {
    return preferred;
  }
  return best;
}

void RelayClient::AvoidRelay(const std::string& aAddress, Instant aNow)
{
  this->avoidedUntil[aAddress] = aNow + kRelayAvoidanceTime;
}

std::uint64_t RelayClient::OpenChannel(const std::string& aAddress,
                                       RelayOpen aRequest,
                                       RelayChannelListener& aListener)
{
  const std::uint64_t channel = ++this->lastChannel;
  aRequest.channel = channel;
  this->channels[channel] = { aAddress, &aListener };
  ++this->channelCount[aAddress];
  this->links.Send(aAddress, aRequest);
  return channel;
}

void RelayClient::Send(std::uint64_t aChannel, const Message& aMessage)
{
  const auto found = this->channels.find(aChannel);
  if (found != this->channels.end()) {
    // If the link is down, HandleLost() ends the channel.
    this->links.Send(found->second.address, aMessage);
  }
}

void RelayClient::EndChannel(std::uint64_t aChannel)
{
  const auto found = this->channels.find(aChannel);
  if (found == this->channels.end()) {
    return;
  }
  --this->channelCount[found->second.address];
  this->channels.erase(found);
}

RelayChannelListener* RelayClient::FindListener(const std::string& aAddress,
                                                std::uint64_t aChannel) const
{
  const auto found = this->channels.find(aChannel);
  return found == this->channels.end() || found->second.address != aAddress
           ? nullptr
           : found->second.listener;
}

void RelayClient::HandleReceived(const std::string& aAddress, const Message& aMessage)
{
  if (const auto* opened = std::get_if<RelayOpened>(&aMessage)) {
    if (auto* listener = this->FindListener(aAddress, opened->channel)) {
      listener->OnOpened(*opened);
    }
  } else if (const auto* result = std::get_if<RelayResult>(&aMessage)) {
    if (auto* listener = this->FindListener(aAddress, result->channel)) {
      listener->OnResult(*result);
    }
  } else {
    this->links.Reject(aAddress, aMessage);
  }
}

void RelayClient::HandleLost(const std::string& aAddress)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [channel, entry] : this->channels) {
    if (entry.address == aAddress) {
      lost.push_back(channel);
    }
  }
  for (const std::uint64_t channel : lost) {
    // A listener may end further channels.
    if (auto* listener = this->FindListener(aAddress, channel)) {
      listener->OnRelayLost();
    }
  }
}

} // namespace oleanderledge
