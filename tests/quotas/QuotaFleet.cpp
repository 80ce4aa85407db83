#include "tests/quotas/QuotaFleet.hpp"

#include <algorithm>

namespace oleanderledge::test {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
/// As ContactTiming::heartbeatInterval.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration kWindow = std::chrono::seconds(5);
/// A quarter of a target of 400 ms, the shortest.
constexpr Duration kLongestWait = std::chrono::milliseconds(100);

} // namespace

QuotaFleet::QuotaFleet(std::size_t aProxies, unsigned aSeed)
  : random(aSeed)
  , proxies(aProxies)
{
  this->ElectLeader();
}

void QuotaFleet::SetLimit(const std::string& aOrganisation, double aPerSecond, std::uint32_t aBurst)
{
  OrganisationRow& row = this->organisations[aOrganisation];
  row.name = aOrganisation;
  row.rate = { true, static_cast<std::uint64_t>(aPerSecond * 1000), aBurst };
}

void QuotaFleet::SetLoad(const std::string& aOrganisation, double aPerSecond)
{
  this->loads[aOrganisation] = aPerSecond;
}

void QuotaFleet::ElectLeader()
{
  this->leader = std::make_shared<TokenAllocator>();
  ++this->term;
  this->leader->OnLeadershipGained(this->term, this->now);
}

void QuotaFleet::Suspend(std::size_t aProxy, Duration aTime)
{
  this->proxies[aProxy].suspendedUntil = this->now + aTime;
}

void QuotaFleet::Run(Duration aTime)
{
  const Instant end = this->now + aTime;
  while (this->now < end) {
    this->Step();
  }
}

void QuotaFleet::Step()
{
  this->now += kStep;
  while (!this->events.empty() && this->events.begin()->first <= this->now) {
    const auto event = this->events.extract(this->events.begin());
    event.mapped()();
  }
  const std::chrono::duration<double> step = kStep;
  for (const auto& [organisation, perSecond] : this->loads) {
    std::poisson_distribution<int> arrivals(perSecond * step.count());
    for (int count = arrivals(this->random); count > 0; --count) {
      Proxy& proxy = this->proxies[this->random() % this->proxies.size()];
      if (proxy.suspendedUntil <= this->now) {
        this->Arrive(proxy, organisation);
      } else {
        proxy.inbox.emplace_back(
          proxy.suspendedUntil, [this, &proxy, name = organisation] { this->Arrive(proxy, name); });
      }
    }
  }
  for (std::size_t index = 0; index < this->proxies.size(); ++index) {
    if (this->proxies[index].suspendedUntil <= this->now) {
      this->Continue(index);
    }
  }
}

void QuotaFleet::Arrive(Proxy& aProxy, const std::string& aOrganisation)
{
  const TokenLedger::Ticket ticket = ++this->lastTicket;
  const OperationDemand demand{ aOrganisation, 0, this->now + kLongestWait };
  if (const auto decision = aProxy.ledger.Admit(ticket, demand, this->now)) {
    this->Record(aOrganisation, *decision);
  } else {
    aProxy.waiting.emplace(ticket, aOrganisation);
  }
}

void QuotaFleet::Continue(std::size_t aIndex)
{
  Proxy& proxy = this->proxies[aIndex];
  std::vector<std::function<void()>> due;
  std::erase_if(proxy.inbox, [this, &due](auto& aEach) {
    if (aEach.first > this->now) {
      return false;
    }
    due.push_back(std::move(aEach.second));
    return true;
  });
  for (const auto& handle : due) {
    handle();
  }
  const auto next = proxy.ledger.NextTime();
  if (next && *next <= this->now) {
    proxy.ledger.OnTime(this->now);
  }
  for (const auto& [ticket, decision] : proxy.ledger.TakeDecisions()) {
    this->Record(proxy.waiting.extract(ticket).mapped(), decision);
  }
  if (const auto request = proxy.ledger.TakeRequest(this->now)) {
    this->SendRequest(aIndex, *request);
  }
  if (proxy.heartbeatAt <= this->now) {
    proxy.heartbeatAt = this->now + kHeartbeatInterval;
    this->SendHeartbeat(aIndex);
  }
}

void QuotaFleet::SendHeartbeat(std::size_t aIndex)
{
  Heartbeat heartbeat;
  heartbeat.instance.id = std::to_string(aIndex);
  heartbeat.sentUs = ToMicroseconds(this->now);
  heartbeat.operationCounts = this->proxies[aIndex].ledger.TakeOperationCounts();
  heartbeat.quotaNumber = this->proxies[aIndex].ledger.QuotaNumber(this->now);
  const auto arrival = this->ArrivalTime();
  if (!arrival) {
    return;
  }
  this->events.emplace(*arrival, [this, aIndex, heartbeat, recipient = this->leader] {
    if (recipient == nullptr || recipient != this->leader) {
      return;
    }
    const auto shares = recipient->OnHeartbeat(heartbeat, this->organisations, this->now);
    if (const auto replied = this->ArrivalTime()) {
      Proxy& proxy = this->proxies[aIndex];
      proxy.inbox.emplace_back(
        *replied,
        [this, &proxy, shares, sentAt = FromMicroseconds(heartbeat.sentUs), granter = this->term] {
          proxy.ledger.OnHeartbeatReply(granter, shares, sentAt, this->now);
        });
    }
  });
}

void QuotaFleet::SendRequest(std::size_t aIndex, const TokenRequest& aRequest)
{
  const auto arrival = this->ArrivalTime();
  if (!arrival) {
    return;
  }
  this->events.emplace(*arrival, [this, aIndex, aRequest, recipient = this->leader] {
    // A member that does not lead any more answers nothing.
    if (recipient == nullptr || recipient != this->leader) {
      return;
    }
    const TokenReply reply = recipient->Answer(aRequest, this->organisations, this->now);
    if (const auto replied = this->ArrivalTime()) {
      Proxy& proxy = this->proxies[aIndex];
      proxy.inbox.emplace_back(*replied,
                               [this, &proxy, reply] { proxy.ledger.OnReply(reply, this->now); });
    }
  });
}

std::optional<Instant> QuotaFleet::ArrivalTime()
{
  const double fault = this->Random();
  if (fault < this->faults) {
    return std::nullopt;
  }
  const double longestMs = fault < 2 * this->faults ? 400 : 25;
  return this->now + std::chrono::milliseconds(1 + static_cast<int>(this->Random() * longestMs));
}

void QuotaFleet::Record(const std::string& aOrganisation, const TokenDecision& aDecision)
{
  OperationHistory& history = this->histories[aOrganisation];
  (aDecision.token ? history.runs : history.refusals).push_back(this->now);
}

std::size_t QuotaFleet::MostInWindow(const std::string& aOrganisation)
{
  const std::vector<Instant>& runs = this->histories[aOrganisation].runs;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < runs.size(); ++last) {
    while (runs[last] - runs[first] > kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

} // namespace oleanderledge::test
