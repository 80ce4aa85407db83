#include "tests/platform/FleetWithOneBackend.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;
using namespace std::chrono_literals;

namespace {

/// A backend server gets no new work later than this after it said that it leaves (I7).
constexpr Duration kDrainTime = 3s;

} // namespace

// Guards against statements that reach the last server of a service after its drain time.
TEST_CASE("A draining primary without a successor gets no new statement after its drain time",
          "[drain]")
{
  FleetWithOneBackend fleet;
  REQUIRE(fleet.Register("draining") == 200);
  const Instant acknowledgedAt = MonotonicNow();
  CHECK(fleet.Read("early").starts_with("DATAROW "));
  REQUIRE(WaitUntil([&] { return MonotonicNow() - acknowledgedAt > kDrainTime; }));
  const std::string answer = fleet.Read("late");
  CHECK(answer.starts_with("ERROR UNAVAIL "));
  CHECK_FALSE(fleet.HasRun("late"));
}
