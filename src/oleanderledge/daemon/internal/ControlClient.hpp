#pragma once

#include "oleanderledge/daemon/ControlContact.hpp"
#include "oleanderledge/daemon/LeaderClock.hpp"
#include "oleanderledge/statements/StatementService.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace oleanderledge {

/// What the traffic thread tells the control thread for a heartbeat.
struct TrafficState
{
  std::vector<OwnerReport> owned;
  std::vector<ClassService> service;
  std::vector<BackendReport> backends;
  std::vector<PrimaryPosition> positions;
};

/// Keeps the link to the control group in the control thread and sends heartbeats over it.
class ControlClient : public QObject
{
  Q_OBJECT

public:
  /// Asks for the present traffic state; the answer is passed to the given function in the control
  /// thread. No heartbeat is sent without it, so a traffic thread that hangs loses its leases.
  using StateRequest = std::function<void(std::function<void(TrafficState)>)>;

  ControlClient(ControlContact& aContact,
                const EmulatedLatency& aLatency,
                StateRequest aStateRequest,
                QObject* aParent);

  void Start();
  /// Sends a heartbeat now instead of at the next interval.
  void SendNow();
  /// Identity of the control instance at the other end; empty id while not connected.
  InstanceInfo Peer() const;

Q_SIGNALS:
  void DirectoryChanged();
  void ConnectionsGranted(std::vector<oleanderledge::ConnectionGrant> aGrants);
  /// Positions that other proxies saw.
  void PositionsShared(std::vector<oleanderledge::PrimaryPosition> aPositions);
  /// The leader counted the live proxies anew.
  void ProxyCountChanged(std::uint32_t aCount);
  void LeasesGranted(std::vector<oleanderledge::LeaseGrant> aLeases,
                     oleanderledge::Instant aHeartbeatSent);

private:
  void OnTimer();
  void EnsureLink();
  void DropLink();
  void SendHeartbeat(TrafficState aState);
  void HandleMessage(const Message& aMessage);
  void HandleReply(const HeartbeatReply& aReply);
  /// Those of the positions that say more than what the leader told last, on its clock.
  std::vector<PositionSample> SamplesOf(const std::vector<PrimaryPosition>& aPositions) const;

  ControlContact& contact;
  EmulatedLatency latency;
  StateRequest stateRequest;
  LinkConnection* link = nullptr;
  std::string linkAddress;
  LeaderClock leaderClock;
  /// Time of the newest position that the leader told, by service.
  std::map<std::string, Instant, std::less<>> sharedAt;
  QTimer timer;
  bool stateRequested = false;
};

} // namespace oleanderledge
