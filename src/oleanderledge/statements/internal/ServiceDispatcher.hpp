#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/CommitGate.hpp"
#include "oleanderledge/statements/CommitWitnesses.hpp"
#include "oleanderledge/statements/PositionHistory.hpp"
#include "oleanderledge/statements/ReadPlacement.hpp"
#include "oleanderledge/statements/StatementService.hpp"
#include "oleanderledge/statements/WaitForecast.hpp"
#include "oleanderledge/statements/internal/BackendPool.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace oleanderledge {

/// Requirements of a statement or transaction on its connection.
struct PlacementRequest
{
  bool needsPrimary = false;
  /// Set in requests of other proxies that use this one as their relay: the required backend
  /// server.
  std::string backend;
  /// For reads that may run on a replica: all commits acknowledged at least this long before
  /// `arrivedAt` must be visible.
  Duration acceptedAge{ 0 };
  /// For reads that may run on a replica: a commit of the same session that must be visible too.
  std::optional<LogPosition> ownCommit;
  Instant arrivedAt{};
  Instant deadline{};                   ///< The request fails if it has no connection by then.
  std::uint32_t priority = 0;           ///< 0 is the most urgent.
  const SettingMap* settings = nullptr; ///< Of the session; outlives the request.
  std::string organisation;             ///< Of the caller; empty: none.
  /// Backend servers that failed to execute it. Reads on replicas avoid them; the choice of the
  /// primary ignores them.
  std::set<std::string, std::less<>> excluded;
};

/// A connection for a statement or transaction, borrowed from its pool.
struct Placement
{
  BackendPool* pool = nullptr;
  BackendConnection* connection = nullptr;
  /// True for a connection to the primary. A read on it must follow a plain BEGIN, which a server
  /// that is no longer primary rejects.
  bool onPrimary = false;
  /// For a replica: the position that its log must contain.
  std::optional<LogPosition> await;
};

/// Why a request got no connection.
struct PlacementRefusal
{
  StatementError error = StatementError::Overloaded;
  /// Time after which to send it again; nothing if it is not known.
  std::optional<Duration> retryAfter;
};

/// Assigns statements of one service to connections to its backend servers. Waiting statements are
/// served by priority, then in order of arrival.
class ServiceDispatcher
  : public QObject
  , private WitnessProbe
{
  Q_OBJECT

public:
  /// Receives a connection, or std::nullopt and the reason: Unavailable, at once, if no server may
  /// be given new work; Unavailable if the request needs the primary and no server can be used as
  /// primary, or if the backend server that it names is failing; otherwise Overloaded, at once if
  /// the forecast wait ends after the deadline of the request.
  using Callback = std::function<void(std::optional<Placement>, const PlacementRefusal&)>;
  using Ticket = std::uint64_t;
  /// Exists while a commit is in progress.
  struct CommitToken
  {
    std::shared_ptr<const void> marker;
    std::uint64_t fence = 0; ///< See CommitGate::Fence().
  };

  ServiceDispatcher(const StatementProtocol& aProtocol,
                    std::string aService,
                    std::string aOwnZone, ///< "region/zone".
                    RelayClient& aRelayClient,
                    bool aPacesStarts, ///< See StatementServiceSettings.
                    QObject* aParent);

  /// Whether commits may be sent, and their confirmations passed on.
  const CommitGate& Commits() const { return this->commits; }
  CommitToken BeginCommit() const { return { this->commitMarker, this->commits.Fence() }; }
  /// True if a commit may be acknowledged only after AwaitWitnesses().
  bool NeedsWitnesses() const { return this->witnesses.IsRequired(); }
  /// Calls back once enough servers have received a commit that `aExecutedBy` confirmed.
  void AwaitWitnesses(const LogPosition& aPosition,
                      const std::string& aExecutedBy,
                      const CommitWitnesses::Owner& aOwner,
                      CommitWitnesses::Callback aDone);
  /// Nothing if no replica that may confirm commits is silent.
  std::optional<CommitReport> ReportCommits() const;
  /// See StatementService::SetDirectoryCurrentAt().
  void SetDirectoryCurrentAt(Instant aHeartbeatSent);

  void ApplyDirectory(const Directory& aDirectory,
                      const std::map<std::string, std::string, std::less<>>& aRegionOfZone,
                      std::uint32_t aProxyCount,
                      const DrainDeadlineMap& aDrainDeadlines);

  /// Returns an identifier for the next request, with which it can be cancelled.
  Ticket NewTicket() { return ++this->lastTicket; }
  /// Calls back exactly once, possibly before it returns, unless the request is cancelled first.
  void RequestConnection(Ticket aTicket, PlacementRequest aRequest, Callback aCallback);
  void Cancel(Ticket aTicket);

  /// Records a position from the answer to a request sent at `aSentAt`, with which the server was
  /// confirmed as primary.
  void RecordPrimaryPosition(Instant aSentAt, const LogPosition& aPosition);
  /// Adds such a position that another proxy received.
  void AddPeerPosition(Instant aAsOf, const LogPosition& aPosition);
  /// The newest position that this proxy received itself.
  const std::optional<PositionHistory::Sample>& ObservedPosition() const
  {
    return this->observedPosition;
  }
  /// Records that a server rejected a statement because it is not the primary.
  void RecordNotPrimary(const std::string& aBackend, Instant aNow);

  void ApplyGrant(const ConnectionGrant& aGrant);
  /// True if this proxy has, or may open, direct connections to the server.
  bool HoldsConnectionsTo(const std::string& aBackend) const;
  /// See StatementService::TakeBackendReports().
  std::vector<BackendReport> TakeReports(Instant aNow);
  /// State of the pools, for log lines about rejected statements.
  std::string DescribePools(Instant aNow) const;
  /// Closes connections that have been idle for long.
  void CloseIdle(Instant aNow);
  /// Marks servers as failing that do not answer.
  void CheckUnresponsive(Instant aNow);
  std::size_t WaitingCount() const { return this->waiting.size(); }
  /// Connections to draining servers that were given to statements and transactions.
  std::uint64_t DrainingUseCount() const { return this->drainingUseCount; }
  const std::map<std::string, BackendPool*, std::less<>>& Pools() const { return this->pools; }

private:
  /// Opens connections for the requests that no connection is idle or being opened for, as far as
  /// allowed.
  static void OpenMissing(BackendPool& aPool,
                          std::span<const ConnectionRequest> aRequests,
                          Instant aNow);
  /// True if the idle connections of a full pool are to be closed for `aRequests` of other
  /// organisations that are served before this one.
  static bool IsReserved(const BackendPool& aPool,
                         std::span<const ConnectionRequest> aRequests,
                         const PlacementRequest& aRequest,
                         Instant aNow);
  /// If every server of the service has just started, as after a power loss, there is no other one
  /// to use: lifts the limits of those that have answered.
  void LiftPacesOfNewService(Instant aNow);
  /// Requires witnesses if a replica that may confirm commits is silent.
  void UpdateWitnesses(const Directory& aDirectory, std::uint32_t aSyncReplicas);
  void AskWitness(const std::string& aServer,
                  const LogPosition& aPosition,
                  WitnessProbe::Callback aCallback) override;
  /// Asks witnesses again, and gives up on those that do not answer.
  void CheckWitnesses();
  /// Treats servers that a complete directory does not name any more as departed.
  void RetireForgottenPools(const Directory& aDirectory);

  struct WaitingRequest
  {
    Ticket ticket = 0;
    PlacementRequest request;
    Callback callback;
  };
  /// A question to a witness that is not answered yet.
  struct WitnessQuery
  {
    Placement placement;
    Instant sentAt{};
    WitnessProbe::Callback done;
  };
  struct Choice
  {
    BackendPool* pool = nullptr;
    Placement placement;
  };

  /// Calls DispatchWaiting() from the event loop.
  void ScheduleDispatch();
  /// Gives connections to waiting requests and opens connections for the others. Refuses those that
  /// no server may be given.
  void DispatchWaiting();
  /// Removes and returns a waiting request.
  WaitingRequest TakeWaiting(std::size_t aIndex);
  /// Fails waiting requests whose deadline has passed, and dispatches the others.
  void ExpireWaiting();
  /// False if every server that the request could use has left or may not be given new work.
  bool HasServerFor(const PlacementRequest& aRequest, Instant aNow) const;
  Choice ChoosePool(const PlacementRequest& aRequest, Instant aNow) const;
  /// The reason to refuse a request at its arrival, because it would wait beyond its deadline.
  std::optional<PlacementRefusal> ForecastRefusal(const PlacementRequest& aRequest, Instant aNow);
  /// Number of waiting requests that are served before a new one.
  std::size_t CountAhead(const PlacementRequest& aRequest) const;
  void UpdateForecasts(Instant aNow);
  /// Counts a use of a draining server, and logs the first one of each drain.
  void RecordDrainingUse(const BackendPool& aPool);
  /// Pool of the server to treat as primary; null if there is none. If the one named by the control
  /// plane is not primary any more or cannot be reached, the others are tried: this proxy may be
  /// cut off from the control plane, and a server that is not primary rejects statements
  /// unexecuted.
  BackendPool* PrimaryPool(Instant aNow) const;
  bool IsPrimaryCandidate(const BackendPool& aPool, Instant aNow) const;
  /// Pool of the replica for a read that requires a position; null if none can take it now.
  BackendPool* ChooseReadPool(const PlacementRequest& aRequest,
                              const LogPosition& aRequired,
                              Instant aNow) const;

  const StatementProtocol& protocol;
  std::string service;
  std::string ownZone;
  RelayClient& relayClient;
  bool pacesStarts;
  std::map<std::string, BackendPool*, std::less<>> pools;
  std::map<std::string, ZoneDistance, std::less<>> distances;
  std::string primary;
  std::uint64_t primaryVersion = 0;
  CommitGate commits;
  CommitWitnesses witnesses{ *this };
  std::uint64_t silentVersion = 0; ///< See CommitReport; 0: no replica is silent.
  std::map<std::string, WitnessQuery> witnessQueries; ///< By server.
  QTimer witnessTimer;
  SettingMap noSettings;
  /// Shared by the tokens of all commits.
  std::shared_ptr<const void> commitMarker = std::make_shared<int>(0);
  /// Servers that are not tried as primary, and until when.
  std::map<std::string, Instant, std::less<>> notPrimaryUntil;
  PositionHistory positions;
  std::optional<PositionHistory::Sample> observedPosition;
  /// Start times of the draining servers whose use was logged.
  std::map<std::string, std::int64_t, std::less<>> loggedDrains;
  std::uint64_t drainingUseCount = 0;
  std::vector<WaitingRequest> waiting; ///< By priority, then arrival.
  /// Of requests that need the primary, and of all requests of this proxy's callers.
  WaitForecast primaryForecast;
  WaitForecast forecast;
  Ticket lastTicket = 0;
  bool isDispatching = false;
  bool isDispatchScheduled = false;
  QTimer expiryTimer;
};

} // namespace oleanderledge
