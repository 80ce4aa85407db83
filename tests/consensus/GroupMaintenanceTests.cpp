#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Instant kStart{ std::chrono::seconds(100) };
constexpr Instant kElected = kStart + std::chrono::seconds(1);

ControlMember Voter(const std::string& aId, const std::string& aInstance)
{
  return { aId, aInstance, "127.0.0.1:1", true };
}

/// Returns member "a" as the leader of `aMembers`; all others have confirmed the whole log.
RaftNode LeaderOf(const std::vector<ControlMember>& aMembers)
{
  const PersistBatch batch = RaftNode::FoundingBatch(aMembers);
  RaftNode node("a",
                RaftSettings{},
                { batch.hardState, std::nullopt, batch.entries },
                std::mt19937_64(7),
                kStart);
  node.OnTick(kElected);
  for (const bool preVote : { true, false }) {
    const std::uint64_t term = node.Term() + (preVote ? 1 : 0);
    for (const ControlMember& member : aMembers) {
      node.OnMessage(VoteReply{ term, member.id, true, preVote }, kElected);
    }
    node.OnPersisted(100, kElected);
  }
  for (const ControlMember& member : aMembers) {
    node.OnMessage(AppendReply{ node.Term(), member.id, true, 2, 1 }, kElected);
  }
  REQUIRE(node.IsLeadershipEstablished());
  return node;
}

/// Delivers replies of `aMembers` to requests that were sent at `aNow`.
void Confirm(RaftNode& aNode, std::initializer_list<const char*> aMembers, Instant aNow)
{
  for (const char* member : aMembers) {
    const auto round = static_cast<std::uint64_t>((aNow - kElected).count()) + 1;
    aNode.OnMessage(AppendReply{ aNode.Term(), member, true, aNode.Log().LastIndex(), round },
                    aNow);
  }
}

GroupMaintenance MaintenanceFor(std::size_t aTargetVoterCount)
{
  GroupMaintenanceSettings settings;
  settings.targetVoterCount = aTargetVoterCount;
  GroupMaintenance maintenance(settings);
  maintenance.OnLeadershipGained(kElected);
  return maintenance;
}

} // namespace

// Guards against removing an unreachable voter when no learner can replace it, which would leave
// the group with one copy of the log less.
TEST_CASE("An unreachable voter is kept while no learner has caught up")
{
  RaftNode node = LeaderOf({ Voter("a", "1"), Voter("b", "2"), Voter("c", "3") });
  GroupMaintenance maintenance = MaintenanceFor(3);
  const Instant now = kElected + std::chrono::milliseconds(500);
  Confirm(node, { "b" }, now);
  CHECK_FALSE(maintenance.NextChange(node, now + std::chrono::seconds(60)).has_value());
}

// Guards against replacing a voter that may return instead of one whose data folder is lost.
TEST_CASE("A voter whose instance has a new member id is replaced before an unreachable one")
{
  RaftNode node = LeaderOf({ Voter("a", "1"),
                             Voter("b", "2"),
                             Voter("c", "3"),
                             Voter("e", "5"),
                             Voter("f", "6"),
                             { "d", "3", "127.0.0.1:1", false } });
  GroupMaintenance maintenance = MaintenanceFor(5);
  Instant now = kElected;
  // "b" and "c" do not reply for longer than lostVoterTimeout.
  for (int halfSecond = 1; halfSecond <= 30; ++halfSecond) {
    now = kElected + std::chrono::milliseconds(500 * halfSecond);
    Confirm(node, { "d", "e", "f" }, now);
  }
  const auto changed = maintenance.NextChange(node, now);
  REQUIRE(changed);
  REQUIRE(FindMember(*changed, "c") != nullptr);
  CHECK(FindMember(*changed, "c")->replacement == ReplacementPart::Outgoing);
  REQUIRE(FindMember(*changed, "b") != nullptr);
  CHECK(FindMember(*changed, "b")->replacement == ReplacementPart::None);
  CHECK(IsVoter(*changed, "b"));
  REQUIRE(FindMember(*changed, "d") != nullptr);
  CHECK(FindMember(*changed, "d")->replacement == ReplacementPart::Incoming);
  // The change is completed once it is committed. The lost member is removed.
  node.ChangeMembers(1, *changed, now);
  CHECK_FALSE(maintenance.NextChange(node, now).has_value());
  node.OnPersisted(101, now);
  Confirm(node, { "d", "e", "f" }, now);
  const auto completed = maintenance.NextChange(node, now);
  REQUIRE(completed);
  CHECK(FindMember(*completed, "c") == nullptr);
  CHECK(IsVoter(*completed, "d"));
  CHECK_FALSE(IsReplacementInProgress(*completed));
}

// Guards against a voter that stops as planned and is replaced only after it was silent for
// lostVoterTimeout, which leaves the group with one copy of the log less until then.
TEST_CASE("A voter that is about to stop is replaced at once and stays as a learner")
{
  RaftNode node = LeaderOf(
    { Voter("a", "1"), Voter("b", "2"), Voter("c", "3"), { "d", "4", "127.0.0.1:1", false } });
  GroupMaintenance maintenance = MaintenanceFor(3);
  const Instant now = kElected + std::chrono::milliseconds(500);
  Confirm(node, { "b", "c", "d" }, now);
  CHECK_FALSE(maintenance.NextChange(node, now).has_value());
  maintenance.OnLeaveRequest("b", now);
  const auto changed = maintenance.NextChange(node, now);
  REQUIRE(changed);
  CHECK(FindMember(*changed, "b")->replacement == ReplacementPart::Outgoing);
  CHECK(FindMember(*changed, "d")->replacement == ReplacementPart::Incoming);
  node.ChangeMembers(1, *changed, now);
  node.OnPersisted(101, now);
  // "a" and "d" are a majority of the new voters, but not of the old ones.
  Confirm(node, { "d" }, now);
  CHECK(node.MembershipChangePending());
  Confirm(node, { "c" }, now);
  const auto completed = maintenance.NextChange(node, now);
  REQUIRE(completed);
  REQUIRE(FindMember(*completed, "b") != nullptr);
  CHECK_FALSE(IsVoter(*completed, "b"));
  CHECK(IsVoter(*completed, "d"));
  node.ChangeMembers(2, *completed, now);
  node.OnPersisted(102, now);
  Confirm(node, { "c", "d" }, now);
  // It is not promoted again.
  CHECK_FALSE(maintenance.NextChange(node, now).has_value());
}

// Guards against an instance with two members that vote, the older of which is lost for good: if it
// loses its data folder once more, the group has lost two voters.
TEST_CASE("An instance that lost its data folder takes over its own vote, not that of another")
{
  RaftNode node = LeaderOf(
    { Voter("a", "1"), Voter("b", "2"), Voter("c", "3"), { "d", "3", "127.0.0.1:1", false } });
  GroupMaintenance maintenance = MaintenanceFor(3);
  const Instant soon = kElected + std::chrono::milliseconds(500);
  Confirm(node, { "b", "d" }, soon);
  maintenance.OnLeaveRequest("b", soon);
  CHECK_FALSE(maintenance.NextChange(node, soon).has_value());
  const Instant later = kElected + std::chrono::milliseconds(1100);
  Confirm(node, { "b", "d" }, later);
  const auto changed = maintenance.NextChange(node, later);
  REQUIRE(changed);
  CHECK(FindMember(*changed, "c")->replacement == ReplacementPart::Outgoing);
  CHECK(FindMember(*changed, "d")->replacement == ReplacementPart::Incoming);
}

// Guards against a list that grows with each instance that is replaced, and against the removal of
// a learner before it could reply.
TEST_CASE("A learner is removed after lostLearnerTimeout, counted from its admission")
{
  RaftNode node = LeaderOf({ Voter("a", "1"), { "d", "4", "127.0.0.1:1", false } });
  GroupMaintenance maintenance = MaintenanceFor(1);
  const Instant admitted = kElected + std::chrono::seconds(60);
  CHECK_FALSE(maintenance.NextChange(node, admitted).has_value());
  CHECK_FALSE(maintenance.NextChange(node, admitted + std::chrono::seconds(10)).has_value());
  const auto changed = maintenance.NextChange(node, admitted + std::chrono::seconds(11));
  REQUIRE(changed);
  CHECK(FindMember(*changed, "d") == nullptr);
}

TEST_CASE("Only the completion of a replacement is accepted while it is in progress")
{
  const std::vector<ControlMember> members{ Voter("a", "1"),
                                            Voter("b", "2"),
                                            Voter("c", "3"),
                                            { "d", "4", "127.0.0.1:1", false },
                                            { "e", "5", "127.0.0.1:1", false } };
  std::vector<ControlMember> started = members;
  started[1].replacement = ReplacementPart::Outgoing;
  started[3].voter = true;
  CHECK_FALSE(CheckMembershipChange(members, started));
  started[3].replacement = ReplacementPart::Incoming;
  CHECK(CheckMembershipChange(members, started));
  const auto decoded = DecodeMembers(EncodeMembers(started));
  REQUIRE(decoded);
  CHECK(decoded.value() == started);
  std::vector<ControlMember> promoted = started;
  promoted[4].voter = true;
  CHECK_FALSE(CheckMembershipChange(started, promoted));
  CHECK_FALSE(CheckMembershipChange(started, members));
  CHECK(CheckMembershipChange(started, WithReplacementCompleted(started, true)));
  CHECK(CheckMembershipChange(started, WithReplacementCompleted(started, false)));
}

// Guards against a group that removes voters one after another because targetVoterCount is set too
// low.
TEST_CASE("No voter is removed from a group that has more voters than its target")
{
  RaftNode node = LeaderOf(
    { Voter("a", "1"), Voter("b", "2"), Voter("c", "3"), { "d", "4", "127.0.0.1:1", false } });
  GroupMaintenance maintenance = MaintenanceFor(0);
  Instant now = kElected;
  for (int halfSecond = 1; halfSecond <= 30; ++halfSecond) {
    now = kElected + std::chrono::milliseconds(500 * halfSecond);
    Confirm(node, { "b", "d" }, now);
  }
  CHECK_FALSE(maintenance.NextChange(node, now).has_value());
}

// Guards against a member that joins as a voter before it has the log.
TEST_CASE("A member that requests to join is admitted as a learner")
{
  RaftNode node = LeaderOf({ Voter("a", "1"), Voter("b", "2"), Voter("c", "3") });
  GroupMaintenance maintenance = MaintenanceFor(3);
  JoinRequest request;
  request.memberId = "d";
  request.instance.id = "4";
  request.instance.linkAddress = "127.0.0.1:4";
  maintenance.OnJoinRequest(request, kElected);
  const auto changed = maintenance.NextChange(node, kElected);
  REQUIRE(changed);
  REQUIRE(FindMember(*changed, "d") != nullptr);
  CHECK_FALSE(IsVoter(*changed, "d"));
  // A request that is not repeated is dropped.
  CHECK_FALSE(maintenance.NextChange(node, kElected + std::chrono::seconds(4)).has_value());
}

// Guards against a lost member that is admitted after its successor, because its request was
// delayed: the successor would count as the older one and never vote.
TEST_CASE("A request to join is not granted while another member of the instance replies")
{
  RaftNode node = LeaderOf(
    { Voter("a", "1"), Voter("b", "2"), Voter("c", "3"), { "c2", "3", "127.0.0.1:3", false } });
  GroupMaintenance maintenance = MaintenanceFor(3);
  const auto request = [&maintenance](const char* aId, const char* aInstance, Instant aNow) {
    JoinRequest message;
    message.memberId = aId;
    message.instance.id = aInstance;
    message.instance.linkAddress = std::string("127.0.0.1:") + aInstance;
    maintenance.OnJoinRequest(message, aNow);
  };
  const Instant now = kElected + std::chrono::milliseconds(100);
  Confirm(node, { "b", "c2" }, now);
  request("c1", "3", now);
  request("a0", "1", now);
  CHECK_FALSE(maintenance.NextChange(node, now).has_value());
  // Others are admitted meanwhile.
  request("d", "4", now);
  const auto others = maintenance.NextChange(node, now);
  REQUIRE(others);
  CHECK(FindMember(*others, "d") != nullptr);
  CHECK(FindMember(*others, "c1") == nullptr);
  CHECK(FindMember(*others, "a0") == nullptr);
  // "c2" does not reply any more: its instance may have lost its disk again.
  const Instant later = now + std::chrono::milliseconds(600);
  request("c3", "3", later);
  const auto changed = maintenance.NextChange(node, later);
  REQUIRE(changed);
  CHECK(FindMember(*changed, "c3") != nullptr);
}

// Guards against a running member that never votes, because the instance is heard and so keeps a
// lost member that was admitted after it.
TEST_CASE("A lost learner that was admitted after its successor is removed")
{
  RaftNode node = LeaderOf({ Voter("a", "1"),
                             Voter("b", "2"),
                             Voter("c", "3"),
                             { "c2", "3", "127.0.0.1:3", false },
                             { "c1", "3", "127.0.0.1:3", false } });
  GroupMaintenance maintenance = MaintenanceFor(3);
  std::optional<std::vector<ControlMember>> changed;
  for (Instant now = kElected; now < kElected + std::chrono::seconds(30) && !changed;
       now += std::chrono::milliseconds(100)) {
    Confirm(node, { "b", "c2" }, now);
    maintenance.Observe(
      node, [now](const std::string&) { return std::optional<Instant>(now); }, now);
    changed = maintenance.NextChange(node, now);
  }
  REQUIRE(changed);
  CHECK(FindMember(*changed, "c1") == nullptr);
  CHECK(FindMember(*changed, "c2") != nullptr);
}

// Guards against the same when neither member is on the list yet.
TEST_CASE("Of two requests of one instance to join, the later one counts")
{
  for (const auto& [earlier, later] : { std::pair("d1", "d2"), std::pair("d2", "d1") }) {
    RaftNode node = LeaderOf({ Voter("a", "1"), Voter("b", "2"), Voter("c", "3") });
    GroupMaintenance maintenance = MaintenanceFor(3);
    for (const char* id : { earlier, later }) {
      JoinRequest request;
      request.memberId = id;
      request.instance.id = "4";
      request.instance.linkAddress = "127.0.0.1:4";
      maintenance.OnJoinRequest(request, kElected);
    }
    const auto changed = maintenance.NextChange(node, kElected);
    REQUIRE(changed);
    CHECK(FindMember(*changed, later) != nullptr);
    CHECK(FindMember(*changed, earlier) == nullptr);
    node.ChangeMembers(1, *changed, kElected);
    node.OnPersisted(101, kElected);
    Confirm(node, { "b", "c" }, kElected);
    CHECK_FALSE(maintenance.NextChange(node, kElected).has_value());
  }
}

// Guards against a member that stops requesting to join although another leader discarded its
// admission: requests of that leader still arrive, addressed to an earlier identity of its
// instance.
TEST_CASE("A member requests to join until its admission is committed")
{
  const std::vector<ControlMember> members{ Voter("a", "1"), { "d", "2", "127.0.0.1:1", false } };
  const PersistBatch batch = RaftNode::FoundingBatch(members);
  RaftNode node("d",
                RaftSettings{},
                { batch.hardState, std::nullopt, batch.entries },
                std::mt19937_64(7),
                kStart);
  GroupMaintenance maintenance = MaintenanceFor(3);
  node.OnMessage(AppendRequest{ 1, "a", 1, 1, 0, 1, {} }, kElected);
  REQUIRE(node.HasCurrentLeader(kElected));
  CHECK(maintenance.ShouldRequestJoin(node, kElected));
  node.OnMessage(AppendRequest{ 1, "a", 1, 1, 1, 1, {} }, kElected);
  CHECK_FALSE(maintenance.ShouldRequestJoin(node, kElected));
}
