#include "tests/control/ServiceHistory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oleanderledge;
using namespace oleanderledge::test;
using namespace std::chrono_literals;

namespace {

void PlayHistory(std::uint32_t aSyncReplicas, int aServers)
{
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
    rc::gen::inRange(0, kServiceFaultCount), rc::gen::inRange(0, 12), rc::gen::inRange(0, 2500)));
  ServiceHistory history(seed, aSyncReplicas, aServers);
  for (const auto& [fault, target, waitMs] : steps) {
    history.Inject(static_cast<ServiceFault>(fault), target);
    history.RunFor(std::chrono::milliseconds(waitMs));
    RC_ASSERT(history.Violation() == "");
  }
  history.Heal();
  RC_ASSERT(history.Violation() == "");
  const std::size_t before = history.AcknowledgedCount();
  history.RunFor(2s);
  RC_LOG(history.Describe());
  RC_ASSERT(history.AcknowledgedCount() > before);
}

} // namespace

// Guards against decisions on a fact that has changed since it was read: positions, reports, the
// set of servers, the reason for a change, or the age of a proxy's directory.
TEST_CASE("No acknowledged commit is lost whatever the order of faults", "[service_history]")
{
  CHECK(rc::check("one replica confirms", [] { PlayHistory(1, 3); }));
  CHECK(rc::check("two of three replicas confirm", [] { PlayHistory(2, 4); }));
}
