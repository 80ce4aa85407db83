/// Test fixture: the servers of one service, proxies, control leaders and the platform, in one
/// thread with a simulated clock. Decisions are those of the product; everything around them is a
/// model.
#pragma once

#include "oleanderledge/control/ServiceCoordinator.hpp"
#include "oleanderledge/statements/CommitGate.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge::test {

enum class ServiceFault : std::uint8_t
{
  ServerSilent,
  ServerCrash,
  ReplicaDeaf,
  ProxyCutOff,
  ProxySuspended,
  LeaderLost,
  PrimaryDrains,
  ServerDrains,
  PromotionLate,
};
constexpr int kServiceFaultCount = 9;

class ServiceHistory
{
public:
  /// `aSeed` decides all delays.
  ServiceHistory(std::uint32_t aSeed, std::uint32_t aSyncReplicas, int aServers);

  void Inject(ServiceFault aFault, int aTarget);
  void RunFor(Duration aTime);
  /// Ends all faults and runs until they cannot have an effect any more.
  void Heal();

  /// Empty as long as no acknowledged commit was lost.
  const std::string& Violation() const { return this->violation; }
  std::size_t AcknowledgedCount() const { return this->acknowledged.size(); }
  std::size_t PromotionCount() const { return this->promotions; }
  std::string Describe() const;

private:
  struct Entry
  {
    std::uint64_t term = 0;
    int commit = 0;
    bool operator==(const Entry&) const = default;
  };
  struct Server
  {
    std::string address;
    std::vector<Entry> log;
    bool isRunning = true;
    bool isSilent = false;
    bool isDeaf = false;
    bool isDraining = false;
    bool hasLeft = false;
    std::int64_t startedUnixMs = 1;
    std::uint64_t sequence = 0;
    Instant registersAt{};
    Instant silentSince{};
    bool Answers() const { return this->isRunning && !this->isSilent; }
  };
  struct Proxy
  {
    CommitGate gate;
    std::string primary;
    std::uint64_t rowVersion = 0;
    bool isCutOff = false;
    Instant suspendedUntil{};
    Instant heartbeatAt{};
    std::map<int, Instant> open; ///< Commits without an answer, and when they were sent.
  };
  /// A commit on its way to its server, there, and back.
  struct Request
  {
    int commit = 0;
    std::size_t proxy = 0;
    std::string server;
    std::uint64_t fence = 0;
    std::uint64_t term = 0; ///< 0: not executed yet.
    Instant answerAt{};     ///< Set once the server has confirmed it.
  };

  void Schedule(Duration aDelay, std::function<void()> aAction);
  void Tick();
  void Replicate();
  void StepRequests();
  void StepProxies();
  void SendHeartbeat(std::size_t aProxy);
  void Register(const std::string& aName);
  void Leave(const std::string& aName);
  void Promote(const PromoteBackendAction& aCall);
  /// Carries out a call: the named server leads some time later.
  PromotionOutcome Name(const PromoteBackendAction& aCall);
  /// The named server leads with the log that it has.
  void Lead();
  /// The server to which a proxy sends its next commit.
  std::string CommitTarget(const Proxy& aProxy) const;
  void ElectLeader();
  void Execute(const ControlActions& aActions);
  void Commit(const ControlCommand& aCommand);
  void CheckAcknowledged(const std::string& aWhen);
  LogPosition PositionOf(const std::string& aName) const;
  Duration Draw(int aShortestMs, int aLongestMs);
  /// The n-th server that has not left.
  std::string ServerAt(int aNumber) const;

  std::mt19937 random;
  std::uint32_t syncReplicas;
  ControlState state;
  std::uint64_t index = 0;
  std::unique_ptr<ServiceCoordinator> leader;
  int leaderNumber = 0;
  Instant now{ std::chrono::seconds(100) };
  std::map<std::string, Server> servers;
  std::vector<Proxy> proxies{ 3 };
  std::vector<Request> requests;
  std::multimap<Instant, std::function<void()>> scheduled;
  std::string primary; ///< As the platform knows it.
  std::uint64_t term = 1;
  std::uint64_t highestFence = 0;
  std::string named; ///< Leads next; empty: none.
  Instant leadsAt{};
  Duration promotionDelay{ 0 }; ///< Of the next promotion call.
  int commits = 0;
  int serverCount = 0;
  std::set<int> acknowledged;
  std::size_t promotions = 0;
  std::string violation;
};

} // namespace oleanderledge::test
