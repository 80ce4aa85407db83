#pragma once

#include "oleanderledge/link/RouteRows.hpp"
#include "oleanderledge/statements/BackendHealth.hpp"
#include "oleanderledge/statements/BackendPace.hpp"
#include "oleanderledge/statements/ConcurrencyWindow.hpp"
#include "oleanderledge/statements/internal/BackendConnection.hpp"
#include "oleanderledge/statements/internal/RelayClient.hpp"

#include <QObject>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The waiting statement for which a connection is opened. A relay queues by these values.
struct ConnectionRequest
{
  std::uint32_t priority = 0; ///< 0 is the most urgent.
  Instant arrivedAt{};
  Instant deadline{};
  SettingMap settings;      ///< Of the session.
  std::string organisation; ///< Of the session; empty: none.
};

/// Connections to one backend server: direct ones of this proxy, or borrowed ones of relays.
class BackendPool : public QObject
{
  Q_OBJECT

public:
  /// `aPacesStarts`: statements at a server that has started or recovered are limited.
  BackendPool(const StatementProtocol& aProtocol,
              const BackendRow& aRow,
              RelayClient& aRelayClient,
              bool aPacesStarts,
              QObject* aParent);

  /// Applies a newer row. Resets the health and drops the idle connections if the server has
  /// another address or was restarted.
  void Update(const BackendRow& aRow);
  /// Sets the number of connections that this proxy may hold until the first grant.
  void SetProvisionalLimit(std::uint32_t aLimit);
  /// Sets the number of connections that this proxy may hold, or the relays to use instead. Surplus
  /// connections are closed as soon as they are idle.
  void ApplyGrant(const ConnectionGrant& aGrant);
  /// True if statements are executed on connections of relays.
  bool IsRelayed() const { return !this->relays.empty(); }
  /// Returns borrowed connections that no statement uses to their relays.
  void ReleaseIdleRelayed();
  /// Records the number of connections that are in use or requested.
  void RecordDemand(std::size_t aConnections);
  /// Returns the peak demand since the last call, and resets it to the connections in use. Returns
  /// 0 if IsRelayed(), as the relays report the demand.
  std::uint32_t TakePeakDemand();

  /// Sets until when the server may be given new work while it drains.
  void SetDrainDeadline(Instant aDeadline) { this->drainDeadline = aDeadline; }
  /// False if the server has left, or drains and its drain deadline has passed.
  bool AcceptsNewWork(Instant aNow) const
  {
    return !this->row.deleted && (!this->row.draining || aNow < this->drainDeadline);
  }

  const BackendRow& Row() const { return this->row; }
  const BackendHealth& Health() const { return this->health; }

  std::size_t IdleCount() const { return this->idle.size(); }
  std::uint32_t Limit() const { return this->limit; }
  /// Number of idle connections that were opened for this organisation.
  std::size_t IdleCountFor(std::string_view aOrganisation) const;
  /// True if another connection may be opened now, by limit and backoff. An idle connection of
  /// another organisation counts as room, as Open() closes it. If IsRelayed(), a relay must be
  /// ready too.
  bool CanOpen(Instant aNow) const;
  /// Number of connections that are being opened for this organisation.
  std::size_t OpeningCountFor(std::string_view aOrganisation) const;
  std::size_t OpeningCount() const { return this->openingCount; }
  /// Age of the oldest connection attempt that is still pending; zero if there is none.
  Duration OpeningDuration(Instant aNow) const;
  /// Connections that are held for statements and transactions.
  std::size_t InUse() const
  {
    return this->connections.size() - this->openingCount - this->idle.size();
  }
  std::size_t ConnectionCount() const { return this->connections.size(); }
  std::uint64_t OpenedCount() const { return this->openedCount; }

  /// Starts to open a connection. Changed() follows. If the limit is reached, the idle connection
  /// that was used least recently is closed first.
  void Open(const ConnectionRequest& aRequest);
  /// Removes and returns an idle connection of the organisation, preferably one with these settings
  /// in force; null if none is idle.
  BackendConnection* Take(const SettingMap& aSettings, std::string_view aOrganisation);
  /// Returns a connection to the pool. A transaction on it is rolled back first.
  void Release(BackendConnection* aConnection, bool aInTransaction);
  /// Returns a busy connection to the pool once its statement has ended. Used if nobody waits for
  /// the result any more.
  void ReleaseAfterStatement(BackendConnection* aConnection);
  /// Closes a connection and removes it from the pool. `aIsFailure` marks the server as failing.
  void Drop(BackendConnection* aConnection, bool aIsFailure);
  /// Updates health and concurrency limit with the result of a statement of this proxy's callers.
  /// `aRequired` is the position that the server's log had to contain, if any.
  void RecordResult(const StatementResult& aResult,
                    const std::optional<LogPosition>& aRequired,
                    Instant aNow);
  /// The same for a request of another proxy, which itself observes whether the server lags. Its
  /// duration does not enter the average answer time, as the request may be a preparatory one, such
  /// as SET or BEGIN.
  void RecordRelayedResult(const StatementResult& aResult, Instant aNow);
  /// False if the concurrency limit does not allow another statement at the server. Relays apply
  /// their own limit.
  bool HasCapacityFor(std::uint32_t aPriority) const
  {
    return this->IsRelayed() || this->window.Allows(this->InUse(), aPriority);
  }
  /// Starts to limit the statements at the server, which has started or recovered, if asked for. If
  /// IsRelayed(), this only records the start, as relays apply their own limit.
  void StartPace(Instant aNow);
  bool IsPaced() const { return !this->row.deleted && this->pace.IsActive(); }
  /// True if the server has given an answer since its start that was not slow.
  bool HasGoodAnswer() const { return this->pace.HasGoodAnswer(); }
  /// Ends the limit because the service has no other server.
  void LiftPace(Instant aNow);
  /// Ends the limit if its time is over.
  void CheckPaceTime(Instant aNow);
  /// False if the limit does not allow another statement besides those in use and those that wait
  /// for a connection.
  bool PaceAllows(std::uint32_t aPriority, Instant aNow) const
  {
    return this->IsRelayed() ||
           this->pace.Allows(this->InUse() + this->awaitedCount, aPriority, aNow);
  }
  /// Counts a statement for which a connection is being opened, or will be, since the last
  /// ResetAwaited().
  void AddAwaited() { ++this->awaitedCount; }
  void ResetAwaited() { this->awaitedCount = 0; }
  /// Records that the server's log contained the position that a read required.
  void RecordPosition(const LogPosition& aPosition) { this->health.OnPosition(aPosition); }
  /// Marks the server as failing, and returns true, if it has answered none of its pending
  /// statements for long.
  bool CheckUnresponsive(Instant aNow);
  /// Closes connections that have been idle for long, but for one, and idle ones beyond the limit.
  void CloseIdle(Instant aNow);
  void CloseAllIdle();

Q_SIGNALS:
  /// A connection became idle or was closed, so that waiting statements may be placed.
  void Changed();

private:
  BackendConnection* NewConnection(const ConnectionRequest& aRequest);
  void HandleClosed(BackendConnection* aConnection);
  void RemoveConnection(BackendConnection* aConnection);
  /// Records a response of the server, which may end a failure.
  void RecordResponse(Instant aNow);
  void LogPaceEnd(std::string_view aReason, Instant aNow);

  const StatementProtocol& protocol;
  RelayClient& relayClient;
  BackendRow row;
  Instant drainDeadline{};
  std::vector<std::string> relays; ///< Link addresses; empty if connections are direct.
  BackendHealth health;
  ConcurrencyWindow window;
  bool pacesStarts;
  BackendPace pace;
  std::optional<Instant> paceLoggedAt;
  std::size_t awaitedCount = 0;
  std::vector<BackendConnection*> connections;
  std::vector<BackendConnection*> idle;
  std::size_t openingCount = 0;
  std::uint32_t limit = 1;
  bool isGranted = false;
  std::uint32_t demand = 0;
  std::uint64_t openedCount = 0;
  Instant connectionLimitPauseEnd{};
};

} // namespace oleanderledge
