#pragma once

#include "oleanderledge/transport/transport.hpp"

#include <QObject>

#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The links between this control instance and the others: accepted ones and those opened here.
class MemberLinks : public QObject
{
  Q_OBJECT

public:
  MemberLinks(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent);

  /// Uses an accepted link. The caller keeps its ownership.
  void AddAcceptedLink(LinkConnection* aLink);

  /// Pings idle links, closes those on which nothing has arrived for 2 s, and opens links to those
  /// addresses that have none. Called at regular intervals.
  void RefreshLinks(const std::vector<std::string>& aAddresses, Instant aNow);

  /// Sends to an instance over the ready link that was added last, or on which a message of the
  /// instance has arrived since. Returns false, without sending, if there is no ready link or more
  /// than 8 MiB are queued on it.
  bool Send(const std::string& aInstance, const Message& aMessage);

  /// When anything arrived from an instance on one of its links; empty if it has none.
  std::optional<Instant> HeardAt(const std::string& aInstance) const;

  /// True if there is a ready link to an instance.
  bool IsLinked(const std::string& aInstance) { return this->FindReadyEntry(aInstance) != nullptr; }

  /// Sends to every control instance with a ready link.
  void SendToAll(const Message& aMessage);

  void CloseAll();

Q_SIGNALS:
  /// A message from a control instance arrived on any link.
  void Received(const oleanderledge::InstanceInfo& aPeer, const oleanderledge::Message& aMessage);

private:
  struct Entry
  {
    LinkConnection* link = nullptr;
    std::string address; ///< Target of a link opened here; empty for accepted links.
    Instant pingedAt{};
    Instant silenceCountedFrom{}; ///< Earlier silence may be that of this process.
  };

  /// Pings or closes a link that is silent. With `aWasDelayed` its silence counts from `aNow` on.
  void CheckLink(Entry& aEntry, bool aWasDelayed, Instant aNow);
  void TrackLink(LinkConnection* aLink, const std::string& aAddress);
  void RemoveLink(LinkConnection* aLink);
  void OnReceived(LinkConnection* aLink, const Message& aMessage);
  Entry* FindReadyEntry(const std::string& aInstance);
  bool HasLinkTo(const std::string& aAddress) const;

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  std::vector<Entry> entries; ///< Links that are new, or were heard last, at the end.
  Instant lastRefresh{};
};

} // namespace oleanderledge
