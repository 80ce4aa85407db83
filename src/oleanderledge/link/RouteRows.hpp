#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/OrganisationRows.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

/// Which commits must be visible to a read on a route.
enum class ReadConsistency : std::uint8_t
{
  Primary = 0,          ///< All commits that were acknowledged before the read.
  BoundedStaleness = 1, ///< All commits older than the accepted age.
  ReadYourWrites = 2,   ///< All commits older than the accepted age and all of the same session.
};

/// How statements for one database name are served. `deleted` rows are tombstones.
struct RouteRow
{
  std::string name;
  std::string database; ///< Database name that callers give at start-up.
  /// Distinguishes routes of one database name. Not used for routing, as statements have no path.
  std::string pathPrefix;
  ReadConsistency consistency = ReadConsistency::Primary;
  std::uint32_t statementTimeoutMs = 0; ///< Counted from the arrival of the statement.
  std::uint32_t targetLatencyMs = 0;    ///< Target for a whole operation of a caller.
  std::uint32_t priority = 0;           ///< 0 is the most urgent.
  std::string service;
  std::uint32_t maxAttempts = 1;   ///< As configured; not used, the limit of attempts is fixed.
  std::uint32_t acceptedAgeMs = 0; ///< Oldest data that a read accepts; see ReadConsistency.
  std::uint64_t version = 0;
  bool deleted = false;
  bool isPublic = false; ///< Callers need no key.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name,
             this->database,
             this->pathPrefix,
             this->consistency,
             this->statementTimeoutMs,
             this->targetLatencyMs,
             this->priority,
             this->service,
             this->maxAttempts,
             this->acceptedAgeMs,
             this->version,
             this->deleted,
             this->isPublic);
  }
};

/// A group of one primary and its replicas. `deleted` rows are tombstones.
struct ServiceRow
{
  std::string name;
  std::uint32_t connectionLimit = 0; ///< Per backend server, for all proxies together.
  std::uint32_t syncReplicas = 0;    ///< Replicas that receive a commit before it is acknowledged.
  std::uint64_t version = 0;
  bool deleted = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name, this->connectionLimit, this->syncReplicas, this->version, this->deleted);
  }
};

/// A registered backend server. `deleted` rows are tombstones.
struct BackendRow
{
  std::string name; ///< Id that the server registered with; unique among all services.
  std::string service;
  std::string address;            ///< "ip:port".
  std::string zone;               ///< Name of the availability zone, without its region.
  std::uint32_t slots = 0;        ///< Statements that the server can run at the same time.
  bool claimsPrimary = false;     ///< The server reports that it is the primary.
  bool draining = false;          ///< The server is leaving and must get no new work.
  std::int64_t startedUnixMs = 0; ///< Distinguishes restarts of one id; 0 if not stated.
  std::uint64_t sequence = 0;     ///< Number of the newest registration that changed the row.
  std::uint64_t version = 0;
  bool deleted = false;
  /// Version in which `draining` was set in this start of the server; 0: not known.
  std::uint64_t drainingVersion = 0;
  /// Where replicas confirm commits: neither control nor a proxy has heard of this replica for
  /// long. It may go on to confirm commits, so proxies do not rely on that; see CommitWitnesses.
  bool isSilent = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name,
             this->service,
             this->address,
             this->zone,
             this->slots,
             this->claimsPrimary,
             this->draining,
             this->startedUnixMs,
             this->sequence,
             this->version,
             this->deleted,
             this->drainingVersion,
             this->isSilent);
  }
};

/// Where replicas confirm commits, a proxy commits, and confirms commits to its callers, only
/// within this time after it sent the newest heartbeat whose answer shows that the primary is not
/// being replaced. The control leader waits longer before it chooses a successor, so it need not
/// hear of a proxy that is cut off. Longer than an election of a control leader and a new link to
/// it.
constexpr Duration kCommitValidity = std::chrono::milliseconds(1300);

/// Phase of a change of the primary of a service.
enum class PrimaryPhase : std::uint8_t
{
  Steady = 0,
  Promoting = 1, ///< `backend` is chosen, and its promotion is not confirmed yet.
  /// `backend` is being replaced and its successor is not chosen yet. Proxies commit nothing more
  /// there. Used only for services whose commits wait for replicas.
  Closing = 2,
};

/// The primary of a service.
struct PrimaryRow
{
  std::string name;    ///< Name of the service.
  std::string backend; ///< Empty before the first primary was seen.
  PrimaryPhase phase = PrimaryPhase::Steady;
  /// Fencing token: log index of the decision; 0 for a primary that already was one when it was
  /// first seen.
  std::uint64_t fence = 0;
  std::string holder; ///< Control instance that performs the promotion.
  std::uint64_t version = 0;
  /// The servers that remain hold all commits that servers which left, or fell silent, up to this
  /// version confirmed.
  std::uint64_t settledVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->name,
             this->backend,
             this->phase,
             this->fence,
             this->holder,
             this->version,
             this->settledVersion);
  }
};

/// State of a backend server as one proxy observed it while running statements there.
struct BackendReport
{
  std::string backend;
  std::int64_t failingMs = 0; ///< Time since the first failure after the last success; 0: none.
  std::int64_t answeredMsAgo = -1; ///< Time since the last answer; -1: none yet.
  std::uint32_t demand = 0; ///< Peak of connections in use or waited for since the last report.
  /// Version of the row of the service's primary, if this server is named there, is being replaced
  /// and the proxy has no commit in progress and starts none; otherwise 0.
  std::uint64_t closedVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->backend, this->failingMs, this->answeredMsAgo, this->demand, this->closedVersion);
  }
};

/// How a proxy acknowledges the commits of a service for which some replica is silent.
struct CommitReport
{
  std::string service;
  /// Highest version of a silent replica's row that the proxy knows of. From then on it has
  /// acknowledged only commits that enough other servers have received.
  std::uint64_t silentVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->silentVersion);
  }
};

/// Number of connections to a backend server that a proxy may hold.
struct ConnectionGrant
{
  std::string backend;
  std::uint32_t connections = 0;
  /// Link addresses of the relays whose connections the receiver must use instead. Empty: it opens
  /// its own.
  std::vector<std::string> relays;

  bool operator==(const ConnectionGrant&) const = default;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->backend, this->connections, this->relays);
  }
};

/// Routes, services and organisations as set by one change of the operator.
struct RouteConfiguration
{
  std::uint64_t number = 0; ///< Version that the operator gave it; the highest one is in force.
  std::vector<RouteRow> routes;
  std::vector<ServiceRow> services;
  std::uint32_t transactionIdleMs = 0; ///< A transaction idle for longer may be ended; 0: no limit.
  std::string document;                ///< Text that the operator sent, returned on request.
  /// False: callers need no key, and `organisations` is empty.
  bool usesOrganisations = false;
  std::vector<OrganisationRow> organisations;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->number,
             this->routes,
             this->services,
             this->transactionIdleMs,
             this->document,
             this->usesOrganisations,
             this->organisations);
  }
};

} // namespace oleanderledge
