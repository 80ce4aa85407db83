#pragma once

#include "oleanderledge/owner/internal/BackendSocket.hpp"
#include "oleanderledge/owner/internal/UnitExecution.hpp"

#include <QObject>
#include <QTimer>

#include <deque>
#include <optional>
#include <string>

namespace oleanderledge {

/// Asks one slot for its role and positions at an interval, over a connection of its own that it
/// reopens when it is lost.
class BackendMonitor : public QObject
{
  Q_OBJECT

public:
  BackendMonitor(std::string aSlot,
                 BackendEndpoint aEndpoint,
                 Duration aInterval,
                 QObject* aParent);

  /// Changes the interval; a shorter one asks at once.
  void SetInterval(Duration aInterval);

  const std::string& Address() const { return this->endpoint.address; }

Q_SIGNALS:
  void StatusReceived(const oleanderledge::SlotStatus& aStatus);
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
  std::deque<Instant> pendingQueries; ///< When each unanswered question was sent.
  std::optional<SlotStatus> status;
};

} // namespace oleanderledge
