#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kMs = FakeGroup::kMillisecond;
constexpr std::int64_t kSecond = 1000 * kMs;
/// A configuration with some hundred routes.
constexpr std::size_t kCommandBytes = 95'000;
constexpr std::size_t kStateBytes = 150'000;
/// A window of 64 KiB and a round trip of 25 ms.
constexpr std::int64_t kBytesPerSecond = 2'600'000;
constexpr std::int64_t kDelayBetweenRegions = 12 * kMs;
/// `catch_up_s` and `recovery_s` of the deployments.
constexpr std::int64_t kCatchUp = 4 * kSecond;
constexpr std::int64_t kRecovery = 12 * kSecond;

/// Proposes a change of the configuration each 150 ms.
void ChangeFor(FakeGroup& aGroup, std::int64_t aMicroseconds)
{
  for (const std::int64_t end = aGroup.Now() + aMicroseconds; aGroup.Now() < end;) {
    aGroup.Propose(1, kCommandBytes);
    aGroup.Run(150 * kMs);
  }
}

/// Five voters in different regions that have stored 600 changes of the configuration.
class GroupWithLongHistory
{
public:
  GroupWithLongHistory()
  {
    this->group.SetExtraDelay(kDelayBetweenRegions);
    this->group.SetStateBytes(kStateBytes);
    REQUIRE(this->group.RunUntil(10 * kSecond, [this] { return this->group.Propose(1) == 1; }));
    ChangeFor(this->group, 90 * kSecond);
    REQUIRE(this->group.LastCommitted() > 590);
    this->group.SetBytesPerSecond(kBytesPerSecond);
  }

  /// An instance that does not lead.
  std::size_t Follower() const { return (this->group.Leader().value_or(0) + 1) % 5; }

  FakeGroup group{ 7, 5, 0, RaftSettings{} };
};

/// Keeps all entries in memory, so that members that lag receive no snapshots.
RaftSettings WithoutSnapshots()
{
  RaftSettings settings;
  settings.retainedBytes = SIZE_MAX;
  return settings;
}

/// True if the member that runs on an instance votes in the committed list.
bool IsVoting(FakeGroup& aGroup, std::size_t aInstance)
{
  return IsVoter(aGroup.CommittedMembers(), aGroup.Node(aInstance)->Self());
}

} // namespace

// Guards against a vote that stays with a lost disk for as long as the history takes to transfer.
TEST_CASE_METHOD(GroupWithLongHistory,
                 "A voter that lost its disk is replaced within 4 s after a long history")
{
  const std::size_t lost = this->Follower();
  this->group.LoseDisk(lost);
  ChangeFor(this->group, kSecond);
  this->group.Restart(lost);
  ChangeFor(this->group, kCatchUp);
  CHECK(IsVoting(this->group, lost));
  CHECK(this->group.BearableDiskLosses() == 2);
  CHECK(this->group.Violation() == std::nullopt);
}

// Guards against a group that ends with two further lost disks, as in issue 41.
TEST_CASE_METHOD(GroupWithLongHistory,
                 "Two more disks can be lost 4 s after a lost disk, after a long history")
{
  const std::size_t first = this->Follower();
  this->group.LoseDisk(first);
  ChangeFor(this->group, kSecond);
  this->group.Restart(first);
  ChangeFor(this->group, kCatchUp);
  const std::size_t leader = this->group.Leader().value_or(0);
  const std::size_t other = (first + 1) % 5 == leader ? (first + 2) % 5 : (first + 1) % 5;
  for (const std::size_t lost : { leader, other }) {
    this->group.LoseDisk(lost);
  }
  for (std::size_t at = 0; at < 5; ++at) {
    this->group.Crash(at);
  }
  this->group.Run(600 * kMs);
  for (std::size_t at = 0; at < 5; ++at) {
    this->group.Restart(at);
  }
  const std::size_t before = this->group.Acknowledged();
  CHECK(this->group.RunUntil(kRecovery, [this, before] {
    this->group.Propose(1);
    return this->group.Acknowledged() > before;
  }));
  CHECK(this->group.Violation() == std::nullopt);
}

// Guards against entries that are sent again with each rejected request while they are on their
// way, and against queues that delay heartbeats beyond the election timeout.
TEST_CASE("A follower on a slow connection receives what it lacks once and hears the leader")
{
  FakeGroup group(7, 5, 0, WithoutSnapshots());
  group.SetExtraDelay(kDelayBetweenRegions);
  REQUIRE(group.RunUntil(10 * kSecond, [&group] { return group.Propose(1) == 1; }));
  group.Run(kSecond);
  const std::size_t follower = (group.Leader().value_or(0) + 1) % 5;
  group.Crash(follower);
  constexpr std::size_t kMissing = 100;
  REQUIRE(group.Propose(kMissing, kCommandBytes) == kMissing);
  group.Run(2 * kSecond);
  group.SetBytesPerSecond(kBytesPerSecond);
  const std::int64_t sentBefore = group.ContentBytesSentTo(follower);
  const std::uint64_t last = group.LastCommitted();
  group.Restart(follower);
  group.Run(kSecond);
  constexpr std::int64_t kMissingBytes = kMissing * kCommandBytes;
  std::int64_t withoutLeader = 0;
  const std::int64_t start = group.Now();
  while (group.AppliedIndexOf(follower) < last && group.Now() - start < 20 * kSecond) {
    group.Run(10 * kMs);
    const RaftNode& node = *group.Node(follower);
    withoutLeader += node.HasCurrentLeader(group.ClockAt(follower)) ? 0 : 10 * kMs;
  }
  CHECK(group.AppliedIndexOf(follower) >= last);
  CHECK(group.Now() - start < 2 * kMissingBytes * kSecond / kBytesPerSecond);
  CHECK(group.ContentBytesSentTo(follower) - sentBefore < 2 * kMissingBytes);
  CHECK(withoutLeader == 0);
  CHECK(group.Violation() == std::nullopt);
}

// Guards against pieces of a snapshot that are sent again while they are on their way: they fill
// the connection, so that the transfer takes ever longer and may never end.
TEST_CASE(
  "A voter that lost its disk is replaced within 4 s with a large state on a slow connection")
{
  constexpr std::size_t kLargeState = 2'000'000;
  constexpr std::int64_t kSlow = kBytesPerSecond / 2;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4);
  INFO("seed " << seed);
  FakeGroup group(seed, 5, 0, RaftSettings{});
  group.SetExtraDelay(kDelayBetweenRegions);
  group.SetStateBytes(kLargeState);
  REQUIRE(group.RunUntil(10 * kSecond, [&group] { return group.Propose(1) == 1; }));
  ChangeFor(group, 10 * kSecond);
  group.SetBytesPerSecond(kSlow);
  ChangeFor(group, 2 * kSecond);
  const std::size_t lost = (group.Leader().value_or(0) + 1) % 5;
  group.LoseDisk(lost);
  ChangeFor(group, kSecond);
  group.Restart(lost);
  const std::int64_t sentBefore = group.ContentBytesSentTo(lost);
  ChangeFor(group, kCatchUp);
  CHECK(IsVoting(group, lost));
  CHECK(group.ContentBytesSentTo(lost) - sentBefore < kCatchUp / kSecond * kSlow);
  CHECK(group.Violation() == std::nullopt);
}
