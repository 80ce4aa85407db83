#include "oleanderledge/transport/LinkServer.hpp"

#include "oleanderledge/transport/AcceptRetry.hpp"

#include <QHostAddress>

#include <vector>

namespace oleanderledge {

namespace {

constexpr std::chrono::milliseconds kCheckInterval(100);
/// If the time since the last check is longer, this process itself was suspended or blocked. What
/// peers sent meanwhile was not read, so their silence is not counted.
constexpr Duration kLateCheckThreshold = std::chrono::milliseconds(600);
/// At the limit of connections, a link that is silent for this time is closed in favour of a new
/// one. Peers send something at least every 500 ms.
constexpr Duration kReplaceableSilence = std::chrono::seconds(2);
/// Bytes that a server without a shared budget may hold: some frames of the largest size.
constexpr std::uint64_t kOwnBudgetBytes = std::uint64_t{ 512 } * 1024 * 1024;
/// Connections that may wait to be accepted. All proxies may connect at once.
constexpr int kListenBacklog = 512;

} // namespace

LinkServer::LinkServer(InstanceInfo aSelf, const EmulatedLatency& aLatency, QObject* aParent)
  : QObject(aParent)
  , selfInfo(std::move(aSelf))
  , latency(aLatency)
  , budget(std::make_shared<ResourceBudget>(BudgetLimits{ .bytes = kOwnBudgetBytes }))
{
  this->server.setListenBacklogSize(kListenBacklog);
  this->server.setMaxPendingConnections(kListenBacklog);
  QObject::connect(&this->server, &QTcpServer::newConnection, this, &LinkServer::AcceptPending);
  QObject::connect(&this->checkTimer, &QTimer::timeout, this, &LinkServer::CheckAll);
  RetryAcceptingAfterErrors(this->server);
}

void LinkServer::SetLimits(const LinkLimits& aLimits, std::shared_ptr<ResourceBudget> aBudget)
{
  this->limits = aLimits;
  this->budget = std::move(aBudget);
}

Result<void> LinkServer::Listen(const std::string& aAddress)
{
  const auto [host, port] = SplitAddress(aAddress);
  if (!this->server.listen(QHostAddress(QString::fromStdString(host)), port)) {
    return Fail(ResultCode::ListenFailed,
                aAddress + ": " + this->server.errorString().toStdString());
  }
  this->checkTimer.start(kCheckInterval);
  return boost::outcome_v2::success();
}

void LinkServer::Stop()
{
  this->server.close();
}

void LinkServer::AcceptPending()
{
  while (QTcpSocket* socket = this->server.nextPendingConnection()) {
    const std::string address = socket->peerAddress().toString().toStdString();
    if (this->links.size() >= this->limits.connections && !this->CloseOneWaiting()) {
      this->budget->RecordClosing(ClientPort::Links, ClosingReason::Connections, address, 0);
      delete socket;
      continue;
    }
    const ResourceBudget::Admission admission = this->budget->Admit(ClientPort::Links, address);
    if (admission.refusal) {
      this->budget->RecordClosing(ClientPort::Links, *admission.refusal, address, 0);
      delete socket;
      continue;
    }
    this->Adopt(new LinkConnection(this->selfInfo, socket, this->latency, this), admission.client);
  }
}

void LinkServer::Adopt(LinkConnection* aLink, ResourceBudget::ClientId aId)
{
  this->links[aLink] = aId;
  aLink->SetLimits(this->limits);
  QObject::connect(aLink, &LinkConnection::Ready, this, [this, aLink, aId] {
    this->budget->MarkStarted(aId);
    Q_EMIT this->Accepted(aLink);
  });
  QObject::connect(
    aLink, &LinkConnection::BytesHandled, this, [this, aLink] { this->UpdateHeld(aLink); });
  QObject::connect(aLink, &LinkConnection::Rejected, this, [this, aLink](ResultCode aCode) {
    this->budget->RecordClosing(ClientPort::Links,
                                aCode == ResultCode::FrameTooLarge
                                  ? ClosingReason::MessageTooLarge
                                  : ClosingReason::MalformedMessage,
                                aLink->PeerAddress(),
                                aLink->HeldBytes());
  });
  // The receiver of Accepted() may delete the link without closing it first.
  QObject::connect(aLink, &QObject::destroyed, this, [this, aLink, aId] {
    this->links.erase(aLink);
    this->budget->Remove(aId);
  });
  // No receiver of Accepted() learns of a link that closes before the Hello, so links are deleted
  // here.
  QObject::connect(aLink, &LinkConnection::Closed, this, [this, aLink, aId] {
    this->links.erase(aLink);
    this->budget->Remove(aId);
    aLink->deleteLater();
  });
}

bool LinkServer::CloseOneWaiting()
{
  const Instant now = MonotonicNow();
  LinkConnection* chosen = nullptr;
  for (const auto& [link, id] : this->links) {
    const bool isSilent = now - link->LastReceivedAt() > kReplaceableSilence;
    if (link->IsReady() && !isSilent) {
      continue;
    }
    if (chosen == nullptr || link->LastReceivedAt() < chosen->LastReceivedAt()) {
      chosen = link;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  this->CloseForReason(chosen, ClosingReason::Connections);
  return true;
}

void LinkServer::UpdateHeld(LinkConnection* aLink)
{
  const auto found = this->links.find(aLink);
  if (found == this->links.end()) {
    return;
  }
  this->budget->SetHeld(found->second, aLink->HeldBytes());
  if (aLink->QueuedBytes() > this->limits.unreadBytes) {
    this->CloseForReason(aLink, ClosingReason::ClientBytes);
  }
  this->CloseSelected();
}

void LinkServer::CheckAll()
{
  const Instant now = MonotonicNow();
  const bool wasDelayed = now - this->checkedAt > kLateCheckThreshold;
  this->checkedAt = now;
  std::vector<LinkConnection*> present;
  present.reserve(this->links.size());
  for (const auto& [link, id] : this->links) {
    present.push_back(link);
  }
  for (LinkConnection* link : present) {
    this->UpdateHeld(link);
    if (wasDelayed || !this->links.contains(link)) {
      continue;
    }
    const auto incompleteSince = link->IncompleteSince();
    const bool isSlow = incompleteSince && now - *incompleteSince > this->limits.frameTime;
    const bool isSilent = link->IsReady() && now - link->LastReceivedAt() > this->limits.silence;
    if (isSlow || isSilent) {
      this->CloseForReason(link, ClosingReason::MessageTime);
    }
  }
}

void LinkServer::CloseSelected()
{
  for (const ResourceBudget::Closing& closing : this->budget->TakeClosings(ClientPort::Links)) {
    for (const auto& [link, id] : this->links) {
      if (id == closing.client) {
        this->CloseForReason(link, closing.reason);
        break;
      }
    }
  }
}

void LinkServer::CloseForReason(LinkConnection* aLink, ClosingReason aReason)
{
  this->budget->RecordClosing(ClientPort::Links, aReason, aLink->PeerAddress(), aLink->HeldBytes());
  // At once, so that a burst of connections does not take more descriptors than the limit. No
  // handler of a message is running: callers are timers, new connections and BytesHandled().
  aLink->Abort();
}

} // namespace oleanderledge
