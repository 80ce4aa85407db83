/// Test fixture: a service of three registered servers with its coordinator, in simulated time.
#pragma once

#include "oleanderledge/control/ServiceCoordinator.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge::test {

using namespace std::chrono_literals;

constexpr Duration kPromotionTime = 300ms;

/// A coordinator with one service of three registered servers, proxies that report, and a log that
/// commits every proposal at once.
class ServiceFixture
{
public:
  ServiceFixture()
    : coordinator(this->state, "control-1", {})
  {
    this->coordinator.OnLeadershipGained(this->now);
    this->Register("a", true);
    this->Register("b", false);
    this->Register("c", false);
    this->RunFor(100ms);
  }

  void Register(const std::string& aName, bool aClaimsPrimary, bool aDraining = false)
  {
    BackendRow row;
    row.name = aName;
    row.service = "ledger";
    row.address = "10.0.0.1:" + aName;
    row.claimsPrimary = aClaimsPrimary;
    row.draining = aDraining;
    row.startedUnixMs = 1;
    row.sequence = ++this->sequence;
    this->coordinator.OnRegistration(row, this->now);
    const auto known = this->state.Backends().Backends().find(aName);
    if (known == this->state.Backends().Backends().end() ||
        !IsSameRegistration(known->second, row)) {
      this->Commit(UpdateBackend{ row });
    }
  }

  void Report(const std::string& aProxy, const std::string& aBackend, std::int64_t aFailingMs)
  {
    this->reports[aProxy][aBackend] = { aBackend, aFailingMs, aFailingMs == 0 ? 10 : 5000, 0 };
  }

  /// A proxy that sends heartbeats, and leaves silent replicas out as soon as they are recorded.
  void AddProxy(const std::string& aName) { this->proxies[aName] = {}; }

  /// A server ends without a word.
  void Crash(const std::string& aName)
  {
    this->live.erase(aName);
    this->received.erase(aName);
  }

  /// A server with the given log starts, at an address of its own.
  void Start(const std::string& aName, const LogPosition& aReceived)
  {
    this->live.insert(aName);
    this->received[aName] = aReceived;
    this->Register(aName, false);
  }

  /// Lets replicas confirm the commits of the service.
  void SetSyncReplicas(std::uint32_t aCount)
  {
    RouteConfiguration configuration;
    configuration.number = 1;
    configuration.services = { { "ledger", 10, aCount, 0, false } };
    this->Commit(StoreRouteConfiguration{ configuration });
  }

  /// A server deregisters and ends.
  void Leave(const std::string& aName)
  {
    this->live.erase(aName);
    this->received.erase(aName);
    this->Commit(RemoveBackend{ aName, 1 });
  }

  /// The primary "a" falls silent, and the proxy "p1" reports it, until its replacement begins.
  void LosePrimary()
  {
    this->live.erase("a");
    this->Report("p1", "a", 800);
    while (this->RecordedPrimary().phase == PrimaryPhase::Steady) {
      this->RunFor(20ms);
    }
  }

  /// The server that the platform named leads, and the servers report their roles.
  void Lead()
  {
    this->leader = std::exchange(this->named, {});
    for (const std::string& name : this->live) {
      this->Register(name, name == this->leader, this->IsDraining(name));
    }
  }

  /// Advances the time in ticks. Each live server registers once per registration interval.
  void RunFor(Duration aTime)
  {
    const Instant end = this->now + aTime;
    while (this->now < end) {
      this->now += 20ms;
      if (this->now - this->registeredAt >= 1200ms) {
        this->registeredAt = this->now;
        for (const std::string& name : this->live) {
          this->Register(name, this->leader == name, this->IsDraining(name));
        }
      }
      if (!this->named.empty() && this->now >= this->leadsAt) {
        this->Lead();
      }
      for (const auto& [proxy, byBackend] : this->reports) {
        std::vector<BackendReport> list;
        for (const auto& [name, report] : byBackend) {
          list.push_back(report);
        }
        this->coordinator.OnBackendReports(proxy, list, this->now);
      }
      this->SendHeartbeats();
      ControlActions actions;
      this->coordinator.OnTick(this->now, actions);
      this->Execute(actions);
    }
  }

  void SendHeartbeats()
  {
    std::uint64_t silentVersion = 0;
    for (const auto& [name, row] : this->state.Backends().Backends()) {
      silentVersion = std::max(silentVersion, !row.deleted && row.isSilent ? row.version : 0);
    }
    for (auto& [name, proxy] : this->proxies) {
      if (proxy.isCutOff) {
        continue;
      }
      proxy.silentVersion = proxy.isOfEarlierVersion ? 0 : silentVersion;
      this->coordinator.OnBackendReports(name, {}, this->now);
      std::vector<CommitReport> reports;
      if (proxy.silentVersion > 0) {
        reports.push_back({ "ledger", proxy.silentVersion });
      }
      this->coordinator.OnCommitReports(name, reports);
    }
  }

  void Execute(const ControlActions& aActions)
  {
    for (const ControlAction& action : aActions) {
      if (const auto* propose = std::get_if<ProposeAction>(&action)) {
        this->Commit(propose->command);
        this->coordinator.OnProposalDone(propose->key);
      } else if (const auto* query = std::get_if<QueryPositionAction>(&action)) {
        const auto known = this->received.find(query->backend.name);
        if (known != this->received.end()) {
          const bool leads = known->first == this->leader;
          this->coordinator.OnPosition(
            known->first, query->round, ServerPosition{ known->second, leads });
        } else {
          this->openQueries.push_back(*query);
        }
      } else if (const auto* promote = std::get_if<PromoteBackendAction>(&action)) {
        this->calls.push_back(*promote);
        if (this->answer == PromotionOutcome::Accepted && promote->backend != this->leader) {
          this->named = promote->backend;
          this->leadsAt = this->now + kPromotionTime;
        }
        ControlActions more;
        this->coordinator.OnPromotionAnswer(
          promote->service, promote->fence, this->answer, this->now, more);
        this->Execute(more);
      } else if (const auto* log = std::get_if<LogAction>(&action)) {
        this->logged.push_back(*log);
      }
    }
  }

  /// Rounds in which the server was asked for its position and did not answer, oldest first. The
  /// primary is also asked in order to settle the loss of others.
  std::vector<std::uint64_t> OpenRoundsOf(const std::string& aName) const
  {
    std::vector<std::uint64_t> rounds;
    for (const QueryPositionAction& query : this->openQueries) {
      if (query.backend.name == aName) {
        rounds.push_back(query.round);
      }
    }
    return rounds;
  }

  bool IsDraining(const std::string& aName) const
  {
    const BackendRow* row = this->state.Backends().Find(aName);
    return row != nullptr && row->draining;
  }

  /// Commands that a new leader proposes first, which are committed.
  std::vector<ControlCommand> TakeOver()
  {
    ServiceCoordinator successor(this->state, "control-2", {});
    successor.OnLeadershipGained(this->now);
    ControlActions actions;
    successor.OnTick(this->now, actions);
    std::vector<ControlCommand> commands;
    for (const ControlAction& action : actions) {
      if (const auto* propose = std::get_if<ProposeAction>(&action)) {
        commands.push_back(propose->command);
        this->Commit(propose->command);
      }
    }
    return commands;
  }

  void Commit(const ControlCommand& aCommand)
  {
    this->state.Apply(++this->index, EncodeCommand(aCommand));
  }

  const PrimaryRow& RecordedPrimary() const
  {
    return *this->state.Backends().FindPrimary("ledger");
  }
  std::string PrimaryName() const
  {
    const PrimaryRow* row = this->state.Backends().FindPrimary("ledger");
    return row == nullptr ? "" : row->backend;
  }

  struct Proxy
  {
    std::uint64_t silentVersion = 0;
    bool isCutOff = false;
    bool isOfEarlierVersion = false; ///< It relies on silent replicas.
  };

  ControlState state;
  ServiceCoordinator coordinator;
  Instant now{ 100s };
  Instant registeredAt{ 100s };
  std::uint64_t index = 0;
  std::uint64_t sequence = 0;
  std::set<std::string> live{ "a", "b", "c" };
  std::map<std::string, std::map<std::string, BackendReport>> reports;
  std::map<std::string, Proxy> proxies;
  std::vector<PromoteBackendAction> calls;
  std::vector<LogAction> logged;
  std::vector<QueryPositionAction> openQueries; ///< Without an answer so far.
  PromotionOutcome answer = PromotionOutcome::Accepted;
  std::string leader = "a"; ///< The primary, as the platform knows it.
  std::string named;        ///< Leads next; empty: none.
  Instant leadsAt{};
  /// Positions that servers return when queried; other servers do not answer.
  std::map<std::string, LogPosition> received{ { "b", { 1, 10 } }, { "c", { 1, 10 } } };
};

} // namespace oleanderledge::test
