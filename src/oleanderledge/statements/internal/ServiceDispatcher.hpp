#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/PositionHistory.hpp"
#include "oleanderledge/statements/ReadPlacement.hpp"
#include "oleanderledge/statements/internal/BackendPool.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

/// What a statement or transaction needs of the connection that it runs on.
struct PlacementRequest
{
  bool needsPrimary = false;
  /// Not empty: the backend server that was chosen by the proxy that asks this one as its relay.
  std::string backend;
  /// For reads elsewhere: commits acknowledged this long before `arrivedAt` must be visible.
  Duration acceptedAge{ 0 };
  /// For reads elsewhere: a commit of the same session, which must be visible too.
  std::optional<LogPosition> ownCommit;
  Instant arrivedAt{};
  Instant giveUpAt{};
  std::uint32_t priority = 0;
  const SettingMap* settings = nullptr;        ///< Of the session.
  std::set<std::string, std::less<>> excluded; ///< Backend servers that could not run it.
};

/// A connection to run on.
struct Placement
{
  BackendPool* pool = nullptr;
  BackendConnection* connection = nullptr;
  /// True: the connection leads to the primary, which must prove by a plain BEGIN that it leads
  /// before it runs a read.
  bool onPrimary = false;
  /// Elsewhere: the position that the server's log must have.
  std::optional<LogPosition> await;
};

/// Places the statements of one service on connections to its backend servers. Waiting ones are
/// served by priority, then in order of arrival.
class ServiceDispatcher : public QObject
{
  Q_OBJECT

public:
  /// Gets a connection, or the reason why there is none.
  using Callback = std::function<void(std::optional<Placement>, StatementError)>;
  using Ticket = std::uint64_t;

  ServiceDispatcher(const StatementProtocol& aProtocol,
                    std::string aService,
                    std::string aOwnZone, ///< "region/zone".
                    RelayClient& aRelayClient,
                    QObject* aParent);

  void ApplyDirectory(const Directory& aDirectory,
                      const std::map<std::string, std::string, std::less<>>& aRegionOfZone,
                      std::uint32_t aProxyCount);

  /// A name for the next request, with which it can be cancelled.
  Ticket NewTicket() { return ++this->lastTicket; }
  /// The callback comes once, possibly before this returns, unless Cancel() comes first.
  void Request(Ticket aTicket, PlacementRequest aRequest, Callback aCallback);
  void Cancel(Ticket aTicket);

  /// The primary proved that it led when it answered a request that was sent at `aSentAt`.
  void NotePrimaryPosition(Instant aSentAt, const LogPosition& aPosition);
  /// Another proxy saw such a position.
  void AddPosition(Instant aAt, const LogPosition& aPosition);
  /// The newest position that this proxy saw itself.
  const std::optional<PositionHistory::Sample>& OwnPosition() const { return this->ownPosition; }
  /// A server answered that it does not lead.
  void NoteNotLeading(const std::string& aBackend, Instant aNow);

  void ApplyGrant(const ConnectionGrant& aGrant);
  /// True if this proxy has, or may open, connections of its own to the server.
  bool HoldsConnectionsTo(const std::string& aBackend) const;
  std::vector<BackendReport> TakeReports(Instant aNow);
  /// State of the pools, for log lines about refusals.
  std::string Describe(Instant aNow) const;
  void CloseIdle(Instant aNow);
  void CheckSilence(Instant aNow);
  std::size_t WaitingCount() const { return this->waiting.size(); }
  const std::map<std::string, BackendPool*, std::less<>>& Pools() const { return this->pools; }

private:
  struct Waiter
  {
    Ticket ticket = 0;
    PlacementRequest request;
    Callback callback;
  };
  struct Choice
  {
    BackendPool* pool = nullptr;
    Placement placement;
  };

  void SchedulePump();
  void Pump();
  void Expire();
  Choice Choose(const PlacementRequest& aRequest, Instant aNow) const;
  /// The server to treat as primary. If the one that control named denies to lead or cannot be
  /// reached, the others are tried: control may be out of contact, and a server that does not lead
  /// refuses without running anything.
  BackendPool* PrimaryPool(Instant aNow) const;
  bool MayBePrimary(const BackendPool& aPool, Instant aNow) const;
  BackendPool* PoolOfRead(const PlacementRequest& aRequest, Instant aNow) const;

  const StatementProtocol& protocol;
  std::string service;
  std::string ownZone;
  RelayClient& relayClient;
  std::map<std::string, BackendPool*, std::less<>> pools;
  std::map<std::string, ZoneDistance, std::less<>> distances;
  std::string primary;
  std::uint64_t primaryVersion = 0;
  bool isPromoting = false;
  /// Until when a server that denied to lead is not asked again.
  std::map<std::string, Instant, std::less<>> deniedUntil;
  PositionHistory positions;
  std::optional<PositionHistory::Sample> ownPosition;
  std::vector<Waiter> waiting; ///< By priority, then arrival.
  Ticket lastTicket = 0;
  bool isPumping = false;
  bool isPumpScheduled = false;
  QTimer expiryTimer;
};

} // namespace oleanderledge
