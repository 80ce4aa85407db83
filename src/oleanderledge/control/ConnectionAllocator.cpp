#include "oleanderledge/control/ConnectionAllocator.hpp"

#include "oleanderledge/control/MaxMinAllocation.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderledge {

namespace {

/// Factor by which a demand decays from one heartbeat (200 ms) to the next; halves it in 0.6 s.
constexpr double kDemandDecayPerHeartbeat = 0.8;
/// A demand below this is rounded to 0, and is forgotten.
constexpr double kLeastDemand = 0.1;
/// With fewer connections per proxy than this, relays are used, because the connections of one
/// proxy would not suffice for a burst of its callers.
constexpr double kMinConnectionsPerProxy = 2.5;

} // namespace

ConnectionAllocator::ConnectionAllocator(const ControlState& aState, AllocationTimings aTimings)
  : state(aState)
  , timings(aTimings)
{
}

std::uint32_t ConnectionAllocator::ProxyState::DemandFor(std::string_view aBackend) const
{
  const auto found = this->demand.find(aBackend);
  return found == this->demand.end() ? 0 : static_cast<std::uint32_t>(std::lround(found->second));
}

void ConnectionAllocator::OnLeadershipGained(Instant aNow)
{
  this->leaderSince = aNow;
  this->proxies.clear();
  this->plans.clear();
  this->expectedProxies.clear();
  for (const auto& [id, instance] : this->state.Instances()) {
    if (instance.role == InstanceRole::Proxy && !instance.leaving) {
      this->expectedProxies.push_back(id);
    }
  }
}

void ConnectionAllocator::OnBackendReports(const InstanceInfo& aProxy,
                                           const std::vector<BackendReport>& aReports,
                                           Instant aNow)
{
  ProxyState& view = this->proxies[aProxy.id];
  view.instance = aProxy;
  view.lastReportAt = aNow;
  // Servers without demand are left out of the reports.
  for (auto& [backend, demand] : view.demand) {
    demand *= kDemandDecayPerHeartbeat;
  }
  std::erase_if(view.demand, [](const auto& aEach) { return aEach.second < kLeastDemand; });
  for (const BackendReport& report : aReports) {
    double& demand = view.demand[report.backend];
    demand = std::max<double>(report.demand, demand);
  }
}

void ConnectionAllocator::OnTick(Instant aNow)
{
  const bool isTooEarly =
    aNow - this->leaderSince < this->timings.firstAllocationDelay && !this->HaveAllReported();
  if (isTooEarly || aNow - this->allocatedAt < this->timings.allocationInterval) {
    return;
  }
  this->AllocateAll(aNow);
}

bool ConnectionAllocator::HaveAllReported() const
{
  return !this->expectedProxies.empty() &&
         std::ranges::all_of(this->expectedProxies, [this](const std::string& aId) {
           return this->proxies.contains(aId);
         });
}

void ConnectionAllocator::AllocateAll(Instant aNow)
{
  this->allocatedAt = aNow;
  std::erase_if(this->proxies, [this, aNow](const auto& aEach) {
    return aNow - aEach.second.lastReportAt > this->timings.proxyRemovalTimeout;
  });
  const auto& backends = this->state.Backends().Backends();
  std::erase_if(this->plans, [&backends](const auto& aEach) {
    const auto found = backends.find(aEach.first);
    return found == backends.end() || found->second.deleted;
  });
  for (auto& [id, view] : this->proxies) {
    view.grants.clear();
    view.relayedBackends = 0;
  }
  for (const auto& [backend, plan] : this->plans) {
    for (const auto& [name, zone] : plan.zones) {
      for (const std::string& relay : zone.relays) {
        const auto found = this->proxies.find(relay);
        if (found != this->proxies.end()) {
          ++found->second.relayedBackends;
        }
      }
    }
  }
  for (const auto& [name, backend] : backends) {
    const auto service = this->state.Routes().Services().find(backend.service);
    if (backend.deleted || service == this->state.Routes().Services().end()) {
      continue;
    }
    const std::uint32_t limit = service->second.connectionLimit;
    if (limit < kMinConnectionsPerProxy * static_cast<double>(this->proxies.size())) {
      this->AllocateRelayed(name, limit, aNow);
    } else {
      this->AllocateDirect(name, limit);
    }
  }
}

void ConnectionAllocator::AllocateDirect(const std::string& aBackend, std::uint32_t aLimit)
{
  this->plans.erase(aBackend);
  std::vector<std::uint32_t> demands;
  for (const auto& [id, view] : this->proxies) {
    demands.push_back(view.DemandFor(aBackend));
  }
  const auto allocated = AllocateMaxMin(aLimit, demands);
  std::size_t index = 0;
  for (auto& [id, view] : this->proxies) {
    view.grants.push_back({ aBackend, allocated[index++], {} });
  }
}

void ConnectionAllocator::AllocateRelayed(const std::string& aBackend,
                                          std::uint32_t aLimit,
                                          Instant aNow)
{
  std::vector<RelayCandidate> candidates;
  std::uint32_t reserved = 0;
  for (const auto& [id, view] : this->proxies) {
    const std::uint32_t demand = view.DemandFor(aBackend);
    if (view.instance.leaving) {
      // A leaving proxy accepts no new statements, but finishes those on its connections.
      reserved += demand;
      continue;
    }
    if (aNow - view.lastReportAt > this->timings.relayExclusionTimeout) {
      // The backend server may still count the connections of a lost proxy.
      const auto found = view.relayConnections.find(aBackend);
      reserved += found == view.relayConnections.end() ? 0 : found->second;
      continue;
    }
    candidates.push_back({ id, view.instance.zone, demand, view.relayedBackends });
  }
  RelayPlan& plan = this->plans[aBackend];
  const RelayPlan previous = std::move(plan);
  plan =
    AssignRelays(aBackend, std::max(aLimit - std::min(reserved, aLimit), 1U), candidates, previous);
  for (const auto& [name, zone] : plan.zones) {
    for (const std::string& relay : zone.relays) {
      const auto before = previous.zones.find(name);
      const bool isNew =
        before == previous.zones.end() ||
        std::ranges::find(before->second.relays, relay) == before->second.relays.end();
      this->proxies.at(relay).relayedBackends += isNew ? 1 : 0;
    }
  }
  for (auto& [id, view] : this->proxies) {
    ConnectionGrant grant{ aBackend, plan.ConnectionsOf(id, view.instance.zone), {} };
    if (grant.connections == 0) {
      for (const std::string& relay : plan.RelaysFor(view.instance.zone)) {
        grant.relays.push_back(this->proxies.at(relay).instance.linkAddress);
      }
    }
    if (aNow - view.lastReportAt <= this->timings.relayExclusionTimeout) {
      view.relayConnections[aBackend] = grant.connections;
    }
    view.grants.push_back(std::move(grant));
  }
}

std::vector<ConnectionGrant> ConnectionAllocator::TakeChangedGrants(const std::string& aProxy,
                                                                    Instant aNow)
{
  const auto found = this->proxies.find(aProxy);
  if (found == this->proxies.end()) {
    return {};
  }
  ProxyState& view = found->second;
  const bool isRepeatDue = aNow - view.sentAt >= this->timings.grantRepeatInterval;
  if (view.grants == view.sent && !isRepeatDue) {
    return {};
  }
  std::vector<ConnectionGrant> changed;
  for (const ConnectionGrant& grant : view.grants) {
    if (isRepeatDue || std::ranges::find(view.sent, grant) == view.sent.end()) {
      changed.push_back(grant);
    }
  }
  view.sent = view.grants;
  view.sentAt = isRepeatDue ? aNow : view.sentAt;
  return changed;
}

} // namespace oleanderledge
