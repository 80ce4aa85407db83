#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <ostream>

using namespace oleanderledge;

namespace {

constexpr std::size_t kMemberCount = 5;
constexpr std::size_t kStepCount = 12;
constexpr std::int64_t kRecoveryTimeoutUs = 20'000 * FakeGroup::kMillisecond;

enum class Fault : std::uint8_t
{
  None,
  Propose, ///< Proposes 1 to 17 commands.
  Crash,
  Restart,
  LoseDisk, ///< A crash that empties the disk, and an immediate restart.
  Cut,
  Isolate,
  Heal,   ///< Ends all partitions and message loss.
  Freeze, ///< Suspends an instance for three times Step::milliseconds.
  Loss,   ///< Drops 20 % of all messages until Heal.
  Compact,
  CrashAndRestart, ///< A crash and an immediate restart.
  SplitLeader,     ///< Drops all messages between the leader and two other instances.
  Leave,           ///< A planned stop.
  SlowWrites,      ///< Each write of an instance takes up to three times Step::milliseconds.
};
constexpr std::uint8_t kFaultCount = 13; ///< Without Leave and SlowWrites.

/// Placeholder for the instance that leads when the fault is injected.
constexpr std::size_t kCurrentLeader = kMemberCount;

struct Step
{
  Fault fault = Fault::None;
  std::size_t instance = 0; ///< Index of the affected instance, or kCurrentLeader.
  /// Index of the second affected instance; for Propose, determines the number of commands.
  std::size_t other = 0;
  std::int64_t milliseconds = 0; ///< Simulated time after the fault, until the next step.
};

std::ostream& operator<<(std::ostream& aStream, const Step& aStep)
{
  return aStream << "{fault " << static_cast<int>(aStep.fault) << ", instance " << aStep.instance
                 << ", other " << aStep.other << ", " << aStep.milliseconds << " ms}";
}

/// Generates steps with the first `aFaultCount` kinds of faults.
rc::Gen<Step> GenerateStep(std::uint8_t aFaultCount)
{
  return rc::gen::build<Step>(
    rc::gen::set(&Step::fault,
                 rc::gen::map(rc::gen::inRange<int>(0, aFaultCount),
                              [](int aKind) { return static_cast<Fault>(aKind); })),
    rc::gen::set(&Step::instance, rc::gen::inRange<std::size_t>(0, kCurrentLeader + 1)),
    rc::gen::set(&Step::other, rc::gen::inRange<std::size_t>(0, kMemberCount)),
    rc::gen::set(&Step::milliseconds, rc::gen::inRange<std::int64_t>(0, 400)));
}

void Inject(FakeGroup& aGroup, const Step& aStep)
{
  const std::size_t leader = aGroup.Leader().value_or(0);
  const std::size_t instance = aStep.instance == kCurrentLeader ? leader : aStep.instance;
  switch (aStep.fault) {
    case Fault::None:
      break;
    case Fault::Propose:
      aGroup.Propose(aStep.other * 4 + 1);
      break;
    case Fault::Crash:
      aGroup.Crash(instance);
      break;
    case Fault::Restart:
      aGroup.Restart(instance);
      break;
    case Fault::LoseDisk:
      aGroup.LoseDisk(instance);
      aGroup.Restart(instance);
      break;
    case Fault::Cut:
      aGroup.Cut(instance, aStep.other);
      break;
    case Fault::Isolate:
      aGroup.Isolate(instance);
      break;
    case Fault::Heal:
      aGroup.HealNetwork();
      aGroup.SetLossPerMille(0);
      break;
    case Fault::Freeze:
      aGroup.Freeze(instance, aStep.milliseconds * 3 * FakeGroup::kMillisecond);
      break;
    case Fault::Loss:
      aGroup.SetLossPerMille(200);
      break;
    case Fault::Compact:
      aGroup.Compact(instance);
      break;
    case Fault::CrashAndRestart:
      aGroup.Crash(instance);
      aGroup.Restart(instance);
      break;
    case Fault::SplitLeader:
      aGroup.Cut(leader, instance);
      aGroup.Cut(leader, aStep.other);
      break;
    case Fault::Leave:
      aGroup.Leave(instance);
      break;
    case Fault::SlowWrites:
      aGroup.SetWriteTime(instance, 0, aStep.milliseconds * 3 * FakeGroup::kMillisecond);
      break;
  }
}

/// Ends all faults. Returns true if a new command is committed and applied on every instance in
/// time.
bool Recovers(FakeGroup& aGroup)
{
  aGroup.HealNetwork();
  aGroup.SetLossPerMille(0);
  for (std::size_t at = 0; at < kMemberCount; ++at) {
    aGroup.ResetWriteTime(at);
    aGroup.CancelLeave(at);
    aGroup.Restart(at);
  }
  const std::size_t before = aGroup.Acknowledged();
  const bool commits = aGroup.RunUntil(kRecoveryTimeoutUs, [&aGroup, before] {
    aGroup.Propose(1);
    return aGroup.Acknowledged() > before;
  });
  return commits && aGroup.RunUntil(kRecoveryTimeoutUs, [&aGroup] {
    for (std::size_t at = 0; at < kMemberCount; ++at) {
      if (aGroup.AppliedIndexOf(at) < aGroup.LastCommitted()) {
        return false;
      }
    }
    return true;
  });
}

/// Injects the faults of the steps, then checks safety and recovery.
void CheckHistory(FakeGroup& aGroup, const std::vector<Step>& aSteps)
{
  for (const Step& step : aSteps) {
    Inject(aGroup, step);
    aGroup.Run(step.milliseconds * FakeGroup::kMillisecond);
  }
  if (aGroup.Violation()) {
    RC_FAIL(*aGroup.Violation());
  }
  const bool mustRecover = aGroup.CanHaveQuorum();
  RC_CLASSIFY(mustRecover, "majority kept its disks");
  const bool hasRecovered = !mustRecover || Recovers(aGroup);
  if (aGroup.Violation()) {
    RC_FAIL(*aGroup.Violation());
  }
  RC_ASSERT(hasRecovered);
}

} // namespace

// Guards, under random sequences of faults, against two leaders in one term, two holders of a
// leader lease, lost or changed committed entries, confirmations before the durable write, and a
// group that does not recover although a majority kept its disks. The number of histories and the
// seed are set in CMakeLists.txt; RapidCheck prints the seed of a failure.
TEST_CASE(
  "The log stays safe under crashes, lost disks, partitions, suspended instances and restarts")
{
  rc::prop("safety holds after every event, and the group recovers", [] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()).as("network seed");
    const auto steps =
      *rc::gen::container<std::vector<Step>>(kStepCount, GenerateStep(kFaultCount)).as("steps");
    FakeGroup group(seed, kMemberCount);
    // Before the first commit only the founder has the log, and losing its disk loses the group.
    RC_ASSERT(group.RunUntil(kRecoveryTimeoutUs, [&group] { return group.LastCommitted() > 0; }));
    CheckHistory(group, steps);
  });
}

// Guards against the same faults while voters are replaced by learners, as planned or after a loss.
TEST_CASE("The log stays safe while voters are replaced by learners under faults")
{
  constexpr std::size_t kVoterCount = 3;
  rc::prop("safety holds after every event, and the group recovers", [] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()).as("network seed");
    const auto steps =
      *rc::gen::container<std::vector<Step>>(kStepCount, GenerateStep(kFaultCount + 1)).as("steps");
    FakeGroup group(seed, kVoterCount, kMemberCount - kVoterCount);
    for (std::size_t spare = kVoterCount; spare < kMemberCount; ++spare) {
      group.Restart(spare);
    }
    RC_ASSERT(group.RunUntil(kRecoveryTimeoutUs,
                             [&group] { return group.CommittedMembers().size() == kMemberCount; }));
    CheckHistory(group, steps);
  });
}

// Guards against the same faults while the writes of some instances are slow.
TEST_CASE("The log stays safe while the writes of some instances are slow")
{
  rc::prop("safety holds after every event, and the group recovers", [] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()).as("network seed");
    const auto slow = *rc::gen::container<std::vector<std::int64_t>>(
                         kMemberCount, rc::gen::inRange<std::int64_t>(0, 1000))
                         .as("longest write of each instance");
    const auto steps =
      *rc::gen::container<std::vector<Step>>(kStepCount, GenerateStep(kFaultCount + 2)).as("steps");
    FakeGroup group(seed, kMemberCount);
    RC_ASSERT(group.RunUntil(kRecoveryTimeoutUs, [&group] { return group.LastCommitted() > 0; }));
    for (std::size_t at = 0; at < kMemberCount; ++at) {
      group.SetWriteTime(at, 0, slow[at] * FakeGroup::kMillisecond);
    }
    CheckHistory(group, steps);
  });
}
