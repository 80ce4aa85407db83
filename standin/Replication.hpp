#pragma once

#include "PeerLink.hpp"
#include "SlotContext.hpp"

#include "oleanderledge/base/base.hpp"

#include <QTimer>

#include <deque>
#include <vector>

namespace oleanderledge::stand_in {

/// Monitors the peers of one slot. The initial primary bootstraps an empty group; any primary steps
/// down when a peer has a higher term, and a replica follows the primary of the highest term. As a
/// replica it receives and applies the log with the configured lags.
class Replication : public QObject
{
  Q_OBJECT

public:
  Replication(SlotContext& aContext, QObject* aParent);

  void Start();
  /// Closes all connections and discards records whose receive lag has not ended.
  void Stop();

private:
  struct DelayedRecord
  {
    Instant due;
    LogRecord record;
  };

  struct DelayedApply
  {
    Instant due;
    std::uint64_t position;
  };

  void UpdateRole();
  void TryBootstrap();
  PeerLink* FindHighestTermPrimary() const;
  void Follow(PeerLink* aPrimary);
  void HandleMessage(PeerLink* aFrom, const QJsonObject& aMessage);
  void AdvanceLog();
  void DiscardDelayedRecords();

  SlotContext& context;
  std::vector<PeerLink*> peers;
  PeerLink* upstream = nullptr;
  std::uint64_t upstreamTerm = 0;
  bool followAccepted = false; ///< The upstream has accepted the request to follow it.
  bool bootstrapped = false;   ///< The group is known to have a term or records.
  bool peerWaitEnded = false;  ///< Peers that have not reported a status are taken for absent.
  bool running = false;
  std::deque<DelayedRecord> delayedRecords;
  std::deque<DelayedApply> delayedApplies;
  QTimer lagTimer;
  QTimer peerWaitTimer;
};

} // namespace oleanderledge::stand_in
