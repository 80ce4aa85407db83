#pragma once

#include "oleanderledge/entry/ProxyLinks.hpp"
#include "oleanderledge/link/link.hpp"

#include <QObject>

#include <unordered_map>

namespace oleanderledge {

/// The owner's end of the links from entries. See OwnerLinkAcceptor.
class OwnerLinkServer
  : public QObject
  , public OwnerLinkAcceptor
{
  Q_OBJECT

public:
  explicit OwnerLinkServer(QObject* aParent);

  void SetOwner(OwnerService* aOwner) override { this->owner = aOwner; }
  void Adopt(LinkConnection* aLink) override;
  std::size_t LinkCount() const override { return this->links.size(); }

  void Deliver(LinkId aLink, StatementReply&& aReply) override;
  std::int64_t QueuedBytes(LinkId aLink) const override;

  /// Passes a message of an entry to the owner role. Returns false if messages of this type are not
  /// allowed on such a link. A ping is passed on too, but answered by the calling function.
  bool HandleMessage(LinkId aLink, Message&& aMessage);

Q_SIGNALS:
  /// A reply for the entry in this process. Receivers connect with a queued connection, because
  /// the owner may reply from inside a call of the entry.
  void LocalReply(const oleanderledge::StatementReply& aReply);

private:
  void HandleReceived(LinkId aLink, LinkConnection* aConnection, const Message& aMessage);
  void RefuseWithoutOwner(LinkId aLink, const StatementRequest& aRequest);

  OwnerService* owner = nullptr;
  std::unordered_map<LinkId, LinkConnection*> links;
  LinkId nextId = kLocalLinkId + 1;
};

} // namespace oleanderledge
