#pragma once

#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/metrics/metrics.hpp"
#include "oleanderledge/statements/OperationAdmission.hpp"
#include "oleanderledge/statements/StatementProtocol.hpp"
#include "oleanderledge/transport/LinkLimits.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

class QObject;

namespace oleanderledge {

struct StatementServiceSettings
{
  std::string callersAddress; ///< Address to listen on for callers, "ip:port".
  InstanceInfo self; ///< This proxy; it accepts links of other proxies at its link address.
  /// Region of each availability zone.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  /// Time for which keys of callers are trusted after the directory was known to be current; zero:
  /// no limit. See KeyGate.
  Duration keyValidity{ 0 };
  /// Admits operations of organisations with a limited rate; null: nothing is limited. Must outlive
  /// the service.
  OperationAdmission* admission = nullptr;
  /// Whether the statements at a backend server that has started or recovered are limited; see
  /// BackendPace.
  bool pacesStarts = false;
  LinkLimits linkLimits; ///< Limits on the links of other proxies.
  /// Delay between the start of a graceful stop and the closing of idle sessions and of the
  /// listening socket for callers. The load balancer has to detect the stop first.
  Duration closeIdleSessionsAfter = std::chrono::milliseconds(2500);
  /// Delay between the start of a graceful stop and the abort of open transactions. From then on
  /// new statements are refused.
  Duration abortTransactionsAfter = std::chrono::milliseconds(3000);
  /// Delay between the start of a graceful stop and the answer to statements whose backend server
  /// has not answered yet.
  Duration answerUnfinishedAfter = std::chrono::milliseconds(5300);
  ClientLimits clientLimits;
  /// Shared with the other ports of the process; null: one with default limits.
  std::shared_ptr<ResourceBudget> budget;
};

/// Log position of a service's primary at a time when it was confirmed as primary. It covers every
/// commit that was acknowledged before `asOf`.
struct PrimaryPosition
{
  std::string service;
  LogPosition position;
  Instant asOf{}; ///< Monotonic clock of this process.
};

/// By backend server: until when a draining one may be given new work. One that is missing may not.
using DrainDeadlineMap = std::map<std::string, Instant, std::less<>>;

/// Totals of the statements of one priority since the start of the process.
struct PriorityTotals
{
  std::map<std::string, std::uint64_t, std::less<>> outcomes; ///< By error name, or "ok".
  LatencyHistogram latency; ///< Of successful statements, from arrival to answer.
};

/// Current gauges, and totals since the start of the process.
struct StatementCounters
{
  std::size_t sessions = 0;
  std::size_t waiting = 0; ///< Statements that wait for a connection to a backend server.
  std::uint64_t answered = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t relayedUses = 0;  ///< Times that another proxy borrowed a connection.
  std::uint64_t drainingUses = 0; ///< Times that a statement or transaction got a draining server.
  std::size_t pacedBackends = 0;  ///< Backend servers whose statements are limited by BackendPace.
  std::map<std::uint32_t, PriorityTotals> byPriority;
  /// Connections of clients of all ports that were closed or refused because of a limit.
  std::map<ClosingReason, std::uint64_t> clientsClosed;
  std::uint64_t clientBytes = 0;       ///< Held for clients of all ports.
  std::uint64_t clientConnections = 0; ///< Of all ports.
};

/// Executes the statements of callers on pooled connections to registered backend servers. Callers
/// send one statement at a time. Not thread-safe; used only from the thread that created it.
class StatementService
{
public:
  virtual ~StatementService() = default;

  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;
  /// Sets the deadlines of draining backend servers, from the next directory on.
  virtual void SetDrainDeadlines(const DrainDeadlineMap& aDeadlines) = 0;
  /// The directory that was applied last was current when a heartbeat of this time was sent.
  /// Extends the time in which commits are allowed that replicas confirm (see kCommitValidity), and
  /// in which keys are trusted (see KeyGate).
  virtual void SetDirectoryCurrentAt(Instant aHeartbeatSent) = 0;
  /// Sets the number of proxies that share the connection limits of the backend servers.
  virtual void SetProxyCount(std::uint32_t aCount) = 0;
  /// Sets the connections to backend servers that this proxy may hold. Without a grant it limits
  /// itself to half of an equal share.
  virtual void ApplyConnectionGrants(const std::vector<ConnectionGrant>& aGrants) = 0;
  /// Returns the state of each backend server as observed by this proxy, and the peak demand for
  /// connections since the last call, which is reset.
  virtual std::vector<BackendReport> TakeBackendReports(Instant aNow) = 0;
  /// How this process acknowledges commits, for each service for which a replica is silent.
  virtual std::vector<CommitReport> ReportCommits() const = 0;
  /// The newest position of each service that this proxy received from the primary itself.
  virtual std::vector<PrimaryPosition> ObservedPositions() const = 0;
  /// Adds positions that other proxies received.
  virtual void AddPeerPositions(const std::vector<PrimaryPosition>& aPositions) = 0;
  virtual StatementCounters Counters() const = 0;

  /// Starts a graceful stop; see StatementServiceSettings for its steps.
  virtual void BeginStop() = 0;
  /// True if no session is open and no other proxy uses a connection of this one.
  virtual bool IsIdle() const = 0;
};

/// Starts to listen for callers and for links of other proxies. Fails with ListenFailed.
Result<std::unique_ptr<StatementService>> CreateStatementService(
  std::unique_ptr<StatementProtocol> aProtocol,
  const StatementServiceSettings& aSettings);

} // namespace oleanderledge
