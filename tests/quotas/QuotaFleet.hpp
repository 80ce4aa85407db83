/// Test fixture: proxies and a control leader in virtual time.
#pragma once

#include "oleanderledge/quotas/quotas.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderledge::test {

/// What happened to the operations of one organisation.
struct OperationHistory
{
  std::vector<Instant> runs;
  std::vector<Instant> refusals;
};

/// A fleet in steps of 1 ms. Operations arrive at random times at random proxies; messages take a
/// random time, and some are lost or late.
class QuotaFleet
{
public:
  QuotaFleet(std::size_t aProxies, unsigned aSeed);

  void SetLimit(const std::string& aOrganisation, double aPerSecond, std::uint32_t aBurst);
  /// Operations per second over all proxies that serve the organisation.
  void SetLoad(const std::string& aOrganisation, double aPerSecond);
  /// Messages of which this part is lost, and as many arrive up to 0.4 s late.
  void SetFaults(double aPart) { this->faults = aPart; }
  void ElectLeader();
  void RemoveLeader() { this->leader.reset(); }
  /// Stops a proxy for a time. It handles nothing meanwhile, and all that was sent to it
  /// afterwards.
  void Suspend(std::size_t aProxy, Duration aTime);
  void Run(Duration aTime);

  Instant Now() const { return this->now; }
  const OperationHistory& HistoryOf(const std::string& aOrganisation)
  {
    return this->histories[aOrganisation];
  }
  /// The most operations of an organisation that ran within 5 s.
  std::size_t MostInWindow(const std::string& aOrganisation);

private:
  struct Proxy
  {
    TokenLedger ledger;
    Instant suspendedUntil{};
    Instant heartbeatAt{};                              ///< Of the next heartbeat.
    std::map<TokenLedger::Ticket, std::string> waiting; ///< Organisation by operation.
    std::vector<std::pair<Instant, std::function<void()>>> inbox;
  };

  void Step();
  void Arrive(Proxy& aProxy, const std::string& aOrganisation);
  void Continue(std::size_t aIndex);
  void SendHeartbeat(std::size_t aIndex);
  void SendRequest(std::size_t aIndex, const TokenRequest& aRequest);
  void Record(const std::string& aOrganisation, const TokenDecision& aDecision);
  /// When a message that is sent now arrives, or nothing if it is lost.
  std::optional<Instant> ArrivalTime();
  double Random() { return std::uniform_real_distribution<double>()(this->random); }

  std::mt19937 random;
  std::vector<Proxy> proxies;
  std::shared_ptr<TokenAllocator> leader;
  std::uint64_t term = 0;
  OrganisationMap organisations;
  std::map<std::string, double> loads;
  std::map<std::string, OperationHistory> histories;
  std::multimap<Instant, std::function<void()>> events; ///< At the leader.
  double faults = 0;
  TokenLedger::Ticket lastTicket = 0;
  Instant now{ std::chrono::hours(1) };
};

} // namespace oleanderledge::test
