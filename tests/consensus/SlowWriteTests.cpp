#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kSecond = 1000 * FakeGroup::kMillisecond;

bool WaitForLeader(FakeGroup& aGroup, std::int64_t aMicroseconds)
{
  return aGroup.RunUntil(aMicroseconds, [&aGroup] {
    const auto leader = aGroup.Leader();
    return leader && aGroup.Node(*leader)->IsLeadershipEstablished();
  });
}

} // namespace

// Guards against a group whose elections and leader lease fail because writes take longer than the
// election timeout.
TEST_CASE("A group whose writes are slow elects a leader and keeps it")
{
  constexpr std::size_t kCount = 5;
  const std::int64_t longest =
    GENERATE(as<std::int64_t>(), 100, 300, 500, 700, 1000, 2000) * FakeGroup::kMillisecond;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4, 5, 6, 7, 8);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  for (std::size_t at = 0; at < kCount; ++at) {
    group.SetWriteTime(at, longest / 2, longest);
    group.Crash(at);
  }
  for (std::size_t at = 0; at < kCount; ++at) {
    group.Restart(at);
  }
  INFO("writes of up to " << longest << " us, seed " << seed);
  // A pre-vote, the candidate's own vote, the votes of the others and the first entry; and one more
  // attempt of another candidate.
  REQUIRE(WaitForLeader(group, 2 * (kSecond + 4 * longest)));
  const std::uint64_t term = group.Node(*group.Leader())->Term();
  const std::size_t before = group.Acknowledged();
  for (int round = 0; round < 100; ++round) {
    group.Propose(1);
    group.Run(100 * FakeGroup::kMillisecond);
  }
  CHECK(group.Acknowledged() > before);
  CHECK(group.Node(*group.Leader())->Term() == term);
  CHECK_FALSE(group.Violation());
}

// Guards against a leader that is confirmed by the others but can store, and so acknowledge,
// nothing.
TEST_CASE("A leader whose disk hangs is replaced")
{
  constexpr std::size_t kCount = 5;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4, 5, 6, 7, 8);
  INFO("seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  const std::size_t hanging = *group.Leader();
  group.SetWriteTime(hanging, 60 * kSecond, 60 * kSecond);
  group.Propose(1);
  group.Run(100 * FakeGroup::kMillisecond);
  // The check of its disk, the election timeout, and an election.
  CHECK(group.RunUntil(2 * kSecond, [&group, hanging] {
    const auto leader = group.Leader();
    return leader && *leader != hanging && group.Node(*leader)->IsLeadershipEstablished();
  }));
  const std::size_t before = group.Acknowledged();
  group.Propose(1);
  group.Run(kSecond);
  CHECK(group.Acknowledged() == before + 1);
  CHECK_FALSE(group.Violation());
}

namespace {

/// Restarts all instances, so that their next election has writes of the given times.
void RestartWithWriteTime(FakeGroup& aGroup,
                          std::size_t aCount,
                          std::int64_t aShortest,
                          std::int64_t aLongest)
{
  for (std::size_t at = 0; at < aCount; ++at) {
    aGroup.SetWriteTime(at, aShortest, aLongest);
    aGroup.Crash(at);
  }
  for (std::size_t at = 0; at < aCount; ++at) {
    aGroup.Restart(at);
  }
}

} // namespace

// Guards against a leader that steps down again and again because proposals follow each other
// without a pause, although its disk makes progress.
TEST_CASE("A steady load does not depose a leader whose writes are as slow as those of the others")
{
  constexpr std::size_t kCount = 5;
  const std::int64_t longest =
    GENERATE(as<std::int64_t>(), 100, 300, 600, 1000, 2000) * FakeGroup::kMillisecond;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4, 5, 6);
  const int interval = GENERATE(20, 100);
  INFO("writes of up to " << longest << " us, a command each " << interval << " ms, seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  RestartWithWriteTime(group, kCount, longest / 2, longest);
  REQUIRE(WaitForLeader(group, 20 * kSecond));
  const std::uint64_t term = group.Node(*group.Leader())->Term();
  for (int round = 0; round < 60'000 / interval; ++round) {
    group.Propose(1);
    group.Run(interval * FakeGroup::kMillisecond);
  }
  REQUIRE(WaitForLeader(group, 20 * kSecond));
  CHECK(group.Node(*group.Leader())->Term() == term);
  CHECK_FALSE(group.Violation());
}

// Guards against a limit for the disk of a leader that grows without bound with its last write.
TEST_CASE("A leader whose disk hangs after a slow election is replaced within the recovery time")
{
  constexpr std::size_t kCount = 5;
  const std::int64_t longest =
    GENERATE(as<std::int64_t>(), 1000, 3000, 5000, 8000) * FakeGroup::kMillisecond;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4);
  INFO("writes of up to " << longest << " us, seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  RestartWithWriteTime(group, kCount, longest * 9 / 10, longest);
  REQUIRE(group.RunUntil(200 * kSecond, [&group] { return group.Leader().has_value(); }));
  for (std::size_t at = 0; at < kCount; ++at) {
    group.SetWriteTime(at, FakeGroup::kMillisecond, 2 * FakeGroup::kMillisecond);
  }
  const std::size_t hanging = *group.Leader();
  group.SetWriteTime(hanging, 600 * kSecond, 600 * kSecond);
  group.Run(longest);
  group.Propose(1);
  std::int64_t waited = 0;
  group.RunUntil(60 * kSecond, [&group, hanging, &waited] {
    waited += 10;
    const auto leader = group.Leader();
    return leader && *leader != hanging && group.Node(*leader)->IsLeadershipEstablished();
  });
  CHECK(waited < 12'000);
  CHECK_FALSE(group.Violation());
}

// Guards against a leader that loses its followers because one lost message makes them reject
// requests, and rejections wait for slow writes.
TEST_CASE("Lost messages do not depose a leader while writes are slow")
{
  constexpr std::size_t kCount = 5;
  const std::int64_t longest =
    GENERATE(as<std::int64_t>(), 10, 1000, 2000) * FakeGroup::kMillisecond;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4, 5, 6);
  INFO("writes of up to " << longest << " us, seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  RestartWithWriteTime(group, kCount, longest / 2, longest);
  REQUIRE(WaitForLeader(group, 20 * kSecond));
  const std::uint64_t term = group.Node(*group.Leader())->Term();
  group.SetLossPerMille(10);
  for (int round = 0; round < 300; ++round) {
    group.Propose(1);
    group.Run(200 * FakeGroup::kMillisecond);
  }
  REQUIRE(WaitForLeader(group, 20 * kSecond));
  CHECK(group.Node(*group.Leader())->Term() == term);
  CHECK_FALSE(group.Violation());
}

// Guards against a leadership that moves again and again because of one slower disk.
TEST_CASE("A leader whose writes are slower than those of the others hands over at most once")
{
  constexpr std::size_t kCount = 5;
  const std::int64_t slow =
    GENERATE(as<std::int64_t>(), 200, 400, 800, 1500) * FakeGroup::kMillisecond;
  const auto seed = GENERATE(range<std::uint64_t>(1, 13));
  INFO("writes of up to " << slow << " us, seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  const std::uint64_t term = group.Node(*group.Leader())->Term();
  group.SetWriteTime(*group.Leader(), slow / 2, slow);
  for (int round = 0; round < 3000; ++round) {
    group.Propose(1);
    group.Run(20 * FakeGroup::kMillisecond);
  }
  REQUIRE(WaitForLeader(group, 20 * kSecond));
  CHECK(group.Node(*group.Leader())->Term() <= term + 1);
  CHECK_FALSE(group.Violation());
}

// Guards against a follower that counts as up to date, so that proxies stay with it, although its
// disk hangs and it applies nothing new.
TEST_CASE("A follower whose disk hangs does not report a current leader to its proxies")
{
  constexpr std::size_t kCount = 5;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4);
  INFO("seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  const std::size_t hanging = (*group.Leader() + 1) % kCount;
  group.SetWriteTime(hanging, 60 * kSecond, 60 * kSecond);
  const std::uint64_t before = group.AppliedIndexOf(hanging);
  group.Propose(1);
  group.Run(3 * kSecond);
  REQUIRE(group.LastCommitted() > before);
  const bool isCurrent = group.AppliedIndexOf(hanging) >= group.LastCommitted();
  const RaftNode& node = *group.Node(hanging);
  const Instant now = group.ClockAt(hanging);
  CHECK((isCurrent || !node.HasCurrentLeader(now) || node.IsDiskBehind(now)));
}

// Guards against an older configuration that is read from a leader with a slow disk after a
// follower, which has applied a newer one, has acknowledged it.
TEST_CASE("A leader with a lease has applied what any follower has applied")
{
  constexpr std::size_t kCount = 5;
  const std::int64_t slow = GENERATE(as<std::int64_t>(), 100, 500, 1000) * FakeGroup::kMillisecond;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4);
  INFO("writes of up to " << slow << " us, seed " << seed);
  FakeGroup group(seed, kCount);
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  const std::size_t leader = *group.Leader();
  group.SetWriteTime(leader, slow / 2, slow);
  std::int64_t staleMs = 0;
  for (int command = 0; command < 5; ++command) {
    group.Propose(1);
    for (int at = 0; at < 200; ++at) {
      group.Run(10 * FakeGroup::kMillisecond);
      const bool isStale = group.Node(leader)->HasLeaderLease(group.ClockAt(leader)) &&
                           group.AppliedIndexOf(leader) < group.LastCommitted();
      staleMs += isStale ? 10 : 0;
    }
  }
  CHECK(staleMs == 0);
  CHECK_FALSE(group.Violation());
}

// Guards against a limit on the entries on their way that also counts those that have arrived and
// wait for the disk: commits then fall behind the changes for good.
TEST_CASE("Changes of the configuration are committed within 3 s while writes take up to 1 s")
{
  constexpr std::size_t kCount = 5;
  constexpr std::size_t kCommandBytes = 95'000;
  constexpr std::int64_t kInterval = 150 * FakeGroup::kMillisecond;
  constexpr std::int64_t kApply = 3 * kSecond;
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3, 4);
  INFO("seed " << seed);
  FakeGroup group(seed, kCount, 0, RaftSettings{});
  REQUIRE(WaitForLeader(group, 10 * kSecond));
  for (std::size_t at = 0; at < kCount; ++at) {
    group.SetWriteTime(at, kSecond / 2, kSecond);
  }
  const std::uint64_t first = group.Node(*group.Leader())->Log().LastIndex();
  std::uint64_t late = 0;
  for (std::uint64_t round = 1; round <= 130; ++round) {
    REQUIRE(group.Propose(1, kCommandBytes) == 1);
    group.Run(kInterval);
    const std::uint64_t due = first + round - std::min<std::uint64_t>(round, kApply / kInterval);
    late += group.LastCommitted() < due ? 1 : 0;
  }
  CHECK(late == 0);
  CHECK_FALSE(group.Violation());
}
