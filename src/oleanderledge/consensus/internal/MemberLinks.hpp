#pragma once

#include "oleanderledge/transport/transport.hpp"

#include <QObject>

#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The links of one control instance to the others: accepted ones and those it opens itself.
class MemberLinks : public QObject
{
  Q_OBJECT

public:
  MemberLinks(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent);

  /// Uses an accepted link as well. Its owner keeps it.
  void AddAcceptedLink(LinkConnection* aLink);

  /// Opens links to those addresses that have none, and closes links that leave requests
  /// unanswered.
  void RefreshLinks(const std::vector<std::string>& aAddresses, Instant aNow);

  /// Sends to an instance over a ready link. Returns false, without sending, if there is none or if
  /// too much is queued on it.
  bool Send(const std::string& aInstance, const Message& aMessage, Instant aNow);

  /// Sends to every instance with a ready link.
  void SendToAll(const Message& aMessage, Instant aNow);

  void CloseAll();

Q_SIGNALS:
  /// A message of a control instance, on any link.
  void Received(const oleanderledge::InstanceInfo& aPeer, const oleanderledge::Message& aMessage);

private:
  struct Entry
  {
    LinkConnection* link = nullptr;
    std::string address; ///< Of links opened here; empty for accepted ones.
    /// When the oldest request without any later message from the peer was sent.
    std::optional<Instant> unansweredSince;
  };

  void TrackLink(LinkConnection* aLink, const std::string& aAddress);
  void RemoveLink(LinkConnection* aLink);
  void OnReceived(LinkConnection* aLink, const Message& aMessage);
  Entry* FindReadyEntry(const std::string& aInstance);
  bool HasLinkTo(const std::string& aAddress) const;

  InstanceInfo selfInfo;
  EmulatedLatency latency;
  std::vector<Entry> entries;
};

} // namespace oleanderledge
