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
  ProxyKilled,
  /// Silent to all proxies and control instances for so long that it is recorded as such. The
  /// server goes on to receive and to confirm commits.
  ServerSilentLong,
  /// A server ends for good without a word, and one without its log starts at another address.
  ServerGone,
};
/// Faults after which a service is served again.
constexpr int kPassingFaultCount = 11;
constexpr int kServiceFaultCount = 12;

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
  /// The server that leads, and one that does not and has not ended.
  std::string Primary() const { return this->primary; }
  std::string AnyReplica() const;
  /// See ServiceFault::ServerGone.
  void EndForGood(const std::string& aName);
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
    int starts = 1;
    std::uint64_t directoryVersion = 0;
    std::uint64_t silentVersion = 0; ///< See CommitReport; 0: commits need no witness.
    std::set<std::string> witnesses;
    bool isRunning = true;
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
  void AnswerHeartbeat(std::size_t aProxy, int aStarts, Instant aSentAt);
  void Register(const std::string& aName);
  void Leave(const std::string& aName);
  void KillProxy(std::size_t aProxy);
  /// What a proxy reads from the directory; see CommitWitnesses.
  static void UseDirectory(Proxy& aProxy,
                           const std::map<std::string, BackendRow, std::less<>>& aRows);
  /// True if the proxy may acknowledge a confirmed commit as far as witnesses go.
  bool HasWitnesses(const Proxy& aProxy, const Request& aRequest) const;
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
