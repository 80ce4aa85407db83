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

/// State of the traffic thread that a heartbeat reports.
struct TrafficState
{
  std::vector<OwnerReport> owned;
  std::vector<ClassService> service;
  std::vector<BackendReport> backends;
  std::vector<CommitReport> commits;
  std::vector<PrimaryPosition> positions;
  std::vector<OperationCount> operationCounts;
  std::uint64_t quotaNumber = 0; ///< See Heartbeat::quotaNumber.
};

/// Maintains the link to the control group and sends heartbeats over it. Lives in the control
/// thread.
class ControlClient : public QObject
{
  Q_OBJECT

public:
  /// Requests the current traffic state; the given function is called with it in the control
  /// thread. No heartbeat is sent until then, so the leases of a traffic thread that hangs expire.
  using StateRequest = std::function<void(std::function<void(TrafficState)>)>;

  ControlClient(ControlContact& aContact,
                const EmulatedLatency& aLatency,
                StateRequest aStateRequest,
                QObject* aParent);

  void Start();
  /// Sends a heartbeat now instead of at the next interval.
  void SendNow();
  /// Sends a request for tokens at once, with the identity of this proxy. It is dropped while there
  /// is no connection.
  void SendTokenRequest(TokenRequest aRequest);
  /// The connected control instance; its id is empty while there is no connection.
  InstanceInfo Peer() const;

Q_SIGNALS:
  void DirectoryChanged();
  void ReplyAccepted(const oleanderledge::HeartbeatReply& aReply);
  void ConnectionsGranted(std::vector<oleanderledge::ConnectionGrant> aGrants);
  /// Positions that other proxies observed.
  void PositionsShared(std::vector<oleanderledge::PrimaryPosition> aPositions);
  /// The number of live proxies that the leader reports has changed.
  void ProxyCountChanged(std::uint32_t aCount);
  void TokensAnswered(const oleanderledge::TokenReply& aReply);
  /// Standing shares that the leader of a term changed; those that it granted before are renewed.
  void SharesConfirmed(std::uint64_t aTerm,
                       std::vector<oleanderledge::QuotaShare> aChanged,
                       oleanderledge::Instant aHeartbeatSent);
  /// The leases count from `aHeartbeatSent`.
  void LeasesGranted(std::vector<oleanderledge::LeaseGrant> aLeases,
                     oleanderledge::Instant aHeartbeatSent);

private:
  void OnTimer();
  void EnsureLink();
  void DropLink();
  void SendHeartbeat(TrafficState aState);
  void HandleMessage(const Message& aMessage);
  void HandleReply(const HeartbeatReply& aReply);
  /// Selects the positions that are newer than those that the leader shared last, with times on the
  /// clock of the leader.
  std::vector<PositionSample> SelectNewerPositions(
    const std::vector<PrimaryPosition>& aPositions) const;

  ControlContact& contact;
  EmulatedLatency latency;
  StateRequest stateRequest;
  LinkConnection* link = nullptr;
  std::string linkAddress;
  LeaderClock leaderClock;
  /// Time of the position that the leader shared last, by service.
  std::map<std::string, Instant, std::less<>> lastSharedAt;
  QTimer timer;
  bool stateRequested = false;
};

} // namespace oleanderledge
