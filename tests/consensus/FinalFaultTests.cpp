#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace oleanderledge;

namespace {

constexpr std::size_t kVoters = 5;
constexpr std::size_t kFounders = 3; ///< The seeds found the group, the others join it.
constexpr std::size_t kSpares = 3;
constexpr int kBearableDisks = 2;
constexpr std::int64_t kMs = FakeGroup::kMillisecond;
/// A machine stays lost for this long after it is back or, if it is new, after its start.
constexpr std::int64_t kCatchUpUs = 4000 * kMs;
constexpr std::int64_t kRecoveryUs = 12'000 * kMs;
constexpr std::int64_t kStopLimitUs = 5000 * kMs;
/// A disturbance that has been over for this long must not show any more.
constexpr std::int64_t kCalmUs = 5000 * kMs;
/// What is committed in a calm span is applied by all instances within this time.
constexpr std::int64_t kApplyLimitUs = 1000 * kMs;
constexpr std::int64_t kLengthMs = 11'000; ///< Of the time in which final faults strike.
constexpr std::int64_t kStrikeStrideMs = 2000;
constexpr std::int64_t kRestMs = 9000;
constexpr std::int64_t kPartMs = 2; ///< Time between two looks at the group.
/// Number of copies that are struck when a new list of members was proposed.
constexpr std::uint64_t kStrikesAtChange = 3;
constexpr std::int64_t kProposeIntervalUs = 40 * kMs;
constexpr std::int64_t kNever = INT64_MAX / 2;

enum class Step : std::uint8_t
{
  StartEmpty, ///< A machine that is added, with an empty disk and the seeds of that moment.
  Leave,      ///< SIGTERM of a machine that is removed.
  Remove,     ///< A machine ends for good without SIGTERM.
  LeaveAndReturn,
  Kill, ///< The machine is back after `milliseconds`.
  KillAll,
  LoseDisk,
  Freeze,
  Isolate,
  CutOneWay,
  Split, ///< Cuts a half of the machines from the other half; `instance` selects the halves.
  Heal,
  Silence,
  Compact,
  Burst,
};

/// Selects the leader or the voter that was admitted last when the step takes place.
constexpr std::size_t kLeader = 100;
constexpr std::size_t kNewestVoter = 101;

struct Planned
{
  std::int64_t at = 0; ///< Milliseconds after the start of the scenario.
  Step step = Step::Compact;
  std::size_t instance = 0;
  std::int64_t milliseconds = 500;
};

enum class Strike : std::uint8_t
{
  DisksAlone,
  DisksAndRestarts,
  Restarts,
  DisksAndVoterRestarts, ///< Learners go on.
};
constexpr int kStrikeCount = 4;

enum class Victims : std::uint8_t
{
  Random,
  LeaderAndNewestVoter,
  LeaderAndFurthestVoter,
  OldestVoters,
};
constexpr int kVictimsCount = 4;

/// The machines of a core and what is done to them.
class Core
{
public:
  explicit Core(std::uint64_t aSeed)
    : group(aSeed, kFounders, kVoters - kFounders + kSpares)
    , random(aSeed)
    , machines(kVoters + kSpares)
  {
    this->group.UseLinks(kVoters);
    for (std::size_t at = 0; at < kVoters; ++at) {
      this->group.SetSeeds(at, { 0, 1, 2 });
      this->group.Restart(at);
      this->machines[at].exists = true;
    }
  }

  FakeGroup& Group() { return this->group; }
  std::int64_t Now() const { return this->group.Now(); }
  void Reseed(std::uint64_t aSeed)
  {
    this->random.seed(aSeed);
    this->group.Reseed(aSeed);
  }

  void Plan(const std::vector<Planned>& aSteps)
  {
    const std::int64_t start = this->Now();
    for (const Planned& step : aSteps) {
      this->planned.emplace(start + step.at * kMs, step);
    }
  }

  void Run(std::int64_t aMicroseconds)
  {
    const std::int64_t end = this->Now() + aMicroseconds;
    while (this->Now() < end && !this->group.Violation()) {
      std::int64_t next = std::min(end, this->proposeAt);
      next = this->planned.empty() ? next : std::min(next, this->planned.begin()->first);
      this->group.Run(std::max<std::int64_t>(0, next - this->Now()));
      while (!this->planned.empty() && this->planned.begin()->first <= this->Now()) {
        const Planned step = this->planned.begin()->second;
        this->planned.erase(this->planned.begin());
        this->Execute(step);
      }
      if (this->proposeAt <= this->Now()) {
        this->proposeAt = this->Now() + kProposeIntervalUs;
        this->group.Propose(1);
        this->ContinueLeaves();
        this->Measure();
      }
    }
  }

  bool IsFinished() const { return this->planned.empty(); }

  /// Disks that count as lost: of machines that are gone or that lost their data, until they or
  /// their successors have run for the time to catch up.
  int CountedDisks() const
  {
    return static_cast<int>(std::ranges::count_if(this->machines, [this](const Machine& aMachine) {
      return aMachine.diskCountsUntil > this->Now();
    }));
  }

  /// Machines that count as lost for whatever reason, among them those without their disk.
  int CountedMachines() const
  {
    return static_cast<int>(std::ranges::count_if(this->machines, [this](const Machine& aMachine) {
      return std::max(aMachine.diskCountsUntil, aMachine.countsUntil) > this->Now();
    }));
  }

  /// Suspends up to two machines besides the leader, so that few others confirm the next commands.
  void SuspendTwo(std::int64_t aMicroseconds)
  {
    const std::size_t leader = this->Resolve(kLeader);
    std::vector<std::size_t> others = this->Existing();
    std::erase(others, leader);
    std::ranges::shuffle(others, this->random);
    for (std::size_t at = 0; at < std::min<std::size_t>(2, others.size()); ++at) {
      this->group.Freeze(others[at], aMicroseconds);
    }
  }

  /// Strikes the final fault and brings everything back. Returns what broke, if anything.
  std::optional<std::string> StrikeAndRecover(Strike aStrike, Victims aVictims)
  {
    this->planned.clear();
    // A machine that is stopped for good while it still leaves takes its disk with it.
    const int machinesBefore = this->CountedMachines();
    const int counted = this->CountedDisks() + this->CountLeaving(aStrike);
    const int lost = std::max(counted, machinesBefore);
    const int count = aStrike == Strike::Restarts ? 0 : std::max(0, kBearableDisks - lost);
    const std::string before = this->group.DescribeMembers();
    const std::vector<std::size_t> victims =
      this->ChooseVictims(aVictims, static_cast<std::size_t>(count));
    const std::vector<ControlMember> members = this->group.CommittedMembers();
    std::string text = "disks lost of";
    std::vector<std::size_t> stopped;
    for (std::size_t at = 0; at < this->machines.size(); ++at) {
      if (std::ranges::find(victims, at) != victims.end()) {
        this->group.LoseDisk(at);
        text += " i" + std::to_string(at);
        continue;
      }
      const bool isRestarted =
        aStrike == Strike::DisksAndRestarts || aStrike == Strike::Restarts ||
        (aStrike == Strike::DisksAndVoterRestarts && IsVotingInstance(members, at));
      if (isRestarted && this->group.IsRunning(at)) {
        this->group.Crash(at);
      }
    }
    const bool canHaveQuorum = this->group.CanHaveQuorum();
    this->group.HealNetwork();
    this->BringBack();
    const std::int64_t struckAt = this->Now();
    const bool isRecovered = this->Recovers(kRecoveryUs);
    this->recoveryUs = this->Now() - struckAt;
    if (isRecovered) {
      return std::nullopt;
    }
    return text + " (machines counted " + std::to_string(machinesBefore) + ")" +
           (canHaveQuorum ? ", a majority has its disks" : ", NO MAJORITY has its disks") +
           ", counted before " + std::to_string(counted) + ", violation " +
           this->group.Violation().value_or("none") + "\n before: " + before +
           "\n after: " + this->group.DescribeMembers();
  }

  /// True if a confirmed leader commits a new command in time, and every running instance that is
  /// not removed for good applies it.
  bool Recovers(std::int64_t aLimitUs)
  {
    const std::size_t before = this->group.Acknowledged();
    const std::int64_t end = this->Now() + aLimitUs;
    const bool hasLeader = this->group.RunUntil(aLimitUs, [this, before] {
      this->group.Propose(1);
      return this->group.HasConfirmedLeader() && this->group.Acknowledged() > before;
    });
    const std::uint64_t last = this->group.LastCommitted();
    return hasLeader && this->group.RunUntil(end - this->Now(),
                                             [this, last] { return this->HaveApplied(last); });
  }

  bool HaveApplied(std::uint64_t aIndex) const
  {
    for (std::size_t at = 0; at < this->machines.size(); ++at) {
      if (this->group.IsRunning(at) && !this->machines[at].isLeaving &&
          this->group.AppliedIndexOf(at) < aIndex) {
        return false;
      }
    }
    return true;
  }

  /// Records what does not hold at this moment.
  void Measure()
  {
    const bool isCut = this->inTouchSince > this->Now() + kCatchUpUs;
    if (isCut) {
      this->disturbedUntil = this->Now();
    }
    const bool hasLeader = this->group.HasConfirmedLeader();
    if (hasLeader || this->disturbedUntil >= this->Now()) {
      this->leaderSeenAt = std::max(this->Now(), this->disturbedUntil);
    }
    this->longestWithoutLeaderUs =
      std::max(this->longestWithoutLeaderUs, this->Now() - this->leaderSeenAt);
    const int bearable = this->group.BearableDiskLosses();
    const int needed = kBearableDisks - this->CountedMachines();
    if (bearable < needed) {
      this->RecordBroken("bears " + std::to_string(bearable) + " lost disks instead of " +
                         std::to_string(needed));
    }
    if (this->Now() - this->disturbedUntil > kCalmUs && !hasLeader) {
      this->RecordBroken("no confirmed leader in a calm span");
    }
    if (this->Now() - this->calmCheckAt > kApplyLimitUs) {
      if (this->Now() - this->disturbedUntil > kCalmUs && !this->HaveApplied(this->calmIndex)) {
        this->RecordBroken("an instance has not applied what was committed in a calm span");
      }
      this->calmCheckAt = this->Now();
      this->calmIndex = this->group.LastCommitted();
    }
  }

  std::int64_t LongestWithoutLeader() const { return this->longestWithoutLeaderUs; }
  std::int64_t RecoveryTime() const { return this->recoveryUs; }
  /// What broke while the steps were played: the group bears fewer losses of disks than it must, or
  /// was not calm long after the last disturbance.
  const std::optional<std::string>& Broken() const { return this->broken; }
  /// Forgets what was measured while the group was founded.
  void ResetMeasurements()
  {
    this->broken.reset();
    this->longestWithoutLeaderUs = 0;
  }

private:
  struct Machine
  {
    bool exists = false;
    bool isGone = false;
    bool isLeaving = false;
    bool returns = false;
    std::int64_t leftAt = 0;
    std::int64_t startedAt = 0;
    std::int64_t diskCountsUntil = 0;
    std::int64_t countsUntil = 0;
    std::optional<std::size_t> replaces; ///< The machine that this one is the successor of.
    std::optional<std::size_t> successor;
  };

  static bool IsVotingInstance(const std::vector<ControlMember>& aMembers, std::size_t aInstance)
  {
    return std::ranges::any_of(aMembers, [aInstance](const ControlMember& aMember) {
      return aMember.voter && aMember.instance == "i" + std::to_string(aInstance);
    });
  }

  void RecordBroken(const std::string& aWhat)
  {
    if (!this->broken) {
      this->broken = aWhat + " at " + std::to_string(this->Now() / kMs) + " ms\n " +
                     this->group.DescribeMembers();
    }
  }

  int CountLeaving(Strike aStrike) const
  {
    if (aStrike == Strike::DisksAlone) {
      return 0;
    }
    return static_cast<int>(std::ranges::count_if(this->machines, [this](const Machine& aMachine) {
      return aMachine.isLeaving && !aMachine.isGone && !aMachine.returns &&
             aMachine.diskCountsUntil <= this->Now();
    }));
  }

  std::int64_t Between(std::int64_t aLow, std::int64_t aHigh)
  {
    return aLow +
           static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(aHigh - aLow + 1));
  }

  std::vector<std::size_t> Existing() const
  {
    std::vector<std::size_t> existing;
    for (std::size_t at = 0; at < this->machines.size(); ++at) {
      if (this->machines[at].exists && !this->machines[at].isGone) {
        existing.push_back(at);
      }
    }
    return existing;
  }

  /// Three machines of the list that the operator has at this moment.
  std::vector<std::size_t> DrawSeeds()
  {
    std::vector<std::size_t> seeds = this->Existing();
    std::ranges::shuffle(seeds, this->random);
    seeds.resize(std::min<std::size_t>(seeds.size(), 3));
    return seeds;
  }

  std::size_t Resolve(std::size_t aInstance) const
  {
    if (aInstance == kLeader) {
      return this->group.Leader().value_or(0);
    }
    if (aInstance == kNewestVoter) {
      std::size_t newest = 0;
      for (const ControlMember& member : this->group.CommittedMembers()) {
        newest = member.voter ? std::stoul(member.instance.substr(1)) : newest;
      }
      return newest;
    }
    return aInstance;
  }

  void Start(std::size_t aInstance)
  {
    Machine& machine = this->machines[aInstance];
    if (machine.isGone || this->group.IsRunning(aInstance)) {
      return;
    }
    machine.exists = true;
    machine.startedAt = this->Now();
    this->group.SetSeeds(aInstance, this->DrawSeeds());
    this->group.Restart(aInstance);
  }

  void Later(std::int64_t aMicroseconds, Planned aStep)
  {
    aStep.at = -1;
    this->planned.emplace(this->Now() + aMicroseconds, aStep);
  }

  /// The machine stops counting once its successor has run for the time to catch up.
  void SetGone(std::size_t aInstance)
  {
    Machine& machine = this->machines[aInstance];
    machine.isGone = true;
    machine.diskCountsUntil = kNever;
    this->PairSuccessors();
  }

  void PairSuccessors()
  {
    for (Machine& machine : this->machines) {
      if (!machine.isGone && !machine.isLeaving) {
        continue;
      }
      if (machine.returns) {
        continue;
      }
      for (std::size_t at = kVoters; at < this->machines.size() && !machine.successor; ++at) {
        if (this->machines[at].exists && !this->machines[at].replaces) {
          machine.successor = at;
          this->machines[at].replaces = 0;
        }
      }
      if (machine.successor && machine.isGone && machine.diskCountsUntil == kNever) {
        // Of a machine that ends without SIGTERM the group learns only by its silence.
        const std::int64_t from =
          machine.isLeaving
            ? this->machines[*machine.successor].startedAt
            : std::max(machine.leftAt, this->machines[*machine.successor].startedAt);
        machine.diskCountsUntil = std::max(from, this->inTouchSince) + kCatchUpUs;
      }
    }
  }

  void Count(std::size_t aInstance, std::int64_t aUntil)
  {
    auto& counted = this->machines[aInstance].countsUntil;
    counted = std::max(counted, aUntil + kCatchUpUs);
  }
  /// Without a majority in touch no group can replace what it lost, so the time to catch up starts
  /// again after such a disturbance.
  void ExtendDisks(std::int64_t aUntil)
  {
    this->inTouchSince =
      aUntil == kNever ? kNever / 2 - 1 - kCatchUpUs : std::max(aUntil, this->Now());
    for (Machine& machine : this->machines) {
      if (machine.diskCountsUntil > this->Now() && machine.diskCountsUntil < kNever) {
        machine.diskCountsUntil = this->inTouchSince + kCatchUpUs;
      }
    }
  }
  void CountCut(std::size_t aInstance)
  {
    this->Count(aInstance, kNever);
    this->cutOff.push_back(aInstance);
  }

  void Disturb() { this->disturbedUntil = std::max(this->disturbedUntil, this->Now()); }

  /// Without overlaps, a machine is disturbed only if no more machines than allowed are lost then.
  bool IsAllowed(Step aStep, std::size_t aInstance) const
  {
    const bool affectsOne = aStep == Step::Leave || aStep == Step::Remove ||
                            aStep == Step::LeaveAndReturn || aStep == Step::Kill ||
                            aStep == Step::LoseDisk || aStep == Step::Freeze ||
                            aStep == Step::Isolate || aStep == Step::CutOneWay;
    if (!affectsOne) {
      return true;
    }
    const Machine& machine = this->machines[aInstance];
    if (!machine.exists || machine.isGone || machine.isLeaving) {
      return false;
    }
    const bool isCounted = std::max(machine.diskCountsUntil, machine.countsUntil) > this->Now();
    return this->CountedMachines() < kBearableDisks + (isCounted ? 1 : 0);
  }

  void Execute(const Planned& aStep)
  {
    const std::size_t at = this->Resolve(aStep.instance);
    const std::int64_t back = aStep.milliseconds * kMs;
    if (!this->IsAllowed(aStep.step, at)) {
      return;
    }
    this->Disturb();
    switch (aStep.step) {
      case Step::StartEmpty:
        this->Start(at);
        this->PairSuccessors();
        break;
      case Step::Leave:
      case Step::LeaveAndReturn:
        if (this->group.IsRunning(at) && !this->machines[at].isLeaving &&
            this->CountedDisks() < kBearableDisks) {
          if (aStep.step == Step::LeaveAndReturn) {
            this->Count(at, kNever);
          }
          this->machines[at].isLeaving = true;
          this->machines[at].returns = aStep.step == Step::LeaveAndReturn;
          this->machines[at].leftAt = this->Now();
          this->group.Leave(at);
        }
        break;
      case Step::Remove:
        if (this->machines[at].isGone || this->CountedDisks() >= kBearableDisks) {
          break;
        }
        this->machines[at].leftAt = this->Now();
        this->group.LoseDisk(at);
        this->SetGone(at);
        break;
      case Step::Kill:
        if (this->group.IsRunning(at)) {
          this->group.Crash(at);
          this->Count(at, this->Now() + back);
          this->disturbedUntil = std::max(this->disturbedUntil, this->Now() + back);
          this->Later(back, { 0, Step::StartEmpty, at });
        }
        break;
      case Step::KillAll:
        for (const std::size_t each : this->Existing()) {
          this->group.Crash(each);
          this->ExtendDisks(this->Now() + 1000 * kMs);
          this->disturbedUntil = this->Now() + 1000 * kMs;
          this->Later(this->Between(100, 900) * kMs, { 0, Step::StartEmpty, each });
        }
        break;
      case Step::LoseDisk:
        if (this->machines[at].isGone || this->CountedDisks() >= kBearableDisks) {
          break;
        }
        this->group.LoseDisk(at);
        this->machines[at].diskCountsUntil =
          std::max(this->Now() + back, this->inTouchSince) + kCatchUpUs;
        this->disturbedUntil = std::max(this->disturbedUntil, this->Now() + back);
        this->Later(back, { 0, Step::StartEmpty, at });
        break;
      case Step::Freeze:
        this->group.Freeze(at, back);
        this->Count(at, this->Now() + back);
        this->disturbedUntil = std::max(this->disturbedUntil, this->Now() + back);
        break;
      case Step::Isolate:
        this->group.Isolate(at);
        this->CountCut(at);
        break;
      case Step::CutOneWay:
        this->CountCut(at);
        this->ExtendDisks(kNever);
        for (const std::size_t other : this->Existing()) {
          if (other != at && this->random() % 2 == 0) {
            this->group.CutOneWay(at, other);
          }
        }
        break;
      case Step::Split:
        for (const std::size_t left : this->Existing()) {
          for (const std::size_t right : this->Existing()) {
            if ((left + aStep.instance) % 5 < 2 && (right + aStep.instance) % 5 >= 2) {
              this->group.Cut(left, right);
              this->ExtendDisks(kNever);
            }
          }
        }
        break;
      case Step::Heal:
        this->group.HealNetwork();
        for (const std::size_t each : std::exchange(this->cutOff, {})) {
          this->machines[each].countsUntil = this->Now() + kCatchUpUs;
        }
        this->ExtendDisks(this->Now());
        break;
      case Step::Silence:
        this->group.SilenceLinks();
        this->ExtendDisks(this->Now());
        break;
      case Step::Compact:
        for (const std::size_t each : this->Existing()) {
          this->group.Compact(each);
        }
        break;
      case Step::Burst:
        this->group.Propose(150);
        break;
    }
  }

  void ContinueLeaves()
  {
    for (std::size_t at = 0; at < this->machines.size(); ++at) {
      Machine& machine = this->machines[at];
      if (!machine.isLeaving || machine.isGone) {
        continue;
      }
      if (this->group.IsRunning(at) && this->Now() - machine.leftAt < kStopLimitUs) {
        continue;
      }
      this->group.Crash(at);
      this->Disturb();
      if (machine.returns) {
        machine.isLeaving = false;
        machine.countsUntil = this->Now() + 500 * kMs + kCatchUpUs;
        this->Later(500 * kMs, { 0, Step::StartEmpty, at });
      } else {
        this->group.LoseDisk(at);
        this->SetGone(at);
      }
    }
  }

  std::vector<std::size_t> ChooseVictims(Victims aVictims, std::size_t aCount)
  {
    std::vector<std::size_t> ordered;
    const auto add = [&ordered](std::size_t aInstance) {
      if (std::ranges::find(ordered, aInstance) == ordered.end()) {
        ordered.push_back(aInstance);
      }
    };
    if (aVictims == Victims::LeaderAndNewestVoter) {
      add(this->Resolve(kLeader));
      add(this->Resolve(kNewestVoter));
    } else if (aVictims == Victims::LeaderAndFurthestVoter) {
      const std::size_t leader = this->Resolve(kLeader);
      add(leader);
      std::uint64_t furthest = 0;
      std::size_t found = leader;
      if (RaftNode* node = this->group.Node(leader)) {
        for (const ControlMember& member : this->group.CommittedMembers()) {
          const auto progress = node->Progress().find(member.id);
          if (member.voter && progress != node->Progress().end() &&
              progress->second.matchIndex > furthest) {
            furthest = progress->second.matchIndex;
            found = std::stoul(member.instance.substr(1));
          }
        }
      }
      add(found);
    } else if (aVictims == Victims::OldestVoters) {
      for (const ControlMember& member : this->group.CommittedMembers()) {
        if (member.voter) {
          add(std::stoul(member.instance.substr(1)));
        }
      }
    }
    std::vector<std::size_t> others = this->Existing();
    std::ranges::shuffle(others, this->random);
    for (const std::size_t other : others) {
      add(other);
    }
    // Machines whose disk counts as lost already, and those that leave, are not struck again.
    std::erase_if(ordered, [this](std::size_t aInstance) {
      const Machine& machine = this->machines[aInstance];
      return !machine.exists || machine.isGone || machine.isLeaving ||
             machine.diskCountsUntil > this->Now();
    });
    ordered.resize(std::min(ordered.size(), aCount));
    return ordered;
  }

  void BringBack()
  {
    std::multimap<std::int64_t, std::size_t> back;
    for (const std::size_t at : this->Existing()) {
      Machine& machine = this->machines[at];
      if (machine.isLeaving && !machine.returns) {
        if (!this->group.IsRunning(at)) {
          this->group.LoseDisk(at);
          machine.isGone = true;
        }
        continue;
      }
      machine.isLeaving = false;
      this->group.CancelLeave(at);
      back.emplace(this->Now() + this->Between(300, 1200) * kMs, at);
    }
    for (const auto& [due, at] : back) {
      this->group.Run(std::max<std::int64_t>(0, due - this->Now()));
      this->Start(at);
    }
  }

  FakeGroup group;
  std::mt19937_64 random;
  std::vector<Machine> machines;
  std::multimap<std::int64_t, Planned> planned;
  std::vector<std::size_t> cutOff;
  std::int64_t inTouchSince = 0;
  std::int64_t calmCheckAt = 0;
  std::uint64_t calmIndex = 0;
  std::int64_t proposeAt = 0;
  std::int64_t disturbedUntil = 0;
  std::int64_t leaderSeenAt = 0;
  std::int64_t longestWithoutLeaderUs = 0;
  std::int64_t recoveryUs = 0;
  std::optional<std::string> broken;
};

struct Scenario
{
  const char* name;
  std::vector<Planned> steps;
};

/// The sixth, seventh and eighth machine.
constexpr std::size_t kFirstSpare = kVoters;

std::vector<Scenario> Scenarios()
{
  std::vector<Scenario> scenarios{
    { "nothing", {} },
    { "planned replacement",
      { { 0, Step::StartEmpty, kFirstSpare }, { 500, Step::Leave, kLeader } } },
    { "planned replacement after a rest",
      { { 0, Step::StartEmpty, kFirstSpare }, { 4500, Step::Leave, 1 } } },
    { "gone for good, an empty one 1 s later",
      { { 0, Step::Remove, 1 }, { 1000, Step::StartEmpty, kFirstSpare } } },
    { "leader gone for good, an empty one 2 s later",
      { { 0, Step::Remove, kLeader }, { 2000, Step::StartEmpty, kFirstSpare } } },
    { "two replacements",
      { { 0, Step::StartEmpty, kFirstSpare },
        { 0, Step::StartEmpty, kFirstSpare + 1 },
        { 200, Step::Leave, 0 },
        { 1500, Step::Leave, kLeader } } },
    { "two gone for good, two empty ones",
      { { 0, Step::Remove, 0 },
        { 300, Step::Remove, kLeader },
        { 1300, Step::StartEmpty, kFirstSpare },
        { 1900, Step::StartEmpty, kFirstSpare + 1 } } },
    { "a disk lost, 4 s later the next",
      { { 0, Step::LoseDisk, 2, 700 }, { 4750, Step::LoseDisk, kLeader, 700 } } },
    { "two disks lost", { { 0, Step::LoseDisk, kLeader, 700 }, { 1, Step::LoseDisk, 4, 900 } } },
    { "a machine down, then a disk lost",
      { { 0, Step::Kill, 1, 3500 }, { 1000, Step::LoseDisk, 2, 400 } } },
    { "a machine cut off, then a disk lost",
      { { 0, Step::Isolate, 1 }, { 900, Step::LoseDisk, 2, 400 }, { 3000, Step::Heal } } },
    { "a machine suspended, then a disk lost",
      { { 0, Step::Freeze, 1, 2500 }, { 900, Step::LoseDisk, 2, 400 } } },
    { "snapshot in transfer to a learner",
      { { 0, Step::Burst },
        { 200, Step::Compact },
        { 300, Step::StartEmpty, kFirstSpare },
        { 420, Step::Compact },
        { 450, Step::Leave, 3 } } },
    { "burst", { { 0, Step::Burst }, { 200, Step::Burst }, { 400, Step::Burst } } },
    { "halves",
      { { 0, Step::Split, 3 },
        { 2500, Step::Heal },
        { 3000, Step::Split, 1 },
        { 5000, Step::Heal } } },
    { "silent links and a new machine",
      { { 0, Step::StartEmpty, kFirstSpare }, { 130, Step::Silence }, { 600, Step::Silence } } },
    { "silent links after a lost disk", { { 0, Step::LoseDisk, 3, 300 }, { 450, Step::Silence } } },
    { "all killed after a lost disk", { { 0, Step::LoseDisk, 3, 300 }, { 700, Step::KillAll } } },
  };
  for (const std::size_t count : { kVoters, kVoters + 1, kVoters + kSpares }) {
    Scenario rolling{ count == kVoters       ? "rolling restart of 5"
                      : count == kVoters + 1 ? "rolling restart of 6"
                                             : "rolling restart of 8",
                      {} };
    for (std::size_t at = kVoters; at < count; ++at) {
      rolling.steps.push_back({ 0, Step::StartEmpty, at });
    }
    for (std::size_t at = 0; at < count; ++at) {
      rolling.steps.push_back(
        { 300 + static_cast<std::int64_t>(at) * 1000, Step::LeaveAndReturn, at });
    }
    scenarios.push_back(rolling);
  }
  return scenarios;
}

/// A group of five voters that runs since a while.
Core SettledCore(std::uint64_t aSeed)
{
  Core core(aSeed);
  const std::int64_t end = core.Now() + 20'000 * kMs;
  while (core.Now() < end && core.Group().BearableDiskLosses() < kBearableDisks) {
    core.Run(50 * kMs);
  }
  core.Run(500 * kMs);
  core.ResetMeasurements();
  return core;
}

/// Runs a copy of the core until a command is acknowledged, or not, and strikes it. Returns what
/// broke, if anything.
std::optional<std::string> StrikeCopy(Core aCore, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  aCore.Reseed(random());
  if (random() % 2 == 0) {
    aCore.SuspendTwo(static_cast<std::int64_t>(random() % 200) * kMs);
  }
  aCore.Group().Run(static_cast<std::int64_t>(random() % 8) * kMs);
  if (random() % 3 != 0) {
    const std::size_t before = aCore.Group().Acknowledged();
    aCore.Group().RunUntil(1000 * kMs, [&aCore, before] {
      aCore.Group().Propose(1);
      return aCore.Group().Acknowledged() > before;
    });
  }
  const auto strike = static_cast<Strike>(random() % kStrikeCount);
  const auto victims = static_cast<Victims>(random() % kVictimsCount);
  auto broken = aCore.StrikeAndRecover(strike, victims);
  if (broken) {
    *broken = "strike " + std::to_string(static_cast<int>(strike)) + ", victims " +
              std::to_string(static_cast<int>(victims)) + ": " + *broken;
  }
  return broken;
}

struct Outcome
{
  std::optional<std::string> broken;
  std::int64_t longestWithoutLeaderUs = 0;
};

/// Plays the steps, strikes copies at moments that are kStrikeStrideMs apart, from `aFirstMs` on,
/// and lets the core come to rest.
Outcome Play(const std::vector<Planned>& aSteps, std::uint64_t aSeed, std::int64_t aFirstMs)
{
  Core core = SettledCore(aSeed);
  core.Plan(aSteps);
  Outcome outcome;
  std::uint64_t membersIndex = core.Group().NewestMembersIndex();
  const auto strikeCopies = [&](std::int64_t aMoment, std::uint64_t aCount) {
    for (std::uint64_t number = 0; number < aCount && !outcome.broken; ++number) {
      outcome.broken =
        StrikeCopy(core, aSeed + number * 104'729 + static_cast<std::uint64_t>(aMoment) * 7919);
      if (outcome.broken) {
        *outcome.broken = "at " + std::to_string(aMoment) + " ms, " + *outcome.broken;
      }
    }
  };
  for (std::int64_t moment = 0; moment < kLengthMs && !outcome.broken; moment += kPartMs) {
    if (moment % kStrikeStrideMs == aFirstMs / kPartMs * kPartMs) {
      strikeCopies(moment, 1);
    }
    if (core.Group().NewestMembersIndex() > membersIndex) {
      membersIndex = core.Group().NewestMembersIndex();
      strikeCopies(moment, kStrikesAtChange);
    }
    core.Run(kPartMs * kMs);
    core.Measure();
  }
  core.Run(kRestMs * kMs);
  if (!outcome.broken) {
    outcome.broken = core.Broken();
  }
  if (!outcome.broken && !core.Recovers(kApplyLimitUs)) {
    outcome.broken = core.Group().Violation().value_or("a command is not applied at the end") +
                     "\n " + core.Group().DescribeMembers();
  }
  outcome.longestWithoutLeaderUs = core.LongestWithoutLeader();
  return outcome;
}

/// Draws from all of [`aLow`, `aHigh`) in every run; RapidCheck would start with small values.
template<class Number>
rc::Gen<Number> Uniform(Number aLow, Number aHigh)
{
  return rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aLow, aHigh)));
}

enum class Disturbance : std::uint8_t
{
  Replacement,
  Remove,
  LoseDisk,
  Kill,
  KillAll,
  Freeze,
  Isolate,
  CutOneWay,
  Split,
  Silence,
  Compact,
  Burst,
  LeaveAndReturn,
};
constexpr int kDisturbanceCount = 13;

struct RandomStep
{
  Disturbance kind = Disturbance::Burst;
  std::int64_t at = 0;
  std::int64_t length = 0; ///< Milliseconds, up to 4000.
  std::size_t instance = 0;
};

std::ostream& operator<<(std::ostream& aStream, const RandomStep& aStep)
{
  return aStream << "{kind " << static_cast<int>(aStep.kind) << ", at " << aStep.at
                 << " ms, length " << aStep.length << " ms, instance " << aStep.instance << "}";
}

rc::Gen<RandomStep> GenerateStep()
{
  return rc::gen::build<RandomStep>(
    rc::gen::set(&RandomStep::kind,
                 rc::gen::map(rc::gen::inRange<int>(0, kDisturbanceCount),
                              [](int aKind) { return static_cast<Disturbance>(aKind); })),
    rc::gen::set(&RandomStep::at, rc::gen::inRange<std::int64_t>(0, 6000)),
    rc::gen::set(&RandomStep::length, rc::gen::inRange<std::int64_t>(100, 4000)),
    rc::gen::set(&RandomStep::instance,
                 rc::gen::map(rc::gen::inRange<std::size_t>(0, kVoters + kSpares + 3),
                              [](std::size_t aInstance) {
                                return aInstance < kVoters + kSpares ? aInstance : kLeader;
                              })));
}

std::vector<Planned> ToPlan(const std::vector<RandomStep>& aSteps)
{
  std::vector<Planned> plan;
  std::size_t spare = kFirstSpare;
  for (const RandomStep& step : aSteps) {
    const bool needsSpare =
      step.kind == Disturbance::Replacement || step.kind == Disturbance::Remove;
    if (needsSpare && spare == kVoters + kSpares) {
      continue;
    }
    const std::int64_t end = step.at + step.length;
    switch (step.kind) {
      case Disturbance::Replacement:
        plan.push_back({ step.at, Step::StartEmpty, spare++ });
        plan.push_back({ end, Step::Leave, step.instance });
        break;
      case Disturbance::Remove:
        plan.push_back({ step.at, Step::Remove, step.instance });
        plan.push_back({ step.at + step.length / 2, Step::StartEmpty, spare++ });
        break;
      case Disturbance::LoseDisk:
        plan.push_back({ step.at, Step::LoseDisk, step.instance, step.length / 4 + 200 });
        break;
      case Disturbance::Kill:
        plan.push_back({ step.at, Step::Kill, step.instance, step.length });
        break;
      case Disturbance::KillAll:
        plan.push_back({ step.at, Step::KillAll });
        break;
      case Disturbance::Freeze:
        plan.push_back({ step.at, Step::Freeze, step.instance, step.length });
        break;
      case Disturbance::Isolate:
        plan.push_back({ step.at, Step::Isolate, step.instance });
        plan.push_back({ end, Step::Heal });
        break;
      case Disturbance::CutOneWay:
        plan.push_back({ step.at, Step::CutOneWay, step.instance });
        plan.push_back({ end, Step::Heal });
        break;
      case Disturbance::Split:
        plan.push_back({ step.at, Step::Split, step.instance });
        plan.push_back({ end, Step::Heal });
        break;
      case Disturbance::Silence:
        plan.push_back({ step.at, Step::Silence });
        break;
      case Disturbance::Compact:
        plan.push_back({ step.at, Step::Compact });
        break;
      case Disturbance::Burst:
        plan.push_back({ step.at, Step::Burst });
        break;
      case Disturbance::LeaveAndReturn:
        plan.push_back({ step.at, Step::LeaveAndReturn, step.instance });
        break;
    }
  }
  return plan;
}

} // namespace

// Guards against a group that loses what it acknowledged, or finds no confirmed leader any more,
// after the loss of as many disks as it must bear. The number of runs and the seed are set in
// CMakeLists.txt.
TEST_CASE("A final fault at any moment of a change of members loses nothing")
{
  const std::vector<Scenario> scenarios = Scenarios();
  std::map<std::string, std::int64_t> longestUs;
  rc::prop("nothing is lost, and a confirmed leader comes back", [&scenarios, &longestUs] {
    const auto scenario = *Uniform<std::size_t>(0, scenarios.size()).as("scenario");
    const auto seed = *Uniform<std::uint32_t>(0, UINT32_MAX).as("seed");
    const auto first = *Uniform<std::int64_t>(0, kStrikeStrideMs).as("first moment");
    const Outcome outcome = Play(scenarios[scenario].steps, seed, first);
    std::int64_t& longest = longestUs[scenarios[scenario].name];
    longest = std::max(longest, outcome.longestWithoutLeaderUs);
    if (outcome.broken) {
      RC_FAIL(std::string(scenarios[scenario].name) + ": " + *outcome.broken);
    }
  });
  for (const auto& [name, longest] : longestUs) {
    UNSCOPED_INFO(name << ": at most " << longest / kMs << " ms without a confirmed leader");
  }
  // Printed with the option -s.
  CHECK(longestUs.size() <= scenarios.size());
}

// Guards against a voter that was replaced while its links were silent, and is admitted again only
// after it had no leader for 3 s more.
TEST_CASE("A replaced voter that is in touch again applies what is committed within the calm span")
{
  const std::vector<Planned> steps{ { 0, Step::StartEmpty, kFirstSpare },
                                    { 130, Step::Silence },
                                    { 600, Step::Silence } };
  const auto broken = Play(steps, 777'462'404, 958).broken;
  INFO(broken.value_or(""));
  CHECK_FALSE(broken.has_value());
}

// Guards against the same, and against calm spans without a confirmed leader, under random mixtures
// of everything that may happen to a core.
TEST_CASE("A final fault in random mixtures of disturbances loses nothing")
{
  constexpr std::size_t kMaxSteps = 5;
  std::int64_t longestUs = 0;
  rc::prop("nothing is lost, and a confirmed leader comes back", [&longestUs] {
    const auto seed = *Uniform<std::uint32_t>(0, UINT32_MAX).as("seed");
    const auto first = *Uniform<std::int64_t>(0, kStrikeStrideMs).as("first moment");
    const auto count = *Uniform<std::size_t>(1, kMaxSteps + 1);
    const auto steps = *rc::gen::container<std::vector<RandomStep>>(
                          count, rc::gen::resize(rc::kNominalSize, GenerateStep()))
                          .as("steps");
    const Outcome outcome = Play(ToPlan(steps), seed, first);
    longestUs = std::max(longestUs, outcome.longestWithoutLeaderUs);
    if (outcome.broken) {
      RC_FAIL(*outcome.broken);
    }
  });
  INFO("at most " << longestUs / kMs << " ms without a confirmed leader");
  CHECK(longestUs <= kCalmUs);
}
