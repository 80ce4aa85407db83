#pragma once

#include "PeerLink.hpp"
#include "SlotContext.hpp"

#include "oleanderledge/base/base.hpp"

#include <QTimer>

#include <deque>
#include <vector>

namespace oleanderledge::stand_in {

/// Watches the peers of one slot: decides whether the slot becomes the first primary, steps down
/// from an older term, or follows a primary, and receives and applies the log with the set lags.
class Replication : public QObject
{
  Q_OBJECT

public:
  Replication(SlotContext& aContext, QObject* aParent);

  void Start();
  /// Drops all connections and everything that is not received yet.
  void Stop();

private:
  struct Arriving
  {
    Instant due;
    LogRecord record;
  };

  struct Applying
  {
    Instant due;
    std::uint64_t position;
  };

  void Evaluate();
  void TryBootstrap();
  PeerLink* BestPrimary() const;
  void Follow(PeerLink* aPrimary);
  void HandleMessage(PeerLink* aFrom, const QJsonObject& aMessage);
  void AdvanceLog();
  void ForgetArriving();

  SlotContext& context;
  std::vector<PeerLink*> peers;
  PeerLink* upstream = nullptr;
  std::uint64_t upstreamTerm = 0;
  bool accepted = false;     ///< The upstream has answered.
  bool bootstrapped = false; ///< The group is known to have a history.
  bool graceEnded = false;   ///< Peers that have not answered are taken for absent.
  bool running = false;
  std::deque<Arriving> arriving;
  std::deque<Applying> applying;
  QTimer lagTimer;
  QTimer graceTimer;
};

} // namespace oleanderledge::stand_in
