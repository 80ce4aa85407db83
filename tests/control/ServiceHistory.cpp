#include "tests/control/ServiceHistory.hpp"

#include <algorithm>

namespace oleanderledge::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 20ms;
constexpr Duration kHeartbeatInterval = 200ms;
constexpr Duration kRegistrationInterval = 1200ms;
constexpr Duration kStatementTimeout = 800ms;
constexpr Duration kPromotionTime = 300ms;

std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

ServiceHistory::ServiceHistory(std::uint32_t aSeed, std::uint32_t aSyncReplicas, int aServers)
  : random(aSeed)
  , syncReplicas(aSyncReplicas)
{
  RouteConfiguration configuration;
  configuration.number = 1;
  configuration.services = { { "ledger", 10, aSyncReplicas, 0, false } };
  this->Commit(StoreRouteConfiguration{ configuration });
  for (Proxy& proxy : this->proxies) {
    proxy.gate.SetSynchronous(true);
  }
  for (; this->serverCount < aServers; ++this->serverCount) {
    const std::string name(1, static_cast<char>('a' + this->serverCount));
    this->servers[name].address = "address-" + name;
  }
  this->primary = "a";
  this->ElectLeader();
  this->RunFor(2s);
}

Duration ServiceHistory::Draw(int aShortestMs, int aLongestMs)
{
  return std::chrono::milliseconds(
    std::uniform_int_distribution<int>(aShortestMs, aLongestMs)(this->random));
}

std::string ServiceHistory::ServerAt(int aNumber) const
{
  std::vector<std::string> present;
  for (const auto& [name, server] : this->servers) {
    if (!server.hasLeft) {
      present.push_back(name);
    }
  }
  return present.empty() ? "" : present[static_cast<std::size_t>(aNumber) % present.size()];
}

void ServiceHistory::Inject(ServiceFault aFault, int aTarget)
{
  const std::string name =
    aFault == ServiceFault::PrimaryDrains ? this->primary : this->ServerAt(aTarget);
  if (name.empty() || this->servers[name].hasLeft) {
    return;
  }
  Server& server = this->servers[name];
  Proxy& proxy = this->proxies[static_cast<std::size_t>(aTarget) % this->proxies.size()];
  switch (aFault) {
    case ServiceFault::ServerSilent:
      server.isSilent = true;
      server.silentSince = this->now;
      this->Schedule(this->Draw(300, 3000), [&server] { server.isSilent = false; });
      return;
    case ServiceFault::ServerSilentLong:
      server.isSilent = true;
      server.silentSince = this->now;
      this->Schedule(this->Draw(3000, 12000), [&server] { server.isSilent = false; });
      return;
    case ServiceFault::ServerCrash:
      if (server.isRunning) {
        server.isRunning = false;
        server.silentSince = this->now;
        this->Schedule(this->Draw(500, 4000), [this, &server] {
          server.isRunning = !server.hasLeft;
          ++server.startedUnixMs;
          server.registersAt = this->now;
        });
      }
      return;
    case ServiceFault::ReplicaDeaf:
      server.isDeaf = true;
      this->Schedule(this->Draw(1000, 8000), [&server] { server.isDeaf = false; });
      return;
    case ServiceFault::ProxyCutOff:
      proxy.isCutOff = true;
      this->Schedule(this->Draw(500, 6000), [&proxy] { proxy.isCutOff = false; });
      return;
    case ServiceFault::ProxySuspended:
      proxy.suspendedUntil = this->now + this->Draw(300, 3000);
      return;
    case ServiceFault::LeaderLost:
      if (this->leader != nullptr) {
        this->leader.reset();
        this->Schedule(this->Draw(100, 800), [this] { this->ElectLeader(); });
      }
      return;
    case ServiceFault::PrimaryDrains:
    case ServiceFault::ServerDrains:
      if (server.isRunning && !server.isDraining) {
        server.isDraining = true;
        server.registersAt = this->now;
        this->Schedule(this->Draw(2000, 8000), [this, name] { this->Leave(name); });
      }
      return;
    case ServiceFault::PromotionLate:
      this->promotionDelay = this->Draw(500, 3000);
      return;
    case ServiceFault::ProxyKilled:
      this->KillProxy(static_cast<std::size_t>(aTarget) % this->proxies.size());
      return;
    case ServiceFault::ServerGone:
      this->EndForGood(name);
  }
}

std::string ServiceHistory::AnyReplica() const
{
  for (const auto& [name, server] : this->servers) {
    if (name != this->primary && server.isRunning) {
      return name;
    }
  }
  return "";
}

void ServiceHistory::EndForGood(const std::string& aName)
{
  Server& server = this->servers[aName];
  server.isRunning = false;
  server.hasLeft = true;
  server.silentSince = this->now;
  this->Schedule(this->Draw(200, 3000), [this] {
    const std::string successor = "s" + std::to_string(++this->serverCount);
    this->servers[successor].address = "address-" + successor;
  });
}

void ServiceHistory::KillProxy(std::size_t aProxy)
{
  Proxy& proxy = this->proxies[aProxy];
  if (!proxy.isRunning) {
    return;
  }
  const int starts = proxy.starts;
  proxy = Proxy{};
  proxy.gate.SetSynchronous(true);
  proxy.starts = starts + 1;
  proxy.isRunning = false;
  this->Schedule(this->Draw(100, 3000), [&proxy] { proxy.isRunning = true; });
}

void ServiceHistory::UseDirectory(Proxy& aProxy,
                                  const std::map<std::string, BackendRow, std::less<>>& aRows)
{
  aProxy.silentVersion = 0;
  aProxy.witnesses.clear();
  for (const auto& [name, row] : aRows) {
    if (row.deleted) {
      continue;
    }
    if (row.isSilent) {
      aProxy.silentVersion = std::max(aProxy.silentVersion, row.version);
    } else {
      aProxy.witnesses.insert(name);
    }
  }
}

bool ServiceHistory::HasWitnesses(const Proxy& aProxy, const Request& aRequest) const
{
  const Entry entry{ aRequest.term, aRequest.commit };
  const auto count = std::ranges::count_if(aProxy.witnesses, [&](const std::string& aName) {
    const auto found = this->servers.find(aName);
    return aName != aRequest.server && found != this->servers.end() && found->second.Answers() &&
           std::ranges::find(found->second.log, entry) != found->second.log.end();
  });
  return aProxy.silentVersion == 0 || count >= static_cast<std::ptrdiff_t>(this->syncReplicas);
}

void ServiceHistory::Heal()
{
  this->RunFor(10s);
  for (auto& [name, server] : this->servers) {
    server.isDeaf = false;
  }
  this->RunFor(20s);
}

void ServiceHistory::RunFor(Duration aTime)
{
  const Instant end = this->now + aTime;
  while (this->now < end) {
    this->Tick();
  }
}

void ServiceHistory::Schedule(Duration aDelay, std::function<void()> aAction)
{
  this->scheduled.emplace(this->now + aDelay, std::move(aAction));
}

void ServiceHistory::Tick()
{
  this->now += kTick;
  while (!this->scheduled.empty() && this->scheduled.begin()->first <= this->now) {
    const auto action = std::move(this->scheduled.begin()->second);
    this->scheduled.erase(this->scheduled.begin());
    action();
  }
  if (!this->named.empty() && this->leadsAt <= this->now) {
    this->Lead();
  }
  this->Replicate();
  this->StepRequests();
  for (auto& [name, server] : this->servers) {
    if (server.Answers() && server.registersAt <= this->now && this->leader != nullptr) {
      this->Register(name);
    }
  }
  this->StepProxies();
  if (this->leader != nullptr) {
    ControlActions actions;
    this->leader->OnTick(this->now, actions);
    this->Execute(actions);
  }
}

void ServiceHistory::Replicate()
{
  const Server& source = this->servers[this->primary];
  if (!source.isRunning) {
    return;
  }
  for (auto& [name, server] : this->servers) {
    const bool receives = server.isRunning && !server.isDeaf && name != this->primary;
    if (receives && this->Draw(0, 9) < 7ms) {
      server.log = source.log;
    }
  }
}

void ServiceHistory::StepRequests()
{
  std::erase_if(this->requests, [this](Request& aRequest) {
    Server& server = this->servers[aRequest.server];
    const bool isPrimary = aRequest.server == this->primary;
    if (aRequest.answerAt != Instant{}) {
      Proxy& proxy = this->proxies[aRequest.proxy];
      if (this->now < aRequest.answerAt || this->now < proxy.suspendedUntil) {
        return false;
      }
      if (proxy.open.contains(aRequest.commit) && !this->HasWitnesses(proxy, aRequest)) {
        return false;
      }
      if (proxy.open.erase(aRequest.commit) > 0 &&
          proxy.gate.IsCommitKept(aRequest.fence, this->now)) {
        this->acknowledged.insert(aRequest.commit);
        this->CheckAcknowledged("an acknowledgement by proxy " + std::to_string(aRequest.proxy));
      }
      return true;
    }
    if (!server.isRunning || (aRequest.term != 0 && aRequest.term != this->term)) {
      return true;
    }
    if (aRequest.term == 0) {
      if (server.isSilent) {
        return false;
      }
      if (!isPrimary) {
        return true;
      }
      aRequest.term = this->term;
      server.log.push_back({ this->term, aRequest.commit });
      return false;
    }
    const auto holders = std::ranges::count_if(this->servers, [&aRequest](const auto& aEach) {
      return std::ranges::find(aEach.second.log, Entry{ aRequest.term, aRequest.commit }) !=
             aEach.second.log.end();
    });
    if (holders > static_cast<std::ptrdiff_t>(this->syncReplicas) && !server.isSilent) {
      aRequest.answerAt = this->now + this->Draw(0, 60);
    }
    return false;
  });
}

void ServiceHistory::StepProxies()
{
  for (std::size_t number = 0; number < this->proxies.size(); ++number) {
    Proxy& proxy = this->proxies[number];
    if (!proxy.isRunning || this->now < proxy.suspendedUntil) {
      continue;
    }
    std::erase_if(proxy.open, [this](const auto& aEach) {
      return this->now - aEach.second > kStatementTimeout;
    });
    if (this->now >= proxy.heartbeatAt) {
      proxy.heartbeatAt = this->now + kHeartbeatInterval;
      this->SendHeartbeat(number);
    }
    const bool mayCommit = !proxy.primary.empty() && !proxy.gate.RefusesCommits(this->now);
    if (mayCommit && proxy.open.size() < 3 && this->Draw(0, 9) < 2ms) {
      proxy.open[++this->commits] = this->now;
      this->requests.push_back(
        { this->commits, number, this->CommitTarget(proxy), proxy.gate.Fence() });
    }
  }
}

std::string ServiceHistory::CommitTarget(const Proxy& aProxy) const
{
  // If the recorded primary refuses a write, the proxy goes on to any server that accepts it.
  const Server& recorded = this->servers.at(aProxy.primary);
  const bool refuses = aProxy.primary != this->primary && recorded.Answers();
  return refuses ? this->primary : aProxy.primary;
}

void ServiceHistory::SendHeartbeat(std::size_t aProxy)
{
  Proxy& proxy = this->proxies[aProxy];
  if (proxy.isCutOff) {
    return;
  }
  std::vector<BackendReport> reports;
  for (const auto& [name, server] : this->servers) {
    BackendReport report{ name, 0, 10, 0 };
    if (!server.Answers()) {
      report.failingMs = std::max<std::int64_t>(1, ToMilliseconds(this->now - server.silentSince));
    }
    if (name == proxy.primary && proxy.gate.MustEndCommits() && proxy.open.empty()) {
      report.closedVersion = proxy.rowVersion;
    }
    reports.push_back(report);
  }
  std::vector<CommitReport> commits;
  if (proxy.silentVersion > 0) {
    commits.push_back({ "ledger", proxy.silentVersion });
  }
  this->Schedule(this->Draw(0, 60),
                 [this, aProxy, reports, commits, starts = proxy.starts, sentAt = this->now] {
                   if (this->leader == nullptr) {
                     return;
                   }
                   const std::string id = "p" + std::to_string(aProxy);
                   this->leader->OnBackendReports(id, reports, this->now);
                   this->leader->OnCommitReports(id, commits);
                   this->AnswerHeartbeat(aProxy, starts, sentAt);
                 });
}

void ServiceHistory::AnswerHeartbeat(std::size_t aProxy, int aStarts, Instant aSentAt)
{
  const PrimaryRow* row = this->state.Backends().FindPrimary("ledger");
  const PrimaryRow answered = row == nullptr ? PrimaryRow{} : *row;
  const auto backends = this->state.Backends().Backends();
  this->Schedule(this->Draw(0, 60), [=, this, version = this->index] {
    Proxy& receiver = this->proxies[aProxy];
    if (receiver.isCutOff || this->now < receiver.suspendedUntil || receiver.starts != aStarts) {
      return;
    }
    if (version >= receiver.directoryVersion) {
      receiver.directoryVersion = version;
      UseDirectory(receiver, backends);
    }
    if (answered.version > receiver.rowVersion) {
      receiver.rowVersion = answered.version;
      receiver.primary = answered.backend;
      receiver.gate.SetPrimary(answered.phase, answered.fence);
    }
    receiver.gate.SetDirectoryCurrentAt(aSentAt);
  });
}

void ServiceHistory::Register(const std::string& aName)
{
  Server& server = this->servers[aName];
  server.registersAt = this->now + kRegistrationInterval;
  BackendRow row;
  row.name = aName;
  row.service = "ledger";
  row.address = server.address;
  row.claimsPrimary = aName == this->primary;
  row.draining = server.isDraining;
  row.startedUnixMs = server.startedUnixMs;
  row.sequence = ++server.sequence;
  this->leader->OnRegistration(row, this->now);
  const auto known = this->state.Backends().Backends().find(aName);
  if (known == this->state.Backends().Backends().end() || !IsSameRegistration(known->second, row)) {
    this->Commit(UpdateBackend{ row });
  }
}

void ServiceHistory::Leave(const std::string& aName)
{
  Server& server = this->servers[aName];
  if (this->leader != nullptr && server.Answers()) {
    this->Commit(RemoveBackend{ aName, server.startedUnixMs });
  }
  server.isRunning = false;
  server.hasLeft = true;
  server.silentSince = this->now;
  // The log goes to a new server at the same address.
  this->Schedule(this->Draw(200, 2000), [this, &server] {
    Server& successor = this->servers["s" + std::to_string(++this->serverCount)];
    successor.address = server.address;
    successor.log = server.log;
    successor.startedUnixMs = server.startedUnixMs + 1;
  });
}

void ServiceHistory::ElectLeader()
{
  this->leader = std::make_unique<ServiceCoordinator>(
    this->state, "control-" + std::to_string(++this->leaderNumber), ServiceTimings{});
  this->leader->OnLeadershipGained(this->now);
}

void ServiceHistory::Execute(const ControlActions& aActions)
{
  const int number = this->leaderNumber;
  const auto isLeading = [this, number] {
    return this->leader != nullptr && this->leaderNumber == number;
  };
  for (const ControlAction& action : aActions) {
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      this->Schedule(this->Draw(0, 100), [this, isLeading, proposed = *propose] {
        if (isLeading() || this->Draw(0, 1) == 0ms) {
          this->Commit(proposed.command);
        }
        if (isLeading()) {
          this->leader->OnProposalDone(proposed.key);
        }
      });
    } else if (const auto* query = std::get_if<QueryPositionAction>(&action)) {
      this->Schedule(this->Draw(0, 60), [this, isLeading, asked = *query] {
        const std::string& name = asked.backend.name;
        if (!this->servers[name].Answers()) {
          return;
        }
        const ServerPosition position{ this->PositionOf(name), name == this->primary };
        this->Schedule(this->Draw(0, 300), [=, this] {
          if (isLeading()) {
            this->leader->OnPosition(asked.backend.name, asked.round, position);
          }
        });
      });
    } else if (const auto* promote = std::get_if<PromoteBackendAction>(&action)) {
      this->Promote(*promote);
    }
  }
}

void ServiceHistory::Promote(const PromoteBackendAction& aCall)
{
  const auto answer = [this, aCall, number = this->leaderNumber](PromotionOutcome aOutcome) {
    this->Schedule(this->Draw(0, 60), [this, aCall, number, aOutcome] {
      if (this->leader == nullptr || this->leaderNumber != number) {
        return;
      }
      ControlActions actions;
      this->leader->OnPromotionAnswer("ledger", aCall.fence, aOutcome, this->now, actions);
      this->Execute(actions);
    });
  };
  const Duration late = std::exchange(this->promotionDelay, Duration{ 0 });
  this->Schedule(late, [this, aCall, answer] { answer(this->Name(aCall)); });
}

PromotionOutcome ServiceHistory::Name(const PromoteBackendAction& aCall)
{
  if (aCall.fence < this->highestFence || !this->servers[aCall.backend].isRunning) {
    return PromotionOutcome::Refused;
  }
  this->highestFence = aCall.fence;
  // For the present primary nothing changes, also not that another server is to lead.
  if (aCall.backend != this->primary && aCall.backend != this->named) {
    this->named = aCall.backend;
    this->leadsAt = this->now + kPromotionTime;
  }
  return PromotionOutcome::Accepted;
}

void ServiceHistory::Lead()
{
  const std::string name = std::exchange(this->named, {});
  const Server& chosen = this->servers[name];
  if (!chosen.isRunning) {
    return;
  }
  ++this->term;
  ++this->promotions;
  this->primary = name;
  for (auto& [other, server] : this->servers) {
    const auto common = std::ranges::mismatch(server.log, chosen.log);
    server.log.erase(common.in1, server.log.end());
    server.registersAt = this->now;
  }
  this->CheckAcknowledged("the promotion of " + name);
}

void ServiceHistory::Commit(const ControlCommand& aCommand)
{
  this->state.Apply(++this->index, EncodeCommand(aCommand));
}

void ServiceHistory::CheckAcknowledged(const std::string& aWhen)
{
  std::set<int> held;
  for (const Entry& entry : this->servers[this->primary].log) {
    held.insert(entry.commit);
  }
  if (this->violation.empty() && !std::ranges::includes(held, this->acknowledged)) {
    this->violation = std::to_string(ToMilliseconds(this->now.time_since_epoch()) - 100'000) +
                      " ms: an acknowledged commit is missing on " + this->primary + " after " +
                      aWhen;
  }
}

LogPosition ServiceHistory::PositionOf(const std::string& aName) const
{
  const std::vector<Entry>& log = this->servers.at(aName).log;
  return { log.empty() ? 1 : log.back().term, log.size() };
}

std::string ServiceHistory::Describe() const
{
  const PrimaryRow* row = this->state.Backends().FindPrimary("ledger");
  std::string text = "primary=" + this->primary;
  if (row != nullptr) {
    text += " row=" + row->backend + " phase=" + std::to_string(static_cast<int>(row->phase)) +
            " version=" + std::to_string(row->version) +
            " settled=" + std::to_string(row->settledVersion);
  }
  for (const auto& [name, server] : this->servers) {
    const BackendRow* known = this->state.Backends().Find(name);
    text += " " + name + ":" + std::to_string(server.log.size()) +
            (server.isRunning ? "" : "/down") + (server.hasLeft ? "/left" : "") +
            (server.isDraining ? "/draining" : "") + (known == nullptr ? "/unknown" : "");
  }
  return text;
}

} // namespace oleanderledge::test
