#pragma once

#include "oleanderledge/owner/internal/BackendSocket.hpp"
#include "oleanderledge/owner/internal/UnitExecution.hpp"

#include <QObject>
#include <QTimer>

#include <deque>
#include <optional>
#include <string>

namespace oleanderledge {

/// Queries the status of one slot (role, term, positions) periodically. Uses a connection of its
/// own, which it reopens after a loss.
class BackendMonitor : public QObject
{
  Q_OBJECT

public:
  BackendMonitor(std::string aSlot,
                 BackendEndpoint aEndpoint,
                 Duration aInterval,
                 QObject* aParent);

  /// Changes the interval. A shorter one sends a query at once.
  void SetInterval(Duration aInterval);

  const std::string& Address() const { return this->endpoint.address; }

Q_SIGNALS:
  void StatusReceived(const oleanderledge::SlotStatus& aStatus);
  /// The connection was lost, could not be opened, or timed out.
  void Unreachable();

private:
  void Open();
  void SendStatusQuery();
  void HandleMessage(const std::string& aMessage);
  void HandleClosed();

  std::string slot;
  BackendEndpoint endpoint;
  Duration interval;
  QTimer timer;
  BackendSocket* socket = nullptr;
  std::deque<Instant> pendingQueries; ///< Sending times of queries that are not yet answered.
  std::optional<SlotStatus> status;   ///< From the row of the answer in progress.
};

} // namespace oleanderledge
