#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kSecond = 1000 * FakeGroup::kMillisecond;

bool WaitForLeader(FakeGroup& aGroup)
{
  return aGroup.RunUntil(10 * kSecond, [&aGroup] {
    const auto leader = aGroup.Leader();
    return leader && aGroup.Node(*leader)->IsLeadershipEstablished();
  });
}

/// Suspends each leader for 700 ms, 500 ms to 1 s after it was elected, as slow syncs do.
void RunWithSuspendedLeaders(FakeGroup& aGroup, std::int64_t aMicroseconds, std::uint64_t aSeed)
{
  const std::int64_t pause =
    (500 + static_cast<std::int64_t>(aSeed % 6) * 100) * FakeGroup::kMillisecond;
  std::int64_t left = aMicroseconds;
  const auto run = [&aGroup, &left](std::int64_t aStep) {
    aGroup.Run(std::min(aStep, left));
    left -= std::min(aStep, left);
  };
  while (left > 0) {
    const auto leader = aGroup.Leader();
    run(leader ? pause : 50 * FakeGroup::kMillisecond);
    if (leader && left > 0) {
      aGroup.Freeze(*leader, 700 * FakeGroup::kMillisecond);
      run(700 * FakeGroup::kMillisecond);
    }
  }
}

} // namespace

// Guards against a lost voter that is kept as long as no leader stays for the whole time limit.
TEST_CASE(
  "Two disks can be lost 4 s after the successor of a lost voter started, if leaders change")
{
  constexpr std::size_t kSpare = 5;
  constexpr std::int64_t kCatchUp = 4 * kSecond;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    FakeGroup group(seed, 5, 1);
    REQUIRE(WaitForLeader(group));
    REQUIRE(group.Propose(20) == 20);
    group.Run(kSecond);
    const std::size_t gone = (*group.Leader() + seed % 2) % 5;
    group.Crash(gone);
    RunWithSuspendedLeaders(group, 1500 * FakeGroup::kMillisecond, seed);
    group.Restart(kSpare);
    RunWithSuspendedLeaders(group, kCatchUp, seed);
    const std::size_t before = group.Acknowledged();
    REQUIRE(group.RunUntil(2 * kSecond, [&group, before] {
      group.Propose(1);
      return group.Acknowledged() > before;
    }));
    const std::uint64_t committed = group.LastCommitted();
    const std::size_t leader = group.Leader().value_or(0);
    const std::size_t other = leader == (gone + 1) % 5 ? (gone + 2) % 5 : (gone + 1) % 5;
    for (const std::size_t lost : { leader, other }) {
      group.LoseDisk(lost);
    }
    group.Run(900 * FakeGroup::kMillisecond);
    for (const std::size_t lost : { leader, other }) {
      group.Restart(lost);
    }
    const std::size_t acknowledged = group.Acknowledged();
    CHECK(group.RunUntil(12 * kSecond, [&group, acknowledged] {
      group.Propose(1);
      return group.Acknowledged() > acknowledged;
    }));
    CHECK(group.LastCommitted() > committed);
    CHECK(group.Violation() == std::nullopt);
  }
}
