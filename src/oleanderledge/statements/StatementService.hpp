#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/statements/StatementProtocol.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

class QObject;

namespace oleanderledge {

struct StatementServiceSettings
{
  std::string callersAddress; ///< "ip:port".
  InstanceInfo self;          ///< Of this proxy; other proxies reach it at its link address.
  /// Region of each availability zone.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  /// Time after the start of a stop from which idle sessions are closed. The load balancer has
  /// noticed by then.
  Duration closeSessionsAfter = std::chrono::milliseconds(2500);
  /// Time after the start of a stop at which open transactions end.
  Duration endTransactionsAfter = std::chrono::milliseconds(3000);
};

/// A log position that a service's primary proved to lead at. It covers every commit that was
/// acknowledged before `asOf`.
struct PrimaryPosition
{
  std::string service;
  LogPosition position;
  Instant asOf{}; ///< On the clock of this process.
};

/// Totals since the start of the statements of one priority.
struct PriorityTotals
{
  std::map<std::string, std::uint64_t, std::less<>> outcomes; ///< By name of the error, or "ok".
  LatencyHistogram latency; ///< Of successful ones, from arrival to answer.
};

/// Totals since the start.
struct StatementCounters
{
  std::size_t sessions = 0;
  std::size_t waiting = 0; ///< Statements that wait for a connection.
  std::uint64_t answered = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t relayedUses = 0; ///< Uses of connections by other proxies.
  std::map<std::uint32_t, PriorityTotals> byPriority;
};

/// Serves callers that send one statement at a time, on pooled connections to registered backend
/// servers. Lives in the thread that created it.
class StatementService
{
public:
  virtual ~StatementService() = default;

  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;
  /// Number of proxies that share the connection limits of the backend servers.
  virtual void SetProxyCount(std::uint32_t aCount) = 0;
  /// Connections to backend servers that this proxy may hold. Until granted, it uses less than an
  /// equal share.
  virtual void ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants) = 0;
  /// How the backend servers answered, and the demand since the last call.
  virtual std::vector<BackendReport> TakeBackendReports(Instant aNow) = 0;
  /// The newest position of each service that this proxy saw itself.
  virtual std::vector<PrimaryPosition> ObservedPositions() const = 0;
  /// Takes positions that other proxies saw.
  virtual void AddPeerPositions(const std::vector<PrimaryPosition>& aPositions) = 0;
  virtual StatementCounters Counters() const = 0;

  /// Starts a graceful stop.
  virtual void BeginStop() = 0;
  /// True once no session is open.
  virtual bool IsIdle() const = 0;
};

/// Opens the callers' port. Fails with ListenFailed.
Result<std::unique_ptr<StatementService>> CreateStatementService(
  std::unique_ptr<StatementProtocol> aProtocol,
  const StatementServiceSettings& aSettings);

} // namespace oleanderledge
