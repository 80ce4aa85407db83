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
    rc::gen::inRange(0, kPassingFaultCount), rc::gen::inRange(0, 12), rc::gen::inRange(0, 2500)));
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

/// Servers may end for good, after which the service need not be served.
void PlayHistoryWithLostServers(std::uint32_t aSyncReplicas, int aServers)
{
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto fault = rc::gen::weightedOneOf<int>(
    { { 2, rc::gen::inRange(0, kServiceFaultCount) },
      { 1,
        rc::gen::elementOf(std::vector<int>{ static_cast<int>(ServiceFault::ServerGone),
                                             static_cast<int>(ServiceFault::ProxyKilled),
                                             static_cast<int>(ServiceFault::ReplicaDeaf),
                                             static_cast<int>(ServiceFault::ServerSilentLong),
                                             static_cast<int>(ServiceFault::ServerSilent) }) } });
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
    rc::gen::tuple(fault, rc::gen::inRange(0, 12), rc::gen::inRange(0, 4000)));
  ServiceHistory history(seed, aSyncReplicas, aServers);
  for (const auto& [kind, target, waitMs] : steps) {
    history.Inject(static_cast<ServiceFault>(kind), target);
    history.RunFor(std::chrono::milliseconds(waitMs));
    RC_ASSERT(history.Violation() == "");
  }
  history.Heal();
  RC_LOG(history.Describe());
  RC_ASSERT(history.Violation() == "");
}

/// After any passing faults, a replica and later the primary are gone for good, the latter together
/// with some proxies and the leader. There is time to settle the loss of the replica.
void PlayLossOfReplicaThenPrimary()
{
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
    rc::gen::inRange(0, kPassingFaultCount), rc::gen::inRange(0, 12), rc::gen::inRange(0, 2500)));
  const auto waitMs = *rc::gen::inRange(8000, 20000);
  const bool losesLeader = *rc::gen::arbitrary<bool>();
  const int killedProxies = *rc::gen::inRange(0, 4);
  ServiceHistory history(seed, 1, 3);
  for (const auto& [fault, target, eachMs] : steps) {
    history.Inject(static_cast<ServiceFault>(fault), target);
    history.RunFor(std::chrono::milliseconds(eachMs));
  }
  history.Heal();
  history.EndForGood(history.AnyReplica());
  history.RunFor(std::chrono::milliseconds(waitMs));
  history.EndForGood(history.Primary());
  if (losesLeader) {
    history.Inject(ServiceFault::LeaderLost, 0);
  }
  for (int proxy = 0; proxy < killedProxies; ++proxy) {
    history.Inject(ServiceFault::ProxyKilled, proxy);
  }
  history.RunFor(15s);
  const std::size_t before = history.AcknowledgedCount();
  history.RunFor(2s);
  RC_LOG(history.Describe());
  RC_ASSERT(history.Violation() == "");
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

// Guards against a server that is gone for good, and silent like one that goes on to confirm
// commits: either it blocks every later promotion, or commits that only it holds are lost.
TEST_CASE("No acknowledged commit is lost when servers end for good", "[service_history]")
{
  CHECK(rc::check("one replica confirms", [] { PlayHistoryWithLostServers(1, 3); }));
  CHECK(rc::check("two of three replicas confirm", [] { PlayHistoryWithLostServers(2, 4); }));
}

TEST_CASE("A service is served after a replica and later its primary have ended for good",
          "[service_history]")
{
  CHECK(rc::check(PlayLossOfReplicaThenPrimary));
}
