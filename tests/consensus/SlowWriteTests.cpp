#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

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
