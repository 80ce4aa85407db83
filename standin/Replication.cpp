#include "Replication.hpp"

#include <QByteArray>

#include <algorithm>

namespace oleanderledge::stand_in {

namespace {

/// Time after which the initial primary no longer waits for peers that have not answered. A
/// restarted primary must first hear of a newer one.
constexpr int kBootstrapGraceMs = 2000;

} // namespace

Replication::Replication(SlotContext& aContext, QObject* aParent)
  : QObject(aParent)
  , context(aContext)
{
  for (const std::string& address : aContext.settings.peers) {
    auto* peer = new PeerLink(address, this);
    this->peers.push_back(peer);
    QObject::connect(peer, &PeerLink::StatusChanged, this, &Replication::Evaluate);
    QObject::connect(peer, &PeerLink::Received, this, [this, peer](const QJsonObject& aMessage) {
      this->HandleMessage(peer, aMessage);
    });
  }
  this->lagTimer.setSingleShot(true);
  this->lagTimer.setTimerType(Qt::PreciseTimer);
  this->graceTimer.setSingleShot(true);
  QObject::connect(&this->lagTimer, &QTimer::timeout, this, &Replication::AdvanceLog);
  QObject::connect(&this->graceTimer, &QTimer::timeout, this, [this] {
    this->graceEnded = true;
    this->Evaluate();
  });
}

void Replication::Start()
{
  this->running = true;
  for (PeerLink* peer : this->peers) {
    peer->Start();
  }
  if (!this->bootstrapped) {
    this->graceTimer.start(kBootstrapGraceMs);
  }
  this->Evaluate();
  this->AdvanceLog();
}

void Replication::Stop()
{
  this->running = false;
  this->graceTimer.stop();
  this->lagTimer.stop();
  for (PeerLink* peer : this->peers) {
    peer->Stop();
  }
  this->upstream = nullptr;
  this->ForgetArriving();
}

void Replication::Evaluate()
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
    this->ForgetArriving();
  }
  this->Follow(this->BestPrimary());
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
  if (allKnown || this->graceEnded) {
    this->bootstrapped = true;
    this->context.store.Bootstrap(this->context.settings.schema);
  }
}

PeerLink* Replication::BestPrimary() const
{
  PeerLink* best = nullptr;
  for (PeerLink* peer : this->peers) {
    const PeerStatus& status = peer->Status();
    const SlotStore& store = this->context.store;
    if (!status.known || !status.primary || status.term < store.Term()) {
      continue;
    }
    if (status.term == store.Term() && status.received < store.Received()) {
      // A primary that restarted without its data and took the same term again: a copy of it would
      // erase the log here.
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
  this->accepted = false;
  this->ForgetArriving();
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
    this->accepted = true;
    store.Adopt(term);
    const auto lag = std::chrono::milliseconds(this->context.settings.applyLagMs);
    this->applying.push_back({ MonotonicNow() + lag, store.Received() });
    this->AdvanceLog();
  } else if (type == "copy") {
    this->accepted = true;
    this->applying.clear();
    store.Replace(QByteArray::fromBase64(aMessage["data"].toString().toLatin1()).toStdString(),
                  static_cast<std::uint64_t>(aMessage["position"].toInteger()),
                  static_cast<std::uint64_t>(aMessage["position_term"].toInteger()),
                  term);
  } else if (type == "record" && this->accepted) {
    const auto lag = std::chrono::milliseconds(this->context.settings.receiveLagMs);
    this->arriving.push_back({ MonotonicNow() + lag, LogRecordFromJson(aMessage) });
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
    // A promotion takes what was received; what was still arriving belongs to the old lineage.
    this->ForgetArriving();
    return;
  }
  const Instant now = MonotonicNow();
  while (!this->arriving.empty() && this->arriving.front().due <= now) {
    Arriving& next = this->arriving.front();
    const auto lag = std::chrono::milliseconds(this->context.settings.applyLagMs);
    this->applying.push_back({ next.due + lag, next.record.position });
    store.Receive(std::move(next.record));
    this->arriving.pop_front();
  }
  while (!this->applying.empty() && this->applying.front().due <= now) {
    store.ApplyUpTo(this->applying.front().position);
    this->applying.pop_front();
  }
  Instant next = Instant::max();
  if (!this->arriving.empty()) {
    next = this->arriving.front().due;
  }
  if (!this->applying.empty()) {
    next = std::min(next, this->applying.front().due);
  }
  if (next != Instant::max()) {
    this->lagTimer.start(std::chrono::ceil<std::chrono::milliseconds>(next - now));
  }
}

void Replication::ForgetArriving()
{
  this->arriving.clear();
}

} // namespace oleanderledge::stand_in
