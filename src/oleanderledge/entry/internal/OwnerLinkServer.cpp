#include "oleanderledge/entry/internal/OwnerLinkServer.hpp"

#include "oleanderledge/transport/transport.hpp"

namespace oleanderledge {

OwnerLinkServer::OwnerLinkServer(QObject* aParent)
  : QObject(aParent)
{
}

void OwnerLinkServer::Adopt(LinkConnection* aLink)
{
  if (aLink->IsClosed()) {
    return;
  }
  const LinkId id = this->nextId++;
  aLink->setParent(this);
  this->links[id] = aLink;
  QObject::connect(
    aLink, &LinkConnection::Received, this, [this, id, aLink](const Message& aMessage) {
      this->HandleReceived(id, aLink, aMessage);
    });
  QObject::connect(aLink, &LinkConnection::Closed, this, [this, id, aLink] {
    this->links.erase(id);
    if (this->owner != nullptr) {
      this->owner->CloseLink(id);
    }
    aLink->deleteLater();
  });
}

void OwnerLinkServer::HandleReceived(LinkId aLink,
                                     LinkConnection* aConnection,
                                     const Message& aMessage)
{
  if (!this->HandleMessage(aLink, Message(aMessage))) {
    WriteLog(LogEvent::PeerLinkRejected,
             "peer=" + aConnection->Peer().id + " type=" + std::to_string(aMessage.index()));
    aConnection->Close();
    return;
  }
  if (const auto* ping = std::get_if<LinkPing>(&aMessage)) {
    aConnection->Send(LinkPong{ ping->sentUs });
  }
}

bool OwnerLinkServer::HandleMessage(LinkId aLink, Message&& aMessage)
{
  if (auto* request = std::get_if<StatementRequest>(&aMessage)) {
    if (this->owner == nullptr) {
      this->RefuseWithoutOwner(aLink, *request);
    } else {
      this->owner->Submit(aLink, std::move(*request));
    }
    return true;
  }
  const auto* cancel = std::get_if<CancelStatement>(&aMessage);
  const auto* close = std::get_if<oleanderledge::CloseChannel>(&aMessage);
  const auto* ping = std::get_if<LinkPing>(&aMessage);
  if (cancel == nullptr && close == nullptr && ping == nullptr) {
    return false;
  }
  if (this->owner == nullptr) {
    return true;
  }
  if (cancel != nullptr) {
    this->owner->Cancel(aLink, *cancel);
  } else if (close != nullptr) {
    this->owner->CloseChannel(aLink, close->channel);
  } else {
    this->owner->RecordPing(aLink, *ping);
  }
  return true;
}

void OwnerLinkServer::RefuseWithoutOwner(LinkId aLink, const StatementRequest& aRequest)
{
  StatementReply reply;
  reply.channel = aRequest.channel;
  reply.sequence = aRequest.sequence;
  reply.database = aRequest.database;
  reply.finalPiece = true;
  reply.code = ResultCode::NotOwner;
  reply.runState = RunState::NotRun;
  this->Deliver(aLink, std::move(reply));
}

void OwnerLinkServer::Deliver(LinkId aLink, StatementReply&& aReply)
{
  if (aLink == kLocalLinkId) {
    Q_EMIT this->LocalReply(aReply);
    return;
  }
  const auto found = this->links.find(aLink);
  if (found != this->links.end()) {
    found->second->Send(std::move(aReply));
  }
}

std::int64_t OwnerLinkServer::QueuedBytes(LinkId aLink) const
{
  const auto found = this->links.find(aLink);
  return found == this->links.end() ? 0 : found->second->QueuedBytes();
}

} // namespace oleanderledge
