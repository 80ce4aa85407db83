#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kSecond = 1000 * FakeGroup::kMillisecond;

bool WaitForLeader(FakeGroup& aGroup)
{
  return aGroup.RunUntil(10 * kSecond, [&aGroup] {
    const auto leader = aGroup.Leader();
    return leader && aGroup.Node(*leader)->LeadershipAnnounced();
  });
}

} // namespace

// Guards against a group that cannot start or commit at all.
TEST_CASE("A new group elects a leader and commits on all members")
{
  FakeGroup group(1, 5);
  REQUIRE(WaitForLeader(group));
  REQUIRE(group.Propose(10) == 10);
  group.Run(kSecond);
  CHECK(group.Acknowledged() == 10);
  for (std::size_t at = 0; at < 5; ++at) {
    CHECK(group.AppliedAt(at) == group.LastCommitted());
  }
  CHECK(group.Violation() == std::nullopt);
}
