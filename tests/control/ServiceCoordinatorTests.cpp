#include "tests/control/ServiceFixture.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace oleanderledge::test;
using namespace std::chrono_literals;

TEST_CASE("The server that registers as primary is adopted without a promotion", "[services]")
{
  ServiceFixture fixture;
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.calls.empty());
  fixture.RunFor(10s);
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.calls.empty());
}

TEST_CASE("A primary that no proxy reaches is replaced within 1.5 s", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 800);
  fixture.Report("p2", "a", 900);
  fixture.Report("p1", "b", 0);
  fixture.RunFor(1500ms);
  REQUIRE(fixture.calls.size() == 1);
  CHECK(fixture.PrimaryName() == "b");
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
}

// Guards against a promotion because of a single proxy that is cut off from the primary.
TEST_CASE("A primary that another proxy reaches stays", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 5000);
  fixture.Report("p2", "a", 0);
  fixture.RunFor(10s);
  CHECK(fixture.calls.empty());
}

// Guards against a promotion on the smaller side of a network partition: the old primary would then
// refuse the writes of the larger side, where most proxies are.
TEST_CASE("A primary that is unreachable together with most proxies stays at first", "[services]")
{
  ServiceFixture fixture;
  for (const char* proxy : { "p1", "p2", "p3" }) {
    InstanceInfo instance;
    instance.id = proxy;
    fixture.Commit(RegisterInstance{ instance });
  }
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 3000);
  fixture.RunFor(5s);
  CHECK(fixture.calls.empty());
  fixture.RunFor(5s);
  CHECK(fixture.calls.size() == 1);
}

// Guards against the adoption of a replaced primary because of its last registration as primary.
TEST_CASE("An old claim does not undo a promotion", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 3000);
  fixture.Report("p1", "b", 0);
  fixture.RunFor(1500ms);
  REQUIRE(fixture.calls.size() == 1);
  fixture.RunFor(20s);
  CHECK(fixture.calls.size() == 1);
  CHECK(fixture.PrimaryName() == "b");
}

// Guards against the loss of commits that only the replica with the highest position has.
TEST_CASE("The replica that has received most is promoted", "[services]")
{
  ServiceFixture fixture;
  fixture.received = { { "b", { 1, 10 } }, { "c", { 1, 12 } } };
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(100ms);
  CHECK(fixture.PrimaryName() == "c");
}

TEST_CASE("A promotion does not wait for a replica that does not return its position", "[services]")
{
  ServiceFixture fixture;
  fixture.received = { { "b", { 1, 10 } } };
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(400ms);
  CHECK(fixture.PrimaryName() == "b");
}

// Guards against the loss of a commit that only a replica that does not answer has confirmed.
TEST_CASE("If replicas confirm commits, no promotion happens without enough of their positions",
          "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.received = { { "b", { 1, 10 } } };
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Register("a", true, true);
  fixture.RunFor(2s);
  CHECK(fixture.calls.empty());
  fixture.received["c"] = { 1, 11 };
  fixture.RunFor(1s);
  CHECK(fixture.PrimaryName() == "c");
}

// Guards against a promotion that loses acknowledged commits: positions were compared while the
// primary still acknowledged commits, so a replica with an equal position could lack later ones.
TEST_CASE("If replicas confirm commits, positions decide once no proxy commits on the old primary",
          "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.Report("p2", "a", 0);
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(200ms);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Closing);
  CHECK(fixture.PrimaryName() == "a");
  // The last commits reach only "c".
  fixture.received["c"] = { 1, 12 };
  fixture.reports["p1"]["a"].closedVersion = fixture.RecordedPrimary().version;
  fixture.RunFor(400ms);
  CHECK(fixture.calls.empty());
  fixture.reports["p2"]["a"].closedVersion = fixture.RecordedPrimary().version;
  fixture.RunFor(100ms);
  REQUIRE(fixture.calls.size() == 1);
  CHECK(fixture.PrimaryName() == "c");
}

// Guards against a service without a primary because of one proxy that is out of contact.
TEST_CASE("A proxy that does not end its commits delays a promotion only for a time", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(1s);
  CHECK(fixture.calls.empty());
  fixture.RunFor(1s);
  CHECK(fixture.calls.size() == 1);
}

// Guards against a proxy that lost its link shortly before, is not waited for, and commits on the
// old primary after the positions were read.
TEST_CASE("A proxy that reported shortly before may still commit and is waited for", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.Report("p2", "a", 0);
  fixture.RunFor(2s);
  fixture.reports.erase("p2");
  fixture.RunFor(1100ms);
  fixture.Register("a", true, true);
  fixture.RunFor(60ms);
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Closing);
  fixture.reports["p1"]["a"].closedVersion = fixture.RecordedPrimary().version;
  fixture.RunFor(200ms);
  CHECK(fixture.calls.empty());
  fixture.RunFor(200ms);
  CHECK(fixture.calls.size() == 1);
}

// Guards against the same with a proxy that was in contact with the previous leader only.
TEST_CASE("A new leader waits for proxies that it does not know", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(60ms);
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Closing);
  fixture.coordinator.OnLeadershipGained(fixture.now);
  fixture.reports["p1"]["a"].closedVersion = fixture.RecordedPrimary().version;
  fixture.RunFor(1300ms);
  CHECK(fixture.calls.empty());
  fixture.RunFor(400ms);
  CHECK(fixture.calls.size() == 1);
}

// Guards against a promotion that loses acknowledged commits: a replica that had left did not count
// any more, so the position of the other one seemed to be enough.
TEST_CASE("A replica that left may hold commits that the others lack", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.received = { { "b", { 1, 20 } }, { "c", { 1, 10 } } };
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.Leave("b");
  fixture.RunFor(100ms);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 5000);
  fixture.RunFor(10s);
  CHECK(fixture.calls.empty());
  // A new server at its address has its log.
  BackendRow successor = fixture.state.Backends().Backends().at("b");
  successor.name = "d";
  successor.startedUnixMs = 2;
  fixture.Commit(UpdateBackend{ successor });
  fixture.coordinator.OnRegistration(successor, fixture.now);
  fixture.received["d"] = { 1, 20 };
  fixture.RunFor(2s);
  CHECK(fixture.PrimaryName() == "d");
}

// Guards against a service that stays without a primary because of a replica that left long ago.
TEST_CASE("A replica that left does not count once the others have caught up", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.received = { { "a", { 1, 20 } }, { "b", { 1, 20 } }, { "c", { 1, 10 } } };
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.Leave("b");
  fixture.RunFor(1s);
  CHECK(fixture.RecordedPrimary().settledVersion == 0);
  fixture.received["a"] = { 1, 25 };
  fixture.received["c"] = { 1, 20 };
  fixture.RunFor(1s);
  CHECK(fixture.RecordedPrimary().settledVersion > 0);
  fixture.received.erase("a");
  fixture.live.erase("a");
  fixture.Report("p1", "a", 5000);
  fixture.RunFor(4s);
  CHECK(fixture.PrimaryName() == "c");
}

// Guards against a replica that drains and is not asked although it may hold the newest commits.
TEST_CASE("A server is not promoted while a replica that drains is ahead of it", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.received = { { "b", { 1, 10 } }, { "c", { 1, 20 } } };
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.Register("c", false, true);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 5000);
  fixture.RunFor(4s);
  CHECK(fixture.calls.empty());
  fixture.received["b"] = { 1, 20 };
  fixture.RunFor(2s);
  CHECK(fixture.PrimaryName() == "b");
}

// Guards against a service that stays without commits because its positions cannot be read.
TEST_CASE("The old primary goes on if no successor can be chosen after its commits were ended",
          "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Register("a", true, true);
  fixture.RunFor(200ms);
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Closing);
  fixture.received.erase("b");
  for (int part = 0; part < 4; ++part) {
    fixture.RunFor(1s);
    fixture.Register("a", true, true);
  }
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.calls.empty());
}

// Guards against a promotion for a silence that has ended: the reason was not looked at again while
// the proxies ended their commits.
TEST_CASE("A primary that answers again while commits are ended on it goes on", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.LosePrimary();
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Closing);
  fixture.live.insert("a");
  fixture.Report("p1", "a", 0);
  fixture.RunFor(40ms);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  fixture.RunFor(4s);
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.calls.empty());
}

// Guards against the same where the primary answers while the decision is being committed.
TEST_CASE("A primary that answers again before the promotion call goes on", "[services]")
{
  ServiceFixture fixture;
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.LosePrimary();
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Promoting);
  REQUIRE(fixture.calls.empty());
  fixture.live.insert("a");
  fixture.Report("p1", "a", 0);
  fixture.RunFor(4s);
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.calls.empty());
}

// Guards against a new leader that keeps a lost primary because it has no reports about it yet.
TEST_CASE("A new leader that takes over the end of commits replaces a lost primary", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.LosePrimary();
  const std::uint64_t closing = fixture.RecordedPrimary().version;
  fixture.coordinator.OnLeadershipGained(fixture.now);
  fixture.RunFor(1s);
  CHECK(fixture.RecordedPrimary().version == closing);
  fixture.RunFor(3s);
  CHECK(fixture.calls.size() == 1);
  CHECK(fixture.PrimaryName() != "a");
}

// Guards against the promotion of the first server that is reinstated, while the one that leads is
// reinstated later and has more.
TEST_CASE("Servers that are reinstated one after the other are compared before one is promoted",
          "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.received = { { "a", { 1, 20 } }, { "b", { 1, 10 } }, { "c", { 1, 10 } } };
  const auto reinstate = [&fixture](const char* aName) {
    BackendRow row = fixture.state.Backends().Backends().at(aName);
    row.sequence = ++fixture.sequence;
    fixture.coordinator.OnReinstated(row, fixture.now);
    fixture.Commit(ReinstateBackend{ row, row.version });
  };
  fixture.live.clear();
  for (const char* name : { "a", "b", "c" }) {
    fixture.Commit(RemoveBackend{ name, 1 });
  }
  fixture.RunFor(4s);
  REQUIRE(fixture.calls.empty());
  fixture.Commit(
    DecideServicePrimary{ "ledger", fixture.RecordedPrimary().version, "x", "control-1" });
  reinstate("b");
  fixture.RunFor(1s);
  reinstate("a");
  reinstate("c");
  fixture.RunFor(2s);
  REQUIRE_FALSE(fixture.calls.empty());
  CHECK(fixture.calls.front().backend == "a");
  CHECK(fixture.PrimaryName() == "a");
}

TEST_CASE("A primary that drains is replaced at once", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(100ms);
  CHECK(fixture.calls.size() == 1);
  CHECK(fixture.PrimaryName() != "a");
}

// Guards against a service that is never served again: after a promotion, a primary that started
// again as a replica was not replaced.
TEST_CASE("A primary that was promoted and reports itself as a replica is replaced", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  fixture.RunFor(1s);
  const std::string promoted = fixture.PrimaryName();
  REQUIRE(promoted != "a");
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  fixture.RunFor(4s);
  REQUIRE(fixture.calls.size() == 1);
  fixture.leader.clear();
  fixture.Register(promoted, false);
  fixture.RunFor(1s);
  CHECK(fixture.calls.size() == 2);
  CHECK(fixture.PrimaryName() != promoted);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
}

// Guards against a primary that an earlier version recorded when the platform accepted its
// promotion, and that never led: it stayed the recorded one.
TEST_CASE("A recorded primary that never led is replaced by the server that leads", "[services]")
{
  ServiceFixture fixture;
  fixture.received = { { "a", { 1, 20 } }, { "b", { 1, 10 } }, { "c", { 1, 10 } } };
  fixture.RunFor(2s);
  const std::uint64_t version = fixture.RecordedPrimary().version;
  fixture.Commit(DecideServicePrimary{ "ledger", version, "b", "control-0" });
  fixture.Commit(ConfirmServicePrimary{ "ledger", fixture.RecordedPrimary().fence });
  fixture.RunFor(5s);
  CHECK(fixture.leader == "a");
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
}

// Guards against a drained service whose log does not tell why nothing was promoted.
TEST_CASE("The lack of a candidate is logged once, with the reason for each server", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.live = { "a" };
  fixture.RunFor(5s);
  fixture.Register("b", false, true);
  fixture.Register("a", true, true);
  fixture.RunFor(5s);
  CHECK(fixture.calls.empty());
  const auto count =
    std::ranges::count(fixture.logged, LogEvent::ServiceWithoutCandidate, &LogAction::event);
  REQUIRE(count == 1);
  CHECK(
    fixture.logged.back().detail ==
    "service=ledger primary=a reason=draining version=4 servers=a:draining,b:draining,c:silent");
}

// Guards against a decision by positions that were read long before: the primary answered again
// before it was replaced, and later crashed while the best replica of then received nothing.
TEST_CASE("Positions that were read for one decision are not used for the next", "[services]")
{
  ServiceFixture fixture;
  fixture.Report("p1", "b", 0);
  fixture.RunFor(2s);
  // The primary is silent until the positions are asked for, but not until the decision.
  fixture.received.clear();
  fixture.Report("p1", "a", 800);
  fixture.live.erase("a");
  while (fixture.openQueries.empty()) {
    fixture.RunFor(20ms);
  }
  fixture.Report("p1", "a", 0);
  fixture.live.insert("a");
  fixture.Register("a", true);
  fixture.RunFor(20ms);
  for (const QueryPositionAction& query : fixture.openQueries) {
    const std::uint64_t offset = query.backend.name == "b" ? 12 : 10;
    fixture.coordinator.OnPosition(
      query.backend.name, query.round, ServerPosition{ { 1, offset }, false });
  }
  fixture.RunFor(10s);
  CHECK(fixture.calls.empty());
  // Now "c" has received more.
  fixture.received = { { "b", { 1, 12 } }, { "c", { 1, 30 } } };
  fixture.live.erase("a");
  fixture.Report("p1", "a", 5000);
  fixture.RunFor(4s);
  REQUIRE_FALSE(fixture.calls.empty());
  CHECK(fixture.PrimaryName() == "c");
}

// Guards against an answer to an earlier query that is taken for one to the present query.
TEST_CASE("A late answer to an earlier position query is ignored", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.received = { { "b", { 1, 10 } } };
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Register("a", true, true);
  fixture.RunFor(100ms);
  REQUIRE(fixture.OpenRoundsOf("c").size() == 1);
  REQUIRE(fixture.OpenRoundsOf("b").empty());
  const std::uint64_t first = fixture.OpenRoundsOf("c").front();
  // The newest query is answered, and commits end on the old primary. Then "c" does not answer
  // again.
  fixture.RunFor(300ms);
  fixture.coordinator.OnPosition(
    "c", fixture.OpenRoundsOf("c").back(), ServerPosition{ { 1, 10 }, false });
  fixture.RunFor(100ms);
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Closing);
  fixture.coordinator.OnPosition("c", first, ServerPosition{ { 1, 10 }, false });
  fixture.RunFor(1s);
  CHECK(fixture.calls.empty());
}

// Guards against two control instances that promote under the same fence, and against a fence that
// decreases.
TEST_CASE("A new leader repeats an unconfirmed decision under a higher fence", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.answer = PromotionOutcome::Unanswered;
  fixture.Register("a", true, true);
  fixture.RunFor(100ms);
  REQUIRE_FALSE(fixture.calls.empty());
  const PromoteBackendAction first = fixture.calls.back();
  fixture.calls.clear();
  ServiceCoordinator successor(fixture.state, "control-2", {});
  successor.OnLeadershipGained(fixture.now);
  ControlActions actions;
  successor.OnTick(fixture.now, actions);
  for (const ControlAction& action : actions) {
    CHECK_FALSE(std::holds_alternative<PromoteBackendAction>(action));
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      fixture.Commit(propose->command);
    }
  }
  CHECK(fixture.RecordedPrimary().holder == "control-2");
  CHECK(fixture.RecordedPrimary().fence > first.fence);
}

// Guards against the loss of commits that the decided server has: a new leader had the first server
// by name promoted, without asking for positions.
TEST_CASE("A new leader keeps the server that was decided before", "[services]")
{
  ServiceFixture fixture;
  fixture.received = { { "b", { 1, 10 } }, { "c", { 1, 12 } } };
  fixture.RunFor(2s);
  fixture.answer = PromotionOutcome::Unanswered;
  fixture.Register("a", true, true);
  fixture.RunFor(100ms);
  REQUIRE(fixture.PrimaryName() == "c");
  fixture.TakeOver();
  CHECK(fixture.PrimaryName() == "c");
  CHECK(fixture.RecordedPrimary().holder == "control-2");
}

// Guards against a second promotion after the first one was carried out, but its answer went to a
// leader that had ended.
TEST_CASE("A new leader accepts a decided server that leads", "[services]")
{
  ServiceFixture fixture;
  fixture.received = { { "b", { 1, 10 } }, { "c", { 1, 12 } } };
  fixture.RunFor(2s);
  fixture.answer = PromotionOutcome::Unanswered;
  fixture.Register("a", true, true);
  fixture.RunFor(100ms);
  REQUIRE(fixture.PrimaryName() == "c");
  fixture.Register("c", true);
  const std::vector<ControlCommand> commands = fixture.TakeOver();
  REQUIRE(commands.size() == 1);
  CHECK(std::holds_alternative<ConfirmServicePrimary>(commands.front()));
  CHECK(fixture.PrimaryName() == "c");
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
}

// Guards against the same loss if the decided server has ended meanwhile.
TEST_CASE("A new leader asks for positions if the decided server has ended", "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.RunFor(2s);
  fixture.live.erase("a");
  fixture.Report("p1", "a", 3000);
  fixture.reports["p1"]["a"].closedVersion = 0;
  fixture.answer = PromotionOutcome::Unanswered;
  fixture.RunFor(4s);
  REQUIRE(fixture.RecordedPrimary().phase == PrimaryPhase::Promoting);
  fixture.Commit(RemoveBackend{ fixture.PrimaryName(), 1 });
  CHECK(fixture.TakeOver().empty());
}

// Guards against commits on the old primary that are acknowledged between the platform's answer and
// the lead of the new primary, which lacks them.
TEST_CASE("A change of primary ends when the new primary leads, not when the platform answers",
          "[services]")
{
  ServiceFixture fixture;
  fixture.SetSyncReplicas(1);
  fixture.Report("p1", "a", 0);
  fixture.RunFor(2s);
  fixture.LosePrimary();
  while (fixture.calls.empty()) {
    fixture.RunFor(20ms);
  }
  const std::string successor = fixture.PrimaryName();
  fixture.leadsAt = fixture.now + 900ms;
  fixture.RunFor(880ms);
  CHECK(fixture.leader == "a");
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Promoting);
  fixture.RunFor(60ms);
  CHECK(fixture.leader == successor);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  CHECK(fixture.calls.size() == 1);
}

// Guards against a service that stays without commits because the chosen server ends before it
// leads.
TEST_CASE("Another server is chosen if an accepted promotion does not take place", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.Register("a", true, true);
  while (fixture.calls.empty()) {
    fixture.RunFor(20ms);
  }
  fixture.leadsAt = fixture.now + 100s;
  fixture.RunFor(2400ms);
  CHECK(fixture.calls.size() == 1);
  fixture.RunFor(1s);
  REQUIRE(fixture.calls.size() == 2);
  CHECK(fixture.calls[0].backend != fixture.calls[1].backend);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  CHECK(fixture.leader == fixture.PrimaryName());
}

// Guards against a service that stays without commits because the chosen server leads already and
// its registrations change nothing, and against commits on it while another one is still to lead
// after an earlier call.
TEST_CASE("The promotion of the present primary ends after a time in which others would lead",
          "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.Commit(
    DecideServicePrimary{ "ledger", fixture.RecordedPrimary().version, "a", "control-1" });
  fixture.RunFor(960ms);
  REQUIRE(fixture.calls.size() == 1);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Promoting);
  fixture.RunFor(1300ms);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  CHECK(fixture.PrimaryName() == "a");
  CHECK(fixture.calls.size() == 1);
}

TEST_CASE("An unanswered promotion is repeated under the same fence", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.answer = PromotionOutcome::Unanswered;
  fixture.Register("a", true, true);
  fixture.RunFor(500ms);
  REQUIRE(fixture.calls.size() >= 2);
  CHECK(fixture.calls[0].fence == fixture.calls[1].fence);
  CHECK(fixture.calls[0].backend == fixture.calls[1].backend);
}

TEST_CASE("After a refused promotion another server is chosen", "[services]")
{
  ServiceFixture fixture;
  fixture.RunFor(2s);
  fixture.answer = PromotionOutcome::Refused;
  fixture.Register("a", true, true);
  fixture.RunFor(300ms);
  REQUIRE(fixture.calls.size() >= 2);
  CHECK(fixture.calls[0].backend != fixture.calls[1].backend);
  CHECK(fixture.calls[0].fence < fixture.calls[1].fence);
}
