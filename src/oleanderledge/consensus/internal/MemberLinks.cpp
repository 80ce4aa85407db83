#include "oleanderledge/consensus/internal/MemberLinks.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

/// A link on which nothing has arrived for this long is closed: its connection may be broken
/// without having been reset, and a new one may use another network path.
constexpr Duration kReplyTimeout = std::chrono::seconds(2);

/// A link on which nothing has arrived for this long is pinged, as join requests and relayed
/// heartbeats have no reply. Leaves the peer 1.5 s to answer.
constexpr Duration kPingInterval = std::chrono::milliseconds(500);

/// If the time since the last check is longer, this process itself was suspended or blocked.
/// Answers may then have arrived without being read, so the silence of peers is not counted.
constexpr Duration kLateCheckThreshold = std::chrono::milliseconds(600);

/// Messages for a peer are dropped while more than this is queued; the leader resends missing
/// entries.
constexpr std::int64_t kMaxQueuedBytes = std::int64_t{ 8 } * 1024 * 1024;

} // namespace

MemberLinks::MemberLinks(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent)
  : QObject(aParent)
  , selfInfo(std::move(aSelf))
  , latency(aLatency)
{
}

void MemberLinks::AddAcceptedLink(LinkConnection* aLink)
{
  this->TrackLink(aLink, {});
}

void MemberLinks::TrackLink(LinkConnection* aLink, const std::string& aAddress)
{
  this->entries.push_back({ aLink, aAddress });
  QObject::connect(aLink, &LinkConnection::Received, this, [this, aLink](const Message& aMessage) {
    this->OnReceived(aLink, aMessage);
  });
  QObject::connect(
    aLink, &LinkConnection::Closed, this, [this, aLink] { this->RemoveLink(aLink); });
  // The owner of an accepted link may destroy it without closing it first.
  QObject::connect(aLink, &QObject::destroyed, this, [this, aLink] { this->RemoveLink(aLink); });
}

void MemberLinks::RemoveLink(LinkConnection* aLink)
{
  std::erase_if(this->entries, [aLink](const Entry& aEntry) { return aEntry.link == aLink; });
}

void MemberLinks::OnReceived(LinkConnection* aLink, const Message& aMessage)
{
  if (const auto* ping = std::get_if<LinkPing>(&aMessage)) {
    aLink->Send(LinkPong{ ping->sentUs });
    return;
  }
  if (std::holds_alternative<LinkPong>(aMessage) || aLink->Peer().role != InstanceRole::Control) {
    return;
  }
  const auto found = std::ranges::find(this->entries, aLink, &Entry::link);
  if (found != this->entries.end()) {
    std::rotate(found, found + 1, this->entries.end());
  }
  Q_EMIT this->Received(aLink->Peer(), aMessage);
}

std::optional<Instant> MemberLinks::HeardAt(const std::string& aInstance) const
{
  std::optional<Instant> heardAt;
  for (const Entry& entry : this->entries) {
    if (!entry.link->IsReady() || entry.link->Peer().id != aInstance) {
      continue;
    }
    const Instant heard = std::max(entry.link->LastReceivedAt(), entry.silenceCountedFrom);
    heardAt = std::max(heard, heardAt.value_or(heard));
  }
  return heardAt;
}

bool MemberLinks::HasLinkTo(const std::string& aAddress) const
{
  return std::ranges::any_of(this->entries, [&aAddress](const Entry& aEntry) {
    return aEntry.address == aAddress ||
           (aEntry.link->IsReady() && aEntry.link->Peer().linkAddress == aAddress);
  });
}

void MemberLinks::RefreshLinks(const std::vector<std::string>& aAddresses, Instant aNow)
{
  const bool wasDelayed = aNow - this->lastRefresh > kLateCheckThreshold;
  this->lastRefresh = aNow;
  for (Entry& entry : this->entries) {
    this->CheckLink(entry, wasDelayed, aNow);
  }
  for (const std::string& address : aAddresses) {
    if (address.empty() || address == this->selfInfo.linkAddress || this->HasLinkTo(address)) {
      continue;
    }
    auto* link = new LinkConnection(this->selfInfo, address, this->latency, this);
    this->TrackLink(link, address);
    QObject::connect(link, &LinkConnection::Closed, link, &QObject::deleteLater);
  }
}

void MemberLinks::CheckLink(Entry& aEntry, bool aWasDelayed, Instant aNow)
{
  // The link itself limits the time until the Hello of the peer.
  if (!aEntry.link->IsReady()) {
    return;
  }
  if (aWasDelayed) {
    aEntry.silenceCountedFrom = aNow;
  }
  const Instant silentSince = std::max(aEntry.link->LastReceivedAt(), aEntry.silenceCountedFrom);
  if (aNow - silentSince > kReplyTimeout) {
    aEntry.link->Close();
  } else if (aNow - silentSince > kPingInterval && aEntry.pingedAt < silentSince) {
    aEntry.pingedAt = aNow;
    aEntry.link->Send(LinkPing{ ToMicroseconds(aNow) });
  }
}

MemberLinks::Entry* MemberLinks::FindReadyEntry(const std::string& aInstance)
{
  // Prefers the link that is new or was heard last: an older one may be silent, or lead to a
  // previous process of the instance.
  const auto found =
    std::find_if(this->entries.rbegin(), this->entries.rend(), [&aInstance](const Entry& aEntry) {
      return aEntry.link->IsReady() && aEntry.link->Peer().id == aInstance;
    });
  return found == this->entries.rend() ? nullptr : &*found;
}

bool MemberLinks::Send(const std::string& aInstance, const Message& aMessage)
{
  Entry* entry = this->FindReadyEntry(aInstance);
  if (entry == nullptr || entry->link->QueuedBytes() > kMaxQueuedBytes) {
    return false;
  }
  entry->link->Send(aMessage);
  return true;
}

void MemberLinks::SendToAll(const Message& aMessage)
{
  std::set<std::string> instances;
  for (const Entry& entry : this->entries) {
    if (entry.link->IsReady() && entry.link->Peer().role == InstanceRole::Control) {
      instances.insert(entry.link->Peer().id);
    }
  }
  for (const std::string& instance : instances) {
    this->Send(instance, aMessage);
  }
}

void MemberLinks::CloseAll()
{
  for (const Entry& entry : this->entries) {
    entry.link->Close();
  }
}

} // namespace oleanderledge
