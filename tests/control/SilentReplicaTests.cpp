#include "tests/control/ServiceFixture.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

/// The replica "c" is gone for good, and "d" has taken its place at another address.
class ServiceWithLostReplica : public ServiceFixture
{
public:
  ServiceWithLostReplica()
  {
    this->SetSyncReplicas(1);
    this->received["a"] = { 1, 10 };
    this->AddProxy("p1");
    this->AddProxy("p2");
    this->RunFor(3s);
    this->Crash("c");
    this->RunFor(2s);
    this->Start("d", { 1, 10 });
  }

  const BackendRow& RowOf(const std::string& aName) const
  {
    return *this->state.Backends().Find(aName);
  }

  bool IsSettled(const std::string& aName) const
  {
    return this->RowOf(aName).isSilent &&
           this->RowOf(aName).version <= this->RecordedPrimary().settledVersion;
  }

  /// The primary ends, and every control instance with it.
  void LosePrimaryAndLeader()
  {
    this->Crash("a");
    this->coordinator.OnLeadershipLost();
    this->RunFor(900ms);
    this->coordinator.OnLeadershipGained(this->now);
  }
};

} // namespace

// Guards against a service that loses its primary for good because a replica, which has been gone
// for long and has a successor, is still waited for.
TEST_CASE("A replica that is gone for good does not block a later promotion", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  fixture.RunFor(10s);
  REQUIRE(fixture.IsSettled("c"));
  SECTION("the leader stays")
  {
    fixture.Crash("a");
  }
  SECTION("a new leader")
  {
    fixture.LosePrimaryAndLeader();
  }
  SECTION("all processes start again")
  {
    REQUIRE(fixture.state.Restore(fixture.index, fixture.state.Serialize()));
    fixture.proxies.clear();
    fixture.LosePrimaryAndLeader();
  }
  SECTION("another replica is gone for good before")
  {
    fixture.Crash("b");
    fixture.Start("e", { 1, 10 });
    fixture.RunFor(10s);
    fixture.LosePrimaryAndLeader();
  }
  fixture.RunFor(10s);
  REQUIRE(fixture.calls.size() == 1);
  CHECK(fixture.RecordedPrimary().phase == PrimaryPhase::Steady);
  CHECK(fixture.PrimaryName() == fixture.leader);
}

// Guards against a row that an earlier version recorded, which says nothing of silence.
TEST_CASE("A replica that was lost before an upgrade is settled after it", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  REQUIRE_FALSE(fixture.RowOf("c").isSilent);
  fixture.coordinator.OnLeadershipLost();
  fixture.RunFor(60s);
  REQUIRE_FALSE(fixture.RowOf("c").isSilent);
  fixture.coordinator.OnLeadershipGained(fixture.now);
  fixture.RunFor(10s);
  CHECK(fixture.IsSettled("c"));
}

// Guards against a lost commit: a silent replica may go on to receive, and be the only one that
// confirms a commit of the primary.
TEST_CASE("A silent replica counts until no proxy relies on it", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  SECTION("a proxy of an earlier version relies on it")
  {
    fixture.proxies["p2"].isOfEarlierVersion = true;
    fixture.RunFor(20s);
    CHECK(fixture.RowOf("c").isSilent);
    CHECK_FALSE(fixture.IsSettled("c"));
  }
  SECTION("the others lack what the primary had confirmed by then")
  {
    fixture.received["a"] = { 1, 12 };
    fixture.RunFor(20s);
    CHECK(fixture.RowOf("c").isSilent);
    CHECK_FALSE(fixture.IsSettled("c"));
  }
  SECTION("the server that is recorded as primary does not lead")
  {
    fixture.leader = "somebody";
    fixture.registeredAt = fixture.now + 1h;
    for (int step = 0; step < 20; ++step) {
      fixture.Register("a", true);
      fixture.Register("b", false);
      fixture.Register("d", false);
      fixture.RunFor(500ms);
    }
    fixture.registeredAt = fixture.now;
    fixture.leader = "a";
    CHECK(fixture.RowOf("c").isSilent);
    CHECK_FALSE(fixture.IsSettled("c"));
    fixture.received["a"] = { 1, 12 };
  }
  SECTION("the primary is lost before")
  {
    REQUIRE_FALSE(fixture.RowOf("c").isSilent);
  }
  fixture.LosePrimaryAndLeader();
  fixture.RunFor(30s);
  CHECK(fixture.calls.empty());
  // The silent replica is back, with the commits that it alone confirmed.
  fixture.Start("c", { 1, 12 });
  fixture.RunFor(10s);
  REQUIRE(fixture.calls.size() == 1);
  CHECK(fixture.PrimaryName() == "c");
}

// Guards against a lost commit: a proxy that is cut off acknowledges commits for some time after
// its last contact, and a new leader does not know of it.
TEST_CASE("Silence is settled only when proxies out of contact commit nothing more",
          "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  while (!fixture.RowOf("c").isSilent) {
    fixture.RunFor(20ms);
  }
  const Instant recordedAt = fixture.now;
  SECTION("a proxy is cut off")
  {
    fixture.proxies["p2"].isCutOff = true;
  }
  SECTION("the leader is new")
  {
    fixture.proxies.clear();
    fixture.coordinator.OnLeadershipGained(fixture.now);
  }
  while (!fixture.IsSettled("c") && fixture.now < recordedAt + 10s) {
    fixture.RunFor(20ms);
  }
  CHECK(fixture.IsSettled("c"));
  CHECK(fixture.now - recordedAt > kCommitValidity);
}

// Guards against a lost commit: the answer of a replica that is left out of the count stands for
// that of another one that is missing.
TEST_CASE("A silent replica that is back counts on both sides or on neither", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  fixture.RunFor(10s);
  REQUIRE(fixture.IsSettled("c"));
  fixture.Crash("d");
  fixture.Crash("a");
  fixture.received["c"] = { 1, 10 };
  fixture.registeredAt = fixture.now + 1h;
  // Its registrations are heard, and their record is still being replicated.
  for (int step = 0; step < 20; ++step) {
    BackendRow row = fixture.RowOf("c");
    row.sequence = ++fixture.sequence;
    fixture.coordinator.OnRegistration(row, fixture.now);
    fixture.Register("b", false);
    fixture.RunFor(500ms);
  }
  // Of a, b and d, which hold what has been acknowledged, only b answers.
  CHECK(fixture.calls.empty());
}

TEST_CASE("A silent replica that registers again counts as before", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  fixture.RunFor(10s);
  REQUIRE(fixture.IsSettled("c"));
  fixture.Start("c", { 1, 10 });
  CHECK_FALSE(fixture.RowOf("c").isSilent);
  fixture.RunFor(2s);
  fixture.Crash("c");
  fixture.LosePrimaryAndLeader();
  fixture.RunFor(20s);
  CHECK(fixture.calls.empty());
}

// Guards against commits that no proxy may acknowledge: without the silent replicas there are not
// enough servers that could confirm them.
TEST_CASE("Replicas are left out only while enough others are heard of", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  fixture.RunFor(10s);
  REQUIRE(fixture.RowOf("c").isSilent);
  fixture.Crash("b");
  fixture.Crash("d");
  fixture.RunFor(5s);
  CHECK_FALSE(fixture.RowOf("b").isSilent);
  CHECK_FALSE(fixture.RowOf("c").isSilent);
  CHECK_FALSE(fixture.RowOf("d").isSilent);
  fixture.Start("d", { 1, 10 });
  fixture.RunFor(5s);
  CHECK(fixture.RowOf("b").isSilent);
  CHECK(fixture.RowOf("c").isSilent);
}

TEST_CASE("A replica that a proxy reaches is not silent", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  fixture.Report("p3", "c", 0);
  fixture.RunFor(10s);
  CHECK_FALSE(fixture.RowOf("c").isSilent);
}

TEST_CASE("Without replicas that confirm commits none is recorded as silent", "[silent_replica]")
{
  ServiceFixture fixture;
  fixture.RunFor(3s);
  fixture.Crash("c");
  fixture.RunFor(20s);
  CHECK_FALSE(fixture.state.Backends().Find("c")->isSilent);
}

// Guards against a claim to be primary that looks newer than it is because its row was changed.
TEST_CASE("A replaced primary that is recorded as silent is not adopted again", "[silent_replica]")
{
  ServiceWithLostReplica fixture;
  fixture.RunFor(10s);
  fixture.Crash("a");
  fixture.RunFor(20s);
  REQUIRE(fixture.calls.size() == 1);
  const std::string promoted = fixture.PrimaryName();
  CHECK(fixture.RowOf("a").isSilent);
  CHECK_FALSE(fixture.RowOf("a").claimsPrimary);
  fixture.Leave(promoted);
  fixture.RunFor(20s);
  CHECK(fixture.PrimaryName() != "a");
}
