#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kMs = FakeGroup::kMillisecond;
constexpr std::int64_t kSecond = 1000 * kMs;
/// Time after the return of an instance within which its loss no longer counts.
constexpr std::int64_t kCatchUp = 4 * kSecond;
constexpr Instant kStart{ std::chrono::seconds(100) };

bool WaitForLeader(FakeGroup& aGroup)
{
  return aGroup.RunUntil(10 * kSecond, [&aGroup] {
    const auto leader = aGroup.Leader();
    return leader && aGroup.Node(*leader)->IsLeadershipEstablished();
  });
}

bool KnowsOwnAdmission(FakeGroup& aGroup, std::size_t aInstance)
{
  const RaftNode& node = *aGroup.Node(aInstance);
  return FindMember(node.Log().MembersAt(node.CommitIndex()), node.Self()) != nullptr;
}

bool IsListed(FakeGroup& aGroup, const std::string& aMember)
{
  return FindMember(aGroup.CommittedMembers(), aMember) != nullptr;
}

enum class Outage : std::uint8_t
{
  Suspended,
  CutOff,
  RestartedWithSnapshot,
};

/// An instance loses its disk and comes back; as soon as its new member knows its admission, it is
/// gone again for longer than lostLearnerTimeout, so that it is removed from the list. Returns the
/// number of disks that the group can lose kCatchUp after its second return.
int BearableLossesAfterOutage(FakeGroup& aGroup, Outage aOutage, std::int64_t aDown)
{
  // With links, a restarted process has forgotten when it last had a leader.
  aGroup.UseLinks(5);
  for (std::size_t at = 0; at < 5; ++at) {
    aGroup.SetSeeds(at, { 0, 1, 2 });
  }
  REQUIRE(WaitForLeader(aGroup));
  REQUIRE(aGroup.Propose(20) == 20);
  aGroup.Run(kSecond);
  const std::size_t lost = (*aGroup.Leader() + 1) % 5;
  aGroup.LoseDisk(lost);
  aGroup.Run(aDown);
  aGroup.Restart(lost);
  REQUIRE(aGroup.RunUntil(2 * kSecond, [&] { return KnowsOwnAdmission(aGroup, lost); }));
  const std::string successor = aGroup.Node(lost)->Self();
  constexpr std::int64_t kOutage = 12 * kSecond;
  switch (aOutage) {
    case Outage::Suspended:
      aGroup.Freeze(lost, kOutage);
      aGroup.Run(kOutage);
      break;
    case Outage::CutOff:
      aGroup.Isolate(lost);
      aGroup.Run(kOutage);
      aGroup.HealNetwork();
      break;
    case Outage::RestartedWithSnapshot:
      aGroup.Compact(lost);
      aGroup.Run(30 * kMs);
      aGroup.Crash(lost);
      aGroup.Run(kOutage);
      aGroup.Restart(lost);
      break;
  }
  INFO("the successor " << successor << (IsListed(aGroup, successor) ? " is" : " is not")
                        << " listed when it is back");
  aGroup.RunUntil(kCatchUp, [&aGroup] { return aGroup.BearableDiskLosses() == 2; });
  UNSCOPED_INFO(aGroup.DescribeMembers());
  return aGroup.BearableDiskLosses();
}

std::vector<ControlMember> GroupWithSuccessor()
{
  // "b2" is the new member of the instance of "b1", which is lost.
  return { { "a", "1", "127.0.0.1:1", true },
           { "b1", "2", "127.0.0.1:2", true },
           { "c", "3", "127.0.0.1:3", true },
           { "b2", "2", "127.0.0.1:2", false } };
}

PersistentState StateOf(const PersistBatch& aBatch)
{
  return { aBatch.hardState, std::nullopt, aBatch.entries };
}

RaftNode StartNode(const std::string& aSelf, PersistentState aStored, RaftSettings aSettings = {})
{
  return { aSelf, aSettings, std::move(aStored), std::mt19937_64(7), kStart };
}

/// The messages of `aActions` to a member.
std::vector<Message> MessagesTo(const std::string& aMember, const RaftActions& aActions)
{
  std::vector<Message> found;
  for (const RaftAction& action : aActions) {
    const auto* send = std::get_if<SendAction>(&action);
    if (send != nullptr && send->to == aMember) {
      found.push_back(send->message);
    }
  }
  return found;
}

/// Returns member "a" as the leader, with all its writes durable, and what it sent when it was
/// elected.
std::pair<RaftNode, RaftActions> ElectedLeader(PersistentState aStored, RaftSettings aSettings)
{
  RaftNode node = StartNode("a", std::move(aStored), aSettings);
  const Instant now = kStart + std::chrono::seconds(1);
  node.OnTick(now);
  const std::uint64_t term = node.Term() + 1;
  node.OnMessage(VoteReply{ term, "c", true, true }, now);
  node.OnPersisted(1, now);
  RaftActions sent = node.OnMessage(VoteReply{ term, "c", true, false }, now);
  node.OnPersisted(2, now);
  REQUIRE(node.Role() == RaftRole::Leader);
  node.OnMessage(AppendReply{ term, "c", true, node.Log().LastIndex(), 1 }, now);
  REQUIRE(node.IsLeadershipEstablished());
  return { std::move(node), std::move(sent) };
}

} // namespace

// Guards against a member that takes requests for an earlier member of its instance for its own:
// it believes that it is a member of the group, and its rejections set back what the leader sends
// to it.
TEST_CASE("A heartbeat for an earlier member of the instance does not reach its successor")
{
  auto [leader, sent] = ElectedLeader(StateOf(RaftNode::FoundingBatch(GroupWithSuccessor())), {});
  RaftNode successor = StartNode("b2", {});
  const Instant now = kStart + std::chrono::seconds(1);
  // The requests for "b2" itself, with the entries of the new term, are still on their way.
  const std::uint64_t nextIndex = leader.Progress().at("b2").nextIndex;
  REQUIRE(nextIndex > 1);
  const std::vector<Message> misrouted = MessagesTo("b1", sent);
  REQUIRE(misrouted.size() == 1);
  REQUIRE(std::holds_alternative<AppendRequest>(misrouted[0]));
  const RaftActions answered = successor.OnMessage(misrouted[0], now);
  CHECK(answered.empty());
  CHECK(successor.LeaderId().empty());
  CHECK_FALSE(successor.HasCurrentLeader(now));
  CHECK(successor.Term() == 0);
  CHECK(successor.Log().LastIndex() == 0);
  RaftActions replies = answered;
  std::ranges::copy(successor.OnPersisted(1, now), std::back_inserter(replies));
  for (const Message& reply : MessagesTo("a", replies)) {
    CHECK(MessagesTo("b2", leader.OnMessage(reply, now)).empty());
  }
  CHECK(leader.Progress().at("b2").nextIndex == nextIndex);
  CHECK_FALSE(leader.Progress().at("b2").ackedRequestSentAt);
  // Its own requests do reach it.
  const std::vector<Message> own = MessagesTo("b2", sent);
  REQUIRE(own.size() == 1);
  successor.OnMessage(own[0], now);
  CHECK(successor.LeaderId() == "a");
}

// Guards against a snapshot for an earlier member of the instance that its successor installs.
TEST_CASE("A snapshot for an earlier member of the instance does not reach its successor")
{
  RaftSettings settings;
  settings.retainedEntries = 0;
  auto [leader, sent] =
    ElectedLeader(StateOf(RaftNode::FoundingBatch(GroupWithSuccessor())), settings);
  Instant now = kStart + std::chrono::milliseconds(1010);
  leader.Compact("state");
  leader.OnPersisted(3, now);
  // "b1" needs the snapshot.
  const RaftActions pieces = leader.OnMessage(AppendReply{ leader.Term(), "b1", false, 0, 1 }, now);
  const std::vector<Message> misrouted = MessagesTo("b1", pieces);
  REQUIRE(misrouted.size() == 1);
  REQUIRE(std::holds_alternative<SnapshotRequest>(misrouted[0]));
  RaftNode successor = StartNode("b2", {});
  CHECK(successor.OnMessage(misrouted[0], now).empty());
  CHECK(successor.LeaderId().empty());
  CHECK(successor.Term() == 0);
  CHECK(successor.Log().LastIndex() == 0);
  // During a snapshot transfer, heartbeats are empty requests that match every log.
  now += std::chrono::milliseconds(60);
  for (const Message& heartbeat : MessagesTo("b1", leader.OnTick(now))) {
    CHECK(successor.OnMessage(heartbeat, now).empty());
  }
  CHECK(successor.LeaderId().empty());
}

// Guards against a vote that is asked of a lost member and granted by its successor.
TEST_CASE("A vote request for an earlier member of the instance does not reach its successor")
{
  const PersistentState stored = StateOf(RaftNode::FoundingBatch(GroupWithSuccessor()));
  RaftNode candidate = StartNode("a", stored);
  RaftNode successor = StartNode("b2", {});
  const Instant now = kStart + std::chrono::seconds(1);
  const std::vector<Message> preVote = MessagesTo("b1", candidate.OnTick(now));
  REQUIRE(preVote.size() == 1);
  CHECK(successor.OnMessage(preVote[0], now).empty());
  const std::vector<Message> vote =
    MessagesTo("b1", candidate.OnMessage(VoteReply{ 2, "c", true, true }, now));
  REQUIRE(vote.size() == 1);
  REQUIRE_FALSE(std::get<VoteRequest>(vote[0]).preVote);
  CHECK(successor.OnMessage(vote[0], now).empty());
  CHECK(successor.Term() == 0);
}

// Guards against a member that was removed as a lost learner and does not request to join again,
// because it takes the heartbeats for the earlier member of its instance for its own.
TEST_CASE("A successor that was removed while it was away is a voter 4 s after it is back")
{
  const Outage outage = GENERATE(Outage::Suspended, Outage::CutOff, Outage::RestartedWithSnapshot);
  const std::int64_t down = GENERATE(0 * kMs, 100 * kMs, 500 * kMs, 900 * kMs);
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("outage " << static_cast<int>(outage) << " down " << down << " seed " << seed);
    FakeGroup group(seed, 5);
    CHECK(BearableLossesAfterOutage(group, outage, down) == 2);
    CHECK(group.Violation() == std::nullopt);
  }
}

// Guards against a lost member that is admitted after its successor: it counts as the newer one,
// and the pings of the instance keep it in contact for good.
TEST_CASE("An instance that loses its disk twice in a row gets its vote back")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    // After nine founders, the second of two new member ids, "m10", is sorted before the first.
    FakeGroup group(seed, 9);
    REQUIRE(WaitForLeader(group));
    group.Run(kSecond);
    const std::size_t lost = (*group.Leader() + 1) % 9;
    group.Freeze(*group.Leader(), 250 * kMs);
    for (int loss = 0; loss < 2; ++loss) {
      group.LoseDisk(lost);
      group.Run(50 * kMs);
      group.Restart(lost);
      group.Run(50 * kMs);
    }
    REQUIRE(group.Node(lost)->Self() == "m10");
    group.RunUntil(kCatchUp, [&group] { return group.BearableDiskLosses() == 4; });
    INFO(group.DescribeMembers());
    CHECK(group.BearableDiskLosses() == 4);
    CHECK(group.Violation() == std::nullopt);
  }
}

// Guards against a learner that is lost around its promotion and then costs the group a second
// vote: replies of the last second count, so it may be promoted when it is gone already.
TEST_CASE("A successor that is lost around its promotion costs one vote, and that for 4 s")
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto upTo = [&random](std::int64_t aLongest) {
      return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(aLongest));
    };
    FakeGroup group(seed, 5, 2);
    group.UseLinks(5);
    for (std::size_t at = 0; at < 7; ++at) {
      group.SetSeeds(at, { 0, 1, 2, 3, 4 });
    }
    REQUIRE(WaitForLeader(group));
    group.Run(kSecond);
    // One of the founders never returns. Its successor, instance 5, is lost soon after its start.
    constexpr std::size_t kSuccessor = 5;
    constexpr std::size_t kSecondSuccessor = 6;
    group.Crash(random() % 5);
    group.Run(upTo(2 * kSecond));
    group.Restart(kSuccessor);
    group.Run(upTo(2500 * kMs));
    const std::int64_t outage = random() % 2 == 0 ? upTo(13 * kSecond) : upTo(2500 * kMs);
    const auto kind = random() % 4;
    std::size_t returning = kSuccessor;
    if (kind == 0) {
      group.LoseDisk(kSuccessor);
    } else if (kind == 1) {
      group.Crash(kSuccessor);
    } else if (kind == 2) {
      group.LoseDisk(kSuccessor);
      returning = kSecondSuccessor;
    } else {
      group.Isolate(kSuccessor);
    }
    int fewest = group.BearableDiskLosses();
    const auto run = [&group, &fewest](std::int64_t aTime, auto aCondition) {
      for (std::int64_t left = aTime; left > 0 && !aCondition(); left -= 10 * kMs) {
        group.Run(10 * kMs);
        fewest = std::min(fewest, group.BearableDiskLosses());
      }
    };
    run(outage, [] { return false; });
    group.HealNetwork();
    group.Restart(returning);
    run(kCatchUp, [&group] { return group.BearableDiskLosses() == 2; });
    INFO("seed " << seed << " kind " << kind << " outage " << outage << "\n"
                 << group.DescribeMembers());
    CHECK(group.BearableDiskLosses() == 2);
    CHECK(fewest >= 1);
    CHECK(group.Violation() == std::nullopt);
  }
}
