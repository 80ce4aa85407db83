#include "tests/control/ControlHarness.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// Expected violations. Matched with Equals(), so that a failure prints the violations.
const std::vector<std::string> kNone;

} // namespace

// A new database needs an owner with a lease, the nearest to the primary, and a committed in-sync
// set.
TEST_CASE("A new database gets the nearest owner and its replicas become in sync")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  CHECK(harness.Row().owner == "p1");
  CHECK(harness.Row().primary == "a");
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a failover that takes longer than its target of 3 s, and against a new primary
// from outside the in-sync set.
TEST_CASE("A lost primary is replaced from the in-sync set and the durations are logged")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("a").alive = false;
  const Instant lost = harness.now;
  REQUIRE(harness.RunUntil([&] { return harness.Row().term == 2 && harness.OwnerHasLease(); }));
  REQUIRE(harness.RunUntil([&] { return harness.IsSteadyWith(harness.Row().primary); }));
  CHECK(harness.now - lost < 3s);
  CHECK_FALSE(IsInSync(harness.Row(), "a"));
  harness.Run(500ms);
  const auto lines = harness.LinesOf(LogEvent::FailoverCompleted);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("kind=unplanned detection_ms=") != std::string::npos);
  // The metrics log and the log line must show the same durations.
  const auto failovers = harness.Failovers();
  REQUIRE(failovers.size() == 1);
  const FailoverDurations& parts = failovers[0];
  CHECK(parts.database == harness.Row().name);
  CHECK(lines[0].find(" detection_ms=" + std::to_string(parts.detectionMs) +
                      " lease_ms=" + std::to_string(parts.leaseMs) +
                      " promotion_ms=" + std::to_string(parts.promotionMs) + " publication_ms=" +
                      std::to_string(parts.publicationMs) + " ") != std::string::npos);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

namespace {

/// Loses the leader once, after the database entered a phase, with the next step proposed but not
/// committed.
void LoseLeaderIn(ControlHarness& aHarness, FailoverPhase aPhase, bool aKeepProposals)
{
  aHarness.onCommitted = [&aHarness, aPhase, aKeepProposals] {
    if (aHarness.Row().phase != aPhase) {
      return;
    }
    aHarness.onCommitted = {};
    aHarness.commitsPaused = true;
  };
  REQUIRE(aHarness.RunUntil([&] { return aHarness.commitsPaused; }));
  // Meanwhile the next step is proposed. `aKeepProposals` decides whether it is committed.
  aHarness.Run(1500ms);
  aHarness.LoseLeader(aKeepProposals);
  aHarness.commitsPaused = false;
  aHarness.Run(400ms);
  aHarness.ElectLeader();
}

} // namespace

// Guards against a new leader that decides a term again, or that does not continue a failover,
// after the previous leader was lost between two steps.
TEST_CASE("A failover interrupted in any step by the loss of the leader is completed once")
{
  const FailoverPhase phase = GENERATE(FailoverPhase::Fencing, FailoverPhase::Promoting);
  const bool keepProposals = GENERATE(false, true);
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("a").alive = false;
  LoseLeaderIn(harness, phase, keepProposals);
  REQUIRE(harness.RunUntil([&] { return harness.Row().term == 2 && harness.IsSteadyWith("b"); }));
  harness.Run(3s);
  CHECK(harness.promotions.size() == 1);
  CHECK(harness.Row().term == 2);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// The same for a planned change: the leader is lost between two steps.
TEST_CASE("A planned change interrupted in any step by the loss of the leader is completed once")
{
  const FailoverPhase phase = GENERATE(FailoverPhase::Draining, FailoverPhase::Promoting);
  const bool keepProposals = GENERATE(false, true);
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("a").departing = true;
  LoseLeaderIn(harness, phase, keepProposals);
  REQUIRE(harness.RunUntil([&] { return harness.Row().term == 2 && harness.IsSteadyWith("b"); }));
  CHECK(harness.promotions.size() == 1);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a planned change that moves ownership: the owner stays, under the same epoch.
TEST_CASE("A departing primary is drained and replaced without a change of owner")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  const std::uint64_t epoch = harness.Row().ownerEpoch;
  harness.Slot("a").departing = true;
  REQUIRE(harness.RunUntil([&] { return harness.IsSteadyWith("b"); }));
  CHECK(harness.Row().ownerEpoch == epoch);
  CHECK(harness.promotions.size() == 1);
  CHECK_FALSE(IsInSync(harness.Row(), "a"));
  harness.Run(500ms);
  const auto lines = harness.LinesOf(LogEvent::FailoverCompleted);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("kind=planned") != std::string::npos);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a promotion because of a report from an earlier, abandoned planned change.
// The owner may have written again after it.
TEST_CASE("A drained report is used only if its sender had received the phase")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Proxy("p1").followsDirectory = false;
  harness.Proxy("p1").claimsDrained = true;
  harness.Slot("a").departing = true;
  REQUIRE(harness.RunUntil([&] { return harness.Row().phase == FailoverPhase::Draining; }));
  harness.Run(2s);
  CHECK(harness.promotions.empty());
  harness.Proxy("p1").followsDirectory = true;
  CHECK(harness.RunUntil([&] { return harness.IsSteadyWith("b"); }));
}

// Guards against two leases at the same time: the leader that granted the lease is lost, and the
// restarted process makes the old owner count as dead at once. The lease may still be in use.
TEST_CASE("A new leader waits out the lease of an owner that has restarted")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  const Instant end = harness.Proxy("p1").lease.end;
  const std::uint64_t epoch = harness.Row().ownerEpoch;
  harness.RestartProxy("p1");
  harness.LoseLeader(false);
  harness.ElectLeader();
  REQUIRE(harness.RunUntil([&] { return harness.Row().ownerEpoch > epoch; }));
  CHECK(harness.now >= end);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against slots that stay in the directory after they departed.
TEST_CASE("A departed replica is marked silent and later removed")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("c").departing = true;
  REQUIRE(harness.RunUntil([&] { return FindSlot(harness.Row(), "c")->departing; }));
  harness.Slot("c").alive = false;
  REQUIRE(harness.RunUntil([&] { return FindSlot(harness.Row(), "c")->silent; }, 3s));
  CHECK(harness.RunUntil([&] { return FindSlot(harness.Row(), "c") == nullptr; }, 60s));
  CHECK(harness.Row().primary == "a");
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against the loss of acknowledged writes: after the replicas were removed from the in-sync
// set, only the lost primary has all of them, so no replica may be promoted.
TEST_CASE("A database whose in-sync set shrank to the lost primary waits for that slot")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("b").alive = false;
  harness.Slot("c").alive = false;
  REQUIRE(harness.RunUntil([&] { return harness.Row().inSync.size() == 1; }));
  harness.Run(500ms);
  harness.Slot("a").alive = false;
  harness.Slot("b").alive = true;
  harness.Slot("c").alive = true;
  REQUIRE(harness.RunUntil([&] { return harness.Row().phase == FailoverPhase::Waiting; }));
  harness.Run(10s);
  CHECK(harness.Row().phase == FailoverPhase::Waiting);
  CHECK(harness.promotions.empty());
  CHECK(harness.OwnerHasLease());
  harness.Slot("a").alive = true;
  CHECK(harness.RunUntil([&] { return harness.IsSteadyWith("a"); }));
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a needless failover: if only the owner cannot reach a primary that announces
// itself, ownership moves instead.
TEST_CASE("Ownership moves if only the owner cannot reach the primary")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Proxy("p1").unreachable.insert("a");
  REQUIRE(harness.RunUntil([&] { return harness.Row().owner == "p2" && harness.OwnerHasLease(); }));
  harness.Run(5s);
  CHECK(harness.Row().owner == "p2");
  CHECK(harness.promotions.empty());
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a primary that announces itself but answers no calls: it must be replaced,
// although its announcements arrive.
TEST_CASE("A primary that two owners in turn cannot reach is replaced")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("a").answersCalls = false;
  harness.Proxy("p1").unreachable.insert("a");
  harness.Proxy("p2").unreachable.insert("a");
  REQUIRE(harness.RunUntil([&] { return harness.Row().term == 2; }));
  CHECK(harness.RunUntil([&] { return harness.IsSteadyWith(harness.Row().primary); }));
  CHECK(harness.promotions.size() == 1);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// If a zone fails, owner and primary are lost together. The failover must still take less than its
// target of 3 s.
TEST_CASE("A primary lost together with its owner is replaced within the target")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Proxy("p1").alive = false;
  harness.Slot("a").alive = false;
  const Instant lost = harness.now;
  REQUIRE(harness.RunUntil([&] { return harness.IsSteadyWith("b"); }));
  CHECK(harness.now - lost < 3s);
  CHECK(harness.Row().owner == "p2");
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against flapping: repeated failures must not make the database change its primary in a
// loop.
TEST_CASE("Two unplanned failovers of a database are at least two seconds apart")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("a").alive = false;
  REQUIRE(harness.RunUntil([&] { return harness.Row().term == 2; }));
  const Instant first = harness.now;
  harness.Slot("a").alive = true;
  REQUIRE(harness.RunUntil([&] { return harness.IsSteadyWith("b"); }));
  harness.RunUntilSteady();
  harness.Slot("b").alive = false;
  REQUIRE(harness.RunUntil([&] { return harness.Row().term == 3; }));
  CHECK(harness.now - first >= 2s);
  CHECK(harness.RunUntil([&] { return harness.IsSteadyWith(harness.Row().primary); }));
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a failover that waits forever for a slot that does not confirm its promotion.
TEST_CASE("Another slot of the in-sync set is promoted if the first one never confirms")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.writes = false;
  harness.Slot("b").answersCalls = false;
  harness.Slot("a").alive = false;
  REQUIRE(harness.RunUntil([&] { return harness.IsSteadyWith("c"); }));
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against two leases at the same time: an owner that cannot reach the control leader may
// still use its lease, also if an earlier leader granted it.
TEST_CASE("An owner cut off from control is replaced only after its lease has ended")
{
  const bool changeLeader = GENERATE(false, true);
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Proxy("p1").connected = false;
  const Instant end = harness.Proxy("p1").lease.end;
  if (changeLeader) {
    harness.LoseLeader(false);
    harness.Run(300ms);
    harness.ElectLeader();
  }
  REQUIRE(harness.RunUntil([&] { return harness.Row().owner == "p2"; }));
  CHECK(harness.now >= end);
  CHECK(harness.RunUntil([&] { return harness.OwnerHasLease(); }));
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against two leases at the same time: the old process counts as dead at once, but its lease
// may still be in use.
TEST_CASE("A restarted owner gets its databases back under a new epoch after the old lease")
{
  ControlHarness harness;
  harness.Proxy("p2").alive = false;
  harness.RunUntilSteady();
  const std::uint64_t epoch = harness.Row().ownerEpoch;
  const Instant end = harness.Proxy("p1").lease.end;
  harness.RestartProxy("p1");
  REQUIRE(harness.RunUntil([&] { return harness.Row().ownerEpoch > epoch; }));
  CHECK(harness.now >= end);
  CHECK(harness.Row().ownerIncarnation == 2);
  CHECK(harness.RunUntil([&] { return harness.OwnerHasLease(); }));
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a proxy that stops while it owns databases: once it is leaving, ownership must
// move within the length of a lease, 1 s.
TEST_CASE("A leaving owner hands its databases over")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Proxy("p1").instance.leaving = true;
  const Instant start = harness.now;
  REQUIRE(harness.RunUntil([&] { return harness.Row().owner == "p2" && harness.OwnerHasLease(); }));
  CHECK(harness.now - start < 1s);
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a lease of which a new leader does not know: the change of owner is committed, but
// the old leader does not learn of it and would renew the lease of the old owner.
TEST_CASE("A lease is not renewed while a change of owner may be committed")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Proxy("p1").connected = false;
  harness.commitsPaused = true;
  harness.Run(2500ms);
  harness.Proxy("p1").connected = true;
  harness.Run(500ms);
  CHECK(harness.Proxy("p1").lease.end < harness.now);
  harness.LoseLeader(true);
  harness.ElectLeader();
  harness.commitsPaused = false;
  CHECK(harness.RunUntil([&] { return harness.Row().owner == "p2" && harness.OwnerHasLease(); }));
  CHECK_THAT(harness.violations, Catch::Matchers::Equals(kNone));
}

// Guards against a replaced primary that still announces itself and would become primary again.
TEST_CASE("Announcements of an old term change nothing")
{
  ControlHarness harness;
  harness.RunUntilSteady();
  harness.Slot("a").alive = false;
  REQUIRE(harness.RunUntil([&] { return harness.IsSteadyWith("b"); }));
  ControlState& state = harness.state;
  const std::uint64_t term = harness.Row().term;
  ControlLeader observer(state, ControlTimings{});
  ControlActions actions;
  observer.OnLeadershipGained(harness.now, actions);
  Announcement old;
  old.service = "ledger";
  old.database = "orders";
  old.slot = "a";
  old.zone = "region/a";
  old.address = "address-a";
  old.isPrimary = true;
  old.term = 1;
  old.incarnation = 9;
  for (old.sequence = 1; old.sequence <= 3; ++old.sequence) {
    CHECK(IsAccepted(observer.OnAnnouncement(old, harness.now, actions)));
  }
  old.sequence = 2;
  CHECK(observer.OnAnnouncement(old, harness.now, actions) == IncarnationVerdict::OldSequence);
  bool wasLogged = false;
  for (const ControlAction& action : actions) {
    const auto* line = std::get_if<LogAction>(&action);
    wasLogged = wasLogged || (line != nullptr && line->event == LogEvent::AnnouncementOldTerm);
    const auto* propose = std::get_if<ProposeAction>(&action);
    if (propose != nullptr) {
      CHECK(std::holds_alternative<UpdateSlot>(propose->command));
    }
  }
  CHECK(wasLogged);
  CHECK(harness.Row().term == term);
  CHECK(harness.Row().primary == "b");
}
