#pragma once

#include "oleanderledge/control/control.hpp"
#include "oleanderledge/link/link.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oleanderledge {

/// Simulated backend server of the database "orders".
struct FakeSlot
{
  std::string name;
  std::string zone;
  bool alive = true;
  bool announces = true;
  bool answersCalls = true;
  bool isPrimary = false;
  bool departing = false;
  std::uint64_t term = 1;
  std::uint64_t received = 0;
  std::uint64_t incarnation = 1;
  std::uint64_t sequence = 0;
  Instant aliveUntil{}; ///< Last time that it was alive.
};

/// A lease as its owner knows it.
struct HeldLease
{
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  Instant end{};
};

/// Simulated proxy: receives the directory, renews its lease, and writes while it is owner.
struct FakeProxy
{
  InstanceInfo instance;
  bool alive = true;
  bool connected = true;        ///< Can exchange messages with the control leader.
  bool refusesRelease = false;  ///< Ignores orders to release its lease.
  bool followsDirectory = true; ///< Receives changes of the directory.
  bool claimsDrained = false;   ///< Reports in every phase that the database is drained.
  std::uint64_t sequence = 0;
  Directory directory;
  HeldLease lease;
  std::uint64_t releasedEpoch = 0;
  std::set<std::string> unreachable; ///< Slots that it cannot reach.
  std::map<std::string, Instant> reachedAt;
  /// Slots that it proposed to add to the in-sync set. Acknowledgements wait for them already.
  std::set<std::string> proposed;
  std::uint64_t proposedEpoch = 0; ///< Epoch to which `proposed` belongs.
  std::uint64_t drainedTerm = 0; ///< Term in which it is drained and acknowledges no writes; or 0.
};

/// Control members, proxies and backend servers of one database in simulated time. The members
/// share one state, so each commit reaches all of them at once. Checks the invariants on leases and
/// promotions after every event:
/// - at most one process holds an unexpired lease, so no two leases differ in term,
/// - each term is decided once, and only for a slot of the in-sync set,
/// - a promoted slot has every acknowledged write.
class ControlHarness
{
public:
  explicit ControlHarness(std::size_t aMembers = 3);

  FakeSlot& Slot(const std::string& aName) { return this->slots.at(aName); }
  FakeProxy& Proxy(const std::string& aId) { return this->proxies.at(aId); }
  void AddProxy(const std::string& aId, const std::string& aZone);
  void RestartProxy(const std::string& aId);

  /// Advances the simulated time by `aDuration` in steps of 10 ms.
  void Run(Duration aDuration);
  /// Runs until a condition holds. Returns false after `aLimit`.
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = std::chrono::seconds(20));
  /// Runs until the database has an owner with a lease, and all slots are in sync.
  void RunUntilSteady();

  /// Takes the leadership from the leader. Its pending proposals are committed if `aKeepProposals`,
  /// else dropped.
  void LoseLeader(bool aKeepProposals);
  /// Makes the next member leader, if there is none.
  void ElectLeader();

  const DatabaseRecord& Record() const { return *this->state.Databases().Find("orders"); }
  const DatabaseRow& Row() const { return this->Record().row; }
  bool IsSteadyWith(const std::string& aPrimary) const;
  /// True if the recorded owner holds a lease of the recorded epoch and term.
  bool OwnerHasLease() const;

  /// Log lines of an event since the start.
  std::vector<std::string> LinesOf(LogEvent aEvent) const;
  /// Durations logged with FailoverCompleted.
  std::vector<FailoverDurations> Failovers() const;
  /// Violated invariants, in the order of detection.
  std::vector<std::string> violations;

  ControlState state;
  Instant now = FromMicroseconds(1'000'000'000);
  /// Called after each committed command of the database.
  std::function<void()> onCommitted;
  bool commitsPaused = false;
  /// One-way delay of heartbeats and of their replies.
  Duration heartbeatDelay = std::chrono::milliseconds(5);
  bool writes = true;             ///< The owner writes in every step of 10 ms.
  std::uint64_t acknowledged = 0; ///< Log offset up to which writes are acknowledged.
  std::vector<std::pair<std::uint64_t, std::string>> promotions; ///< Decided terms and slots.

private:
  struct Proposal
  {
    std::size_t member = 0;
    std::string key;
    ControlCommand command;
  };
  struct Event
  {
    Instant due;
    std::function<void()> action;
  };

  ControlLeader& Leader() { return *this->members[this->leader]; }
  bool HasLeader() const { return this->leader < this->members.size(); }
  void Step();
  void Schedule(Duration aDelay, std::function<void()> aAction);
  void CommitAll();
  void Commit(const Proposal& aProposal);
  void Execute(std::size_t aMember, const ControlActions& aActions);
  void Announce(FakeSlot& aSlot);
  void SendHeartbeat(FakeProxy& aProxy);
  void DeliverReply(const std::string& aProxy, const HeartbeatReply& aReply, Instant aSent);
  OwnerReport MakeOwnerReport(FakeProxy& aProxy, const DatabaseRow& aRow);
  void ProposeInSync(FakeProxy& aProxy, const DatabaseRow& aRow, OwnerReport& aReport);
  void Replicate();
  void WriteOnce(FakeProxy& aProxy);
  void CheckLeases();
  void CheckDecision(const DecidePromotion& aDecision, const DatabaseRecord& aBefore);

  std::vector<std::unique_ptr<ControlLeader>> members;
  std::size_t leader = 0;
  std::size_t lastLeader = 0;
  std::map<std::string, FakeSlot> slots;
  std::map<std::string, FakeProxy> proxies;
  std::deque<Proposal> proposals;
  std::vector<Event> events;
  std::vector<LogAction> lines;
  std::uint64_t index = 0;
  std::uint64_t steps = 0;
};

} // namespace oleanderledge
