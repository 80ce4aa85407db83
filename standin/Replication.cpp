#include "Replication.hpp"

#include <QByteArray>

#include <algorithm>

namespace oleanderledge::stand_in {

namespace {

/// Time for which the initial primary waits for the status of its peers before it bootstraps the
/// group. Without it, a restarted initial primary would take the first term again before it learns
/// that the group already has data or a newer primary.
constexpr int kBootstrapPeerWaitMs = 2000;

} // namespace

Replication::Replication(SlotContext& aContext, QObject* aParent)
  : QObject(aParent)
  , context(aContext)
{
  for (const std::string& address : aContext.settings.peers) {
    auto* peer = new PeerLink(address, this);
    this->peers.push_back(peer);
    QObject::connect(peer, &PeerLink::StatusChanged, this, &Replication::UpdateRole);
    QObject::connect(peer, &PeerLink::Received, this, [this, peer](const QJsonObject& aMessage) {
      this->HandleMessage(peer, aMessage);
    });
  }
  this->lagTimer.setSingleShot(true);
  this->lagTimer.setTimerType(Qt::PreciseTimer);
  this->peerWaitTimer.setSingleShot(true);
  QObject::connect(&this->lagTimer, &QTimer::timeout, this, &Replication::AdvanceLog);
  QObject::connect(&this->peerWaitTimer, &QTimer::timeout, this, [this] {
    this->peerWaitEnded = true;
    this->UpdateRole();
  });
}

void Replication::Start()
{
  this->running = true;
  for (PeerLink* peer : this->peers) {
    peer->Start();
  }
  if (!this->bootstrapped) {
    this->peerWaitTimer.start(kBootstrapPeerWaitMs);
  }
  this->UpdateRole();
  this->AdvanceLog();
}

void Replication::Stop()
{
  this->running = false;
  this->peerWaitTimer.stop();
  this->lagTimer.stop();
  for (PeerLink* peer : this->peers) {
    peer->Stop();
  }
  this->upstream = nullptr;
  this->DiscardDelayedRecords();
}

void Replication::UpdateRole()
{
  if (!this->running) {
    return;
  }
  SlotStore& store = this->context.store;
  this->bootstrapped = this->bootstrapped || store.Term() > 0;
  if (!this->bootstrapped) {
    this->TryBootstrap();
  }
  if (store.IsPrimary()) {
    this->upstream = nullptr;
    const bool superseded =
      std::any_of(this->peers.begin(), this->peers.end(), [&](const PeerLink* aPeer) {
        return aPeer->Status().known && aPeer->Status().term > store.Term();
      });
    if (!superseded) {
      return;
    }
    store.Demote();
  }
  if (this->upstream != nullptr && !this->upstream->Status().known) {
    this->upstream = nullptr;
    this->DiscardDelayedRecords();
  }
  this->Follow(this->FindHighestTermPrimary());
}

void Replication::TryBootstrap()
{
  if (!this->context.settings.initialPrimary) {
    return;
  }
  const bool historyKnown =
    std::any_of(this->peers.begin(), this->peers.end(), [](const PeerLink* aPeer) {
      return aPeer->Status().known && (aPeer->Status().term > 0 || aPeer->Status().received > 0);
    });
  if (historyKnown) {
    this->bootstrapped = true;
    return;
  }
  const bool allKnown = std::all_of(this->peers.begin(),
                                    this->peers.end(),
                                    [](const PeerLink* aPeer) { return aPeer->Status().known; });
  if (allKnown || this->peerWaitEnded) {
    this->bootstrapped = true;
    this->context.store.Bootstrap(this->context.settings.schema);
  }
}

PeerLink* Replication::FindHighestTermPrimary() const
{
  PeerLink* best = nullptr;
  for (PeerLink* peer : this->peers) {
    const PeerStatus& status = peer->Status();
    const SlotStore& store = this->context.store;
    if (!status.known || !status.primary || status.term < store.Term()) {
      continue;
    }
    if (status.term == store.Term() && status.received < store.Received()) {
      // The primary restarted without its data and took the same term again. Copying its data would
      // erase the log of this replica.
      continue;
    }
    if (best == nullptr || status.term > best->Status().term) {
      best = peer;
    }
  }
  return best;
}

void Replication::Follow(PeerLink* aPrimary)
{
  if (aPrimary == nullptr ||
      (aPrimary == this->upstream && aPrimary->Status().term == this->upstreamTerm)) {
    return;
  }
  this->upstream = aPrimary;
  this->upstreamTerm = aPrimary->Status().term;
  this->followAccepted = false;
  this->DiscardDelayedRecords();
  const SlotStore& store = this->context.store;
  aPrimary->Send({ { "type", "follow" },
                   { "position", static_cast<qint64>(store.Received()) },
                   { "position_term", static_cast<qint64>(*store.TermAt(store.Received())) } });
}

void Replication::HandleMessage(PeerLink* aFrom, const QJsonObject& aMessage)
{
  SlotStore& store = this->context.store;
  if (aFrom != this->upstream || store.IsPrimary()) {
    return;
  }
  const QString type = aMessage["type"].toString();
  const auto term = static_cast<std::uint64_t>(aMessage["term"].toInteger());
  if (type == "accepted") {
    this->followAccepted = true;
    store.AdoptTerm(term);
    const auto lag = std::chrono::milliseconds(this->context.settings.applyLagMs);
    this->delayedApplies.push_back({ MonotonicNow() + lag, store.Received() });
    this->AdvanceLog();
  } else if (type == "copy") {
    this->followAccepted = true;
    this->delayedApplies.clear();
    store.Replace(QByteArray::fromBase64(aMessage["data"].toString().toLatin1()).toStdString(),
                  static_cast<std::uint64_t>(aMessage["position"].toInteger()),
                  static_cast<std::uint64_t>(aMessage["position_term"].toInteger()),
                  term);
  } else if (type == "record" && this->followAccepted) {
    const auto lag = std::chrono::milliseconds(this->context.settings.receiveLagMs);
    this->delayedRecords.push_back({ MonotonicNow() + lag, LogRecordFromJson(aMessage) });
    this->AdvanceLog();
  }
}

void Replication::AdvanceLog()
{
  if (!this->running) {
    return;
  }
  SlotStore& store = this->context.store;
  if (store.IsPrimary()) {
    // A promotion keeps only received records. Records whose receive lag has not ended belong to
    // the log of the previous term.
    this->DiscardDelayedRecords();
    return;
  }
  const Instant now = MonotonicNow();
  while (!this->delayedRecords.empty() && this->delayedRecords.front().due <= now) {
    DelayedRecord& next = this->delayedRecords.front();
    const auto lag = std::chrono::milliseconds(this->context.settings.applyLagMs);
    this->delayedApplies.push_back({ next.due + lag, next.record.position });
    store.Receive(std::move(next.record));
    this->delayedRecords.pop_front();
  }
  while (!this->delayedApplies.empty() && this->delayedApplies.front().due <= now) {
    store.ApplyUpTo(this->delayedApplies.front().position);
    this->delayedApplies.pop_front();
  }
  Instant next = Instant::max();
  if (!this->delayedRecords.empty()) {
    next = this->delayedRecords.front().due;
  }
  if (!this->delayedApplies.empty()) {
    next = std::min(next, this->delayedApplies.front().due);
  }
  if (next != Instant::max()) {
    this->lagTimer.start(std::chrono::ceil<std::chrono::milliseconds>(next - now));
  }
}

void Replication::DiscardDelayedRecords()
{
  this->delayedRecords.clear();
}

} // namespace oleanderledge::stand_in
