#include "tests/consensus/FakeGroup.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kSecond = 1000 * FakeGroup::kMillisecond;

bool WaitForLeader(FakeGroup& aGroup)
{
  return aGroup.RunUntil(10 * kSecond, [&aGroup] {
    const auto leader = aGroup.Leader();
    return leader && aGroup.Node(*leader)->IsLeadershipEstablished();
  });
}

constexpr Instant kStart{ std::chrono::seconds(100) };

std::vector<ControlMember> Voters(std::initializer_list<const char*> aIds)
{
  std::vector<ControlMember> members;
  for (const char* id : aIds) {
    members.push_back({ id, std::string("instance of ") + id, "127.0.0.1:1", true });
  }
  return members;
}

PersistentState FoundedState(const std::vector<ControlMember>& aMembers)
{
  const PersistBatch batch = RaftNode::FoundingBatch(aMembers);
  return { batch.hardState, std::nullopt, batch.entries };
}

RaftNode StartNode(const std::string& aSelf, PersistentState aStored)
{
  return { aSelf, RaftSettings{}, std::move(aStored), std::mt19937_64(7), kStart };
}

template<class T>
std::vector<T> SentMessages(const RaftActions& aActions)
{
  std::vector<T> found;
  for (const RaftAction& action : aActions) {
    const auto* send = std::get_if<SendAction>(&action);
    if (send != nullptr && std::holds_alternative<T>(send->message)) {
      found.push_back(std::get<T>(send->message));
    }
  }
  return found;
}

template<class T>
std::vector<T> ActionsOf(const RaftActions& aActions)
{
  std::vector<T> found;
  for (const RaftAction& action : aActions) {
    if (const auto* wanted = std::get_if<T>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

AppendRequest MakeAppendRequest(std::uint64_t aTerm,
                                const std::string& aLeader,
                                std::uint64_t aPrevious,
                                std::uint64_t aPreviousTerm,
                                std::uint64_t aCommit,
                                std::vector<LogEntry> aEntries)
{
  return { aTerm, aLeader, aPrevious, aPreviousTerm, aCommit, 1, std::move(aEntries) };
}

/// Returns member "a" of three as the leader of a new term, with all its writes durable.
RaftNode ElectedNode(PersistentState aStored)
{
  RaftNode node = StartNode("a", std::move(aStored));
  const Instant now = kStart + std::chrono::seconds(1);
  node.OnTick(now);
  const std::uint64_t term = node.Term() + 1;
  node.OnMessage(VoteReply{ term, "b", true, true }, now);
  node.OnPersisted(1, now);
  node.OnMessage(VoteReply{ term, "b", true, false }, now);
  node.OnPersisted(2, now);
  REQUIRE(node.Role() == RaftRole::Leader);
  return node;
}

/// Handles the requests of a leader, except vote requests, as one follower. Its replies arrive
/// after a round trip.
class DistantFollower
{
public:
  DistantFollower(std::string aId, Duration aRoundTrip)
    : id(std::move(aId))
    , roundTrip(aRoundTrip)
  {
  }

  void HandleRequests(const RaftActions& aActions, Instant aNow)
  {
    for (const RaftAction& action : aActions) {
      const auto* send = std::get_if<SendAction>(&action);
      const auto* request = send == nullptr ? nullptr : std::get_if<AppendRequest>(&send->message);
      if (request == nullptr || send->to != this->id) {
        continue;
      }
      const bool isMatching = request->previousIndex <= this->lastIndex;
      if (isMatching) {
        this->lastIndex =
          std::max(this->lastIndex, request->previousIndex + request->entries.size());
      }
      this->replies.emplace_back(
        aNow + this->roundTrip,
        AppendReply{ request->term, this->id, isMatching, this->lastIndex, request->round });
    }
  }

  std::optional<AppendReply> TakeReply(Instant aNow)
  {
    if (this->replies.empty() || this->replies.front().first > aNow) {
      return std::nullopt;
    }
    const AppendReply reply = this->replies.front().second;
    this->replies.pop_front();
    return reply;
  }

  std::uint64_t LastIndex() const { return this->lastIndex; }

private:
  std::string id;
  Duration roundTrip;
  std::uint64_t lastIndex = 1;
  std::deque<std::pair<Instant, AppendReply>> replies;
};

bool AllApplied(const FakeGroup& aGroup, std::size_t aCount)
{
  for (std::size_t at = 0; at < aCount; ++at) {
    if (aGroup.AppliedIndexOf(at) < aGroup.LastCommitted()) {
      return false;
    }
  }
  return true;
}

} // namespace

// Guards against a group that cannot elect a leader or commit.
TEST_CASE("A new group elects a leader and commits on all members")
{
  FakeGroup group(1, 5);
  REQUIRE(WaitForLeader(group));
  REQUIRE(group.Propose(10) == 10);
  group.Run(kSecond);
  CHECK(group.Acknowledged() == 10);
  for (std::size_t at = 0; at < 5; ++at) {
    CHECK(group.AppliedIndexOf(at) == group.LastCommitted());
  }
  CHECK(group.Violation() == std::nullopt);
}

// Guards against a partitioned member that increments its term in failed elections and deposes the
// leader when it reconnects.
TEST_CASE("A partitioned member reconnects without deposing the leader")
{
  FakeGroup group(2, 5);
  REQUIRE(WaitForLeader(group));
  const std::size_t leader = *group.Leader();
  const std::uint64_t term = group.Node(leader)->Term();
  const std::size_t other = (leader + 1) % 5;
  group.Isolate(other);
  group.Propose(20);
  // Shorter than lostVoterTimeout, after which a voter may be replaced.
  group.Run(kSecond);
  group.HealNetwork();
  group.Run(2 * kSecond);
  REQUIRE(group.Leader() == leader);
  CHECK(group.Node(leader)->Term() == term);
  CHECK(group.AppliedIndexOf(other) == group.LastCommitted());
  CHECK(group.Violation() == std::nullopt);
}

// Guards against a voter that was replaced during a partition and never joins the group again.
TEST_CASE("A member that was replaced during a partition is admitted again")
{
  FakeGroup group(3, 3, 1);
  REQUIRE(WaitForLeader(group));
  const std::size_t other = (*group.Leader() + 1) % 3;
  group.Restart(3);
  group.Isolate(other);
  const std::string id = group.Node(other)->Self();
  REQUIRE(group.RunUntil(
    10 * kSecond, [&group, &id] { return FindMember(group.CommittedMembers(), id) == nullptr; }));
  CHECK(CountVoters(group.CommittedMembers()) >= 2);
  group.HealNetwork();
  CHECK(group.RunUntil(10 * kSecond, [&group, &id] {
    return FindMember(group.CommittedMembers(), id) != nullptr && AllApplied(group, 4);
  }));
  CHECK(group.Violation() == std::nullopt);
}

// Guards against a replacement of a lost voter that leaves too few copies of the log, so that the
// loss of another member loses committed commands.
TEST_CASE("Losing a second member right after the first was replaced loses no committed command")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeGroup group(seed, 3);
    REQUIRE(WaitForLeader(group));
    REQUIRE(group.Propose(50) == 50);
    group.Run(kSecond);
    for (const std::size_t lost : { std::size_t{ 0 }, std::size_t{ 1 } }) {
      group.LoseDisk(lost);
      group.Restart(lost);
      const std::string id = group.Node(lost)->Self();
      REQUIRE(group.RunUntil(20 * kSecond, [&group, &id] {
        return IsVoter(group.CommittedMembers(), id) && group.CommittedMembers().size() == 3;
      }));
    }
    group.Crash(2);
    const std::size_t before = group.Acknowledged();
    CHECK(group.RunUntil(10 * kSecond, [&group, before] {
      group.Propose(1);
      return group.Acknowledged() > before;
    }));
    CHECK(group.AppliedIndexOf(0) >= 50);
    CHECK(group.Violation() == std::nullopt);
  }
}

// Guards against a group that bears the loss of fewer disks while a voter is being replaced as
// planned: two of five instances lose their disks, at each moment from the start of the replacement
// on, and committed commands are lost or no leader is elected any more.
TEST_CASE("Two disks can be lost at every moment of the planned replacement of a voter")
{
  constexpr std::size_t kSpare = 5;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    INFO("seed " << seed);
    FakeGroup group(seed, 5, 1);
    REQUIRE(WaitForLeader(group));
    group.Restart(kSpare);
    REQUIRE(
      group.RunUntil(10 * kSecond, [&group] { return group.CommittedMembers().size() == 6; }));
    REQUIRE(group.Propose(20) == 20);
    group.Run(kSecond);
    const std::size_t leader = *group.Leader();
    // The leader leaves for a third of the seeds, and the new member loses its disk for a half.
    const std::size_t leaving = seed % 3 == 0 ? leader : (leader + 1) % 5;
    const std::size_t firstLost = seed % 3 == 0 ? (leader + 2) % 5 : leader;
    const std::size_t secondLost = seed % 2 == 0 ? kSpare : (leader + 3) % 5;
    group.Leave(leaving);
    group.Run(static_cast<std::int64_t>(seed) * 4 * FakeGroup::kMillisecond);
    group.Propose(1);
    group.Run(20 * FakeGroup::kMillisecond);
    const std::uint64_t committed = group.LastCommitted();
    for (const std::size_t lost : { firstLost, secondLost }) {
      group.LoseDisk(lost);
    }
    group.Run(900 * FakeGroup::kMillisecond);
    for (const std::size_t lost : { firstLost, secondLost }) {
      group.Restart(lost);
    }
    const std::size_t before = group.Acknowledged();
    CHECK(group.RunUntil(12 * kSecond, [&group, before] {
      group.Propose(1);
      return group.Acknowledged() > before;
    }));
    CHECK(group.LastCommitted() > committed);
    CHECK(group.Violation() == std::nullopt);
  }
}

/// Restarts instances in turn as planned: each gives up its vote, or stops after 5 s, and is back
/// 200 ms later.
class RollingRestart
{
public:
  RollingRestart(FakeGroup& aGroup, std::vector<std::size_t> aInstances)
    : group(aGroup)
    , instances(std::move(aInstances))
  {
  }

  void Run(std::int64_t aMicroseconds)
  {
    for (std::int64_t passed = 0; passed < aMicroseconds; passed += kStep) {
      this->group.Run(kStep);
      this->sinceChange += kStep;
      this->Step();
    }
  }

  /// Starts the instance that is down, if any, and restarts no more.
  void End()
  {
    this->group.CancelLeave(this->Current());
    if (this->group.Node(this->Current()) == nullptr) {
      this->group.Restart(this->Current());
    }
  }

  std::size_t Current() const { return this->instances[this->position]; }

private:
  static constexpr std::int64_t kStep = 10 * FakeGroup::kMillisecond;

  void Step()
  {
    const bool isRunning = this->group.Node(this->Current()) != nullptr;
    if (isRunning && !this->isLeaving && this->sinceChange >= kSecond / 2) {
      this->group.Leave(this->Current());
      this->isLeaving = true;
      this->sinceChange = 0;
    } else if (isRunning && this->isLeaving && this->sinceChange >= 5 * kSecond) {
      this->group.Crash(this->Current());
    } else if (!isRunning && !this->isDown) {
      this->isDown = true;
      this->sinceChange = 0;
    } else if (!isRunning && this->sinceChange >= kSecond / 5) {
      this->End();
      this->position = (this->position + 1) % this->instances.size();
      this->isLeaving = false;
      this->isDown = false;
      this->sinceChange = 0;
    }
  }

  FakeGroup& group;
  std::vector<std::size_t> instances;
  std::size_t position = 0;
  std::int64_t sinceChange = 0;
  bool isLeaving = false;
  bool isDown = false;
};

// Guards against a group that still depends on a voter that is gone long after its successor has
// started, because every restarted voter gets the vote of the next one.
TEST_CASE("Two disks can be lost 4 s after a successor has started, during a rolling restart")
{
  constexpr std::size_t kSpare = 5;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    INFO("seed " << seed);
    FakeGroup group(seed, 5, 1);
    REQUIRE(WaitForLeader(group));
    REQUIRE(group.Propose(20) == 20);
    group.Run(kSecond);
    const std::size_t gone = (*group.Leader() + seed) % 5;
    std::vector<std::size_t> staying;
    for (std::size_t at = 0; at < 5; ++at) {
      if (at != gone) {
        staying.push_back(at);
      }
    }
    RollingRestart roll(group, staying);
    group.LoseDisk(gone);
    roll.Run(kSecond);
    group.Restart(kSpare);
    roll.Run(4 * kSecond + static_cast<std::int64_t>(seed) * 50 * FakeGroup::kMillisecond);
    staying.push_back(kSpare);
    std::erase(staying, roll.Current());
    const std::size_t firstLost = staying[seed % 4];
    const std::size_t secondLost = staying[(seed + 1) % 4];
    group.LoseDisk(firstLost);
    group.LoseDisk(secondLost);
    group.Run(900 * FakeGroup::kMillisecond);
    roll.End();
    group.Restart(firstLost);
    group.Restart(secondLost);
    const std::size_t before = group.Acknowledged();
    CHECK(group.RunUntil(12 * kSecond, [&group, before] {
      group.Propose(1);
      return group.Acknowledged() > before;
    }));
    CHECK(group.Violation() == std::nullopt);
  }
}

// Guards against commands that are acknowledged before they are on disk and therefore lost when all
// members crash.
TEST_CASE("Hundreds of commands survive a crash of all members")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeGroup group(seed, 5);
    REQUIRE(WaitForLeader(group));
    for (int round = 0; round < 40; ++round) {
      group.Propose(10);
      group.Run(20 * FakeGroup::kMillisecond);
      group.Compact(static_cast<std::size_t>(round) % 5);
    }
    // Some commands are still being replicated, so the members crash with different logs.
    const std::uint64_t committed = group.LastCommitted();
    CHECK(committed > 300);
    for (std::size_t at = 0; at < 5; ++at) {
      group.Crash(at);
    }
    for (std::size_t at = 0; at < 5; ++at) {
      group.Restart(at);
    }
    REQUIRE(WaitForLeader(group));
    CHECK(group.RunUntil(5 * kSecond, [&group] { return AllApplied(group, 5); }));
    CHECK(group.AppliedIndexOf(0) >= committed);
    CHECK(group.Violation() == std::nullopt);
  }
}

// Guards against a partitioned leader that keeps its lease without a quorum, and against reporting
// a proposal as failed that may still be committed.
TEST_CASE("A partitioned leader steps down and its pending proposals have an unknown outcome")
{
  RaftNode node = ElectedNode(FoundedState(Voters({ "a", "b", "c" })));
  const Instant elected = kStart + std::chrono::seconds(1);
  CHECK_FALSE(node.HasLeaderLease(elected));
  node.OnMessage(AppendReply{ node.Term(), "b", true, 2, 1 }, elected);
  REQUIRE(node.HasLeaderLease(elected));
  node.Propose(9, "command", elected);
  CHECK_FALSE(node.HasLeaderLease(elected + RaftSettings{}.LeaderLease()));
  const auto actions = node.OnTick(elected + std::chrono::milliseconds(601));
  CHECK(node.Role() == RaftRole::Follower);
  CHECK(ActionsOf<LeadershipLostAction>(actions).size() == 1);
  const auto results = ActionsOf<ProposalResultAction>(actions);
  REQUIRE(results.size() == 1);
  CHECK(results[0].proposal == 9);
  CHECK(results[0].code == ResultCode::OutcomeUnknown);
}

// Guards against two leaders at once: a member that confirmed a leader lease and restarts does not
// know of the lease and could vote for another candidate before it expires.
TEST_CASE("A restarted member rejects vote requests for the minimum election timeout")
{
  RaftNode node = StartNode("b", FoundedState(Voters({ "a", "b", "c" })));
  const VoteRequest request{ 5, "c", 9, 1, false };
  const auto early = node.OnMessage(request, kStart + std::chrono::milliseconds(299));
  REQUIRE(SentMessages<VoteReply>(early).size() == 1);
  CHECK_FALSE(SentMessages<VoteReply>(early)[0].granted);
  CHECK(node.Term() == 1);
  const auto late = node.OnMessage(request, kStart + std::chrono::milliseconds(300));
  // The vote is sent only once it is durable.
  CHECK(SentMessages<VoteReply>(late).empty());
  REQUIRE(ActionsOf<PersistAction>(late).size() == 1);
  const auto sequence = ActionsOf<PersistAction>(late)[0].batch.sequence;
  const auto written = node.OnPersisted(sequence, kStart + std::chrono::milliseconds(301));
  REQUIRE(SentMessages<VoteReply>(written).size() == 1);
  CHECK(SentMessages<VoteReply>(written)[0].granted);
}

// Guards against a control instance that starts with an old snapshot and gives it to proxies: they
// would use servers that have left and routes that were withdrawn, until it hears of a leader.
TEST_CASE("The state of a restarted member is confirmed only by what a leader has committed")
{
  PersistentState stored = FoundedState(Voters({ "a", "b", "c" }));
  stored.hardState.term = 2;
  stored.entries.push_back({ 2, 2, {}, LogEntryKind::TermStart });
  stored.entries.push_back({ 2, 3, "old", LogEntryKind::Command });
  RaftNode node = StartNode("b", stored);
  node.Start();
  CHECK_FALSE(node.HasConfirmedState());
  SECTION("a leader of the same term names its commit index")
  {
    const Instant now = kStart + std::chrono::milliseconds(10);
    node.OnMessage(MakeAppendRequest(2, "a", 3, 2, 4, { { 2, 4, "new", LogEntryKind::Command } }),
                   now);
    CHECK_FALSE(node.HasConfirmedState());
    node.OnPersisted(1, now);
    CHECK(node.AppliedIndex() == 4);
    CHECK(node.HasConfirmedState());
  }
  SECTION("a new leader has committed nothing of its own term yet")
  {
    const Instant now = kStart + std::chrono::milliseconds(10);
    node.OnMessage(MakeAppendRequest(3, "a", 3, 2, 1, { { 3, 4, {}, LogEntryKind::TermStart } }),
                   now);
    node.OnPersisted(1, now);
    CHECK_FALSE(node.HasConfirmedState());
    node.OnMessage(MakeAppendRequest(3, "a", 4, 3, 4, {}), now);
    CHECK(node.AppliedIndex() == 4);
    CHECK(node.HasConfirmedState());
  }
  SECTION("heartbeats during the transfer of a snapshot say nothing")
  {
    node.OnMessage(MakeAppendRequest(2, "a", 0, 0, 0, {}), kStart + std::chrono::milliseconds(10));
    CHECK_FALSE(node.HasConfirmedState());
  }
}

// Guards against callers that wait for another election after a power loss: members that start
// within 0.3 s of each other became candidates in the same round trip and divided the votes.
TEST_CASE("Members that restart together elect a leader without dividing their votes")
{
  constexpr std::uint64_t kGroups = 200;
  std::size_t divided = 0;
  for (std::uint64_t seed = 1; seed <= kGroups; ++seed) {
    FakeGroup group(seed, 5);
    group.SetExtraDelay(12 * FakeGroup::kMillisecond);
    REQUIRE(WaitForLeader(group));
    group.Run(kSecond);
    const std::uint64_t termBefore = group.Node(*group.Leader())->Term();
    for (std::size_t at = 0; at < 5; ++at) {
      group.Crash(at);
    }
    for (std::size_t at = 0; at < 5; ++at) {
      group.Restart(at);
      group.Run(75 * FakeGroup::kMillisecond);
    }
    REQUIRE(WaitForLeader(group));
    divided += group.Node(*group.Leader())->Term() > termBefore + 1 ? 1 : 0;
    REQUIRE(group.Violation() == std::nullopt);
  }
  INFO("groups with divided votes: " << divided);
  CHECK(divided <= kGroups / 50);
}

// Guards against committing an entry of an earlier term because a majority stores it: another
// leader can still replace it.
TEST_CASE("A new leader commits entries of earlier terms only together with one of its own term")
{
  PersistentState stored = FoundedState(Voters({ "a", "b", "c" }));
  stored.hardState.term = 2;
  stored.entries.push_back({ 2, 2, "old", LogEntryKind::Command });
  RaftNode node = ElectedNode(stored);
  const Instant now = kStart + std::chrono::seconds(1);
  node.OnMessage(AppendReply{ node.Term(), "b", true, 2, 1 }, now);
  CHECK(node.CommitIndex() == 0);
  node.OnMessage(AppendReply{ node.Term(), "b", true, 3, 1 }, now);
  CHECK(node.CommitIndex() == 3);
}

// Guards against entries that count as durable too early: the write of entries that were replaced
// completes after their replacements, at the same indexes, were received.
TEST_CASE("A completed write of replaced entries does not make the new ones durable")
{
  RaftNode node = StartNode("b", FoundedState(Voters({ "a", "b", "c" })));
  node.OnMessage(MakeAppendRequest(2, "a", 1, 1, 0, { { 2, 2, "x" }, { 2, 3, "y" } }), kStart);
  node.OnMessage(MakeAppendRequest(3, "c", 1, 1, 3, { { 3, 2, "z" }, { 3, 3, "w" } }), kStart);
  const auto first = node.OnPersisted(1, kStart);
  for (const ApplyAction& apply : ActionsOf<ApplyAction>(first)) {
    CHECK(apply.entry.index == 1);
  }
  const auto second = node.OnPersisted(2, kStart);
  REQUIRE(ActionsOf<ApplyAction>(second).size() == 2);
  CHECK(ActionsOf<ApplyAction>(second)[0].entry.command == "z");
}

// Guards against a commit that counts the leader's own copy before it is on disk, so that a crash
// of the leader can lose the entry.
TEST_CASE("The leader's copy of an entry counts for the commit only once it is durable")
{
  RaftNode node = ElectedNode(FoundedState(Voters({ "a", "b", "c" })));
  const Instant now = kStart + std::chrono::seconds(1);
  node.OnMessage(AppendReply{ node.Term(), "b", true, 2, 1 }, now);
  const auto proposed = node.Propose(1, "command", now);
  const std::uint64_t index = node.Log().LastIndex();
  node.OnMessage(AppendReply{ node.Term(), "b", true, index, 1 }, now);
  CHECK(node.CommitIndex() == index - 1);
  const auto written =
    node.OnPersisted(ActionsOf<PersistAction>(proposed).at(0).batch.sequence, now);
  CHECK(node.CommitIndex() == index);
  CHECK(ActionsOf<ProposalResultAction>(written).size() == 1);
}

// Guards against concurrent membership changes, whose majorities need not intersect.
TEST_CASE(
  "A membership change is rejected while another is pending or if it changes several members")
{
  const auto members = Voters({ "a", "b", "c" });
  RaftNode node = ElectedNode(FoundedState(members));
  const Instant now = kStart + std::chrono::seconds(1);
  auto withLearner = members;
  withLearner.push_back({ "d", "instance of d", "127.0.0.1:1", false });
  const auto codeOf = [&node, now](const std::vector<ControlMember>& aMembers) {
    const auto results = ActionsOf<ProposalResultAction>(node.ChangeMembers(1, aMembers, now));
    return results.empty() ? ResultCode::Ok : results[0].code;
  };
  // No entry of this term is committed yet.
  CHECK(codeOf(withLearner) == ResultCode::MembershipChangePending);
  node.OnMessage(AppendReply{ node.Term(), "b", true, 2, 1 }, now);
  CHECK(codeOf(Voters({ "a", "b", "c", "d" })) == ResultCode::InvalidMembershipChange);
  CHECK(codeOf(Voters({ "a" })) == ResultCode::InvalidMembershipChange);
  CHECK(codeOf(withLearner) == ResultCode::Ok);
  CHECK(codeOf(members) == ResultCode::MembershipChangePending);
}

// Guards against a leader that was removed from the group and continues to lead it.
TEST_CASE("A leader that removes itself steps down once the change is committed")
{
  RaftNode node = ElectedNode(FoundedState(Voters({ "a", "b", "c" })));
  const Instant now = kStart + std::chrono::seconds(1);
  node.OnMessage(AppendReply{ node.Term(), "b", true, 2, 1 }, now);
  node.ChangeMembers(1, Voters({ "b", "c" }), now);
  node.OnPersisted(100, now);
  node.OnMessage(AppendReply{ node.Term(), "b", true, 3, 1 }, now);
  REQUIRE(node.Role() == RaftRole::Leader);
  const auto actions = node.OnMessage(AppendReply{ node.Term(), "c", true, 3, 1 }, now);
  CHECK(node.Role() == RaftRole::Follower);
  CHECK(ActionsOf<LeadershipLostAction>(actions).size() == 1);
}

// Guards against a follower on a slow link that hears of a leader but gets no entries, so that its
// proxies keep an old configuration.
TEST_CASE("A follower with a round trip above the minimum election timeout receives new entries")
{
  RaftNode node = ElectedNode(FoundedState(Voters({ "a", "b", "c" })));
  std::vector<DistantFollower> followers{ { "b", std::chrono::milliseconds(2) },
                                          { "c", std::chrono::milliseconds(340) } };
  Instant now = kStart + std::chrono::seconds(1);
  const auto execute = [&node, &followers, &now](const RaftActions& aActions) {
    for (DistantFollower& follower : followers) {
      follower.HandleRequests(aActions, now);
    }
    for (const auto& write : ActionsOf<PersistAction>(aActions)) {
      node.OnPersisted(write.batch.sequence, now);
    }
  };
  const auto run = [&node, &followers, &now, &execute](Duration aDuration) {
    const Instant end = now + aDuration;
    for (; now < end; now += std::chrono::milliseconds(1)) {
      execute(node.OnTick(now));
      for (DistantFollower& follower : followers) {
        while (const auto reply = follower.TakeReply(now)) {
          execute(node.OnMessage(*reply, now));
        }
      }
    }
  };
  run(std::chrono::seconds(2));
  REQUIRE(node.Role() == RaftRole::Leader);
  execute(node.Propose(1, "x", now));
  run(std::chrono::seconds(3));
  REQUIRE(node.Role() == RaftRole::Leader);
  CHECK(followers[0].LastIndex() == node.Log().LastIndex());
  CHECK(followers[1].LastIndex() == node.Log().LastIndex());
}

// Guards against entries that are sent once more for each rejected request that was on its way.
TEST_CASE("Rejections of requests from before the entries were sent again change nothing")
{
  RaftNode node = ElectedNode(FoundedState(Voters({ "a", "b", "c" })));
  Instant now = kStart + std::chrono::seconds(1);
  const auto heartbeatRound = [&node, &now] {
    now += std::chrono::milliseconds(50);
    return SentMessages<AppendRequest>(node.OnTick(now)).at(0).round;
  };
  const auto sentEntriesAfterRejection = [&node, &now](std::uint64_t aRound) {
    now += std::chrono::milliseconds(1);
    const AppendReply rejection{ node.Term(), "b", false, 0, aRound };
    const auto requests = SentMessages<AppendRequest>(node.OnMessage(rejection, now));
    return !requests.empty() && !requests.front().entries.empty();
  };
  const std::uint64_t first = heartbeatRound();
  const std::uint64_t second = heartbeatRound();
  CHECK(sentEntriesAfterRejection(first));
  CHECK_FALSE(sentEntriesAfterRejection(second));
  CHECK(sentEntriesAfterRejection(heartbeatRound()));
}

// Guards against a member that can never catch up because the entries that it lacks were discarded.
TEST_CASE("A member that lacks discarded entries receives a snapshot in several pieces")
{
  FakeGroup group(5, 5);
  REQUIRE(WaitForLeader(group));
  const std::size_t leader = *group.Leader();
  const std::size_t other = (leader + 1) % 5;
  group.Crash(other);
  group.Propose(100);
  group.Run(500 * FakeGroup::kMillisecond);
  group.Compact(leader);
  REQUIRE(group.Node(leader)->Log().BaseIndex() > 50);
  // Several pieces of 64 bytes.
  REQUIRE(group.Node(leader)->Log().Snapshot()->content->size() > 128);
  group.Restart(other);
  CHECK(group.RunUntil(5 * kSecond, [&group] { return AllApplied(group, 5); }));
  CHECK(group.Node(other)->Log().Snapshot().has_value());
  CHECK(group.Violation() == std::nullopt);
}

// Guards against two leaders of one term: late votes that count for a member that already follows
// the leader of that term, after it has yielded to another pre-vote.
TEST_CASE("A candidate that yields to another pre-vote and follows a leader counts no late votes")
{
  RaftNode node = StartNode("c", FoundedState(Voters({ "a", "b", "c", "d", "e" })));
  Instant now = kStart + std::chrono::seconds(1);
  node.OnTick(now);
  const std::uint64_t term = node.Term() + 1;
  node.OnMessage(VoteReply{ term, "a", true, true }, now);
  node.OnMessage(VoteReply{ term, "b", true, true }, now);
  REQUIRE(node.Role() == RaftRole::Candidate);
  node.OnPersisted(1, now);
  node.OnMessage(VoteReply{ term, "b", true, false }, now);
  now += std::chrono::seconds(1);
  node.OnTick(now);
  REQUIRE(node.Role() == RaftRole::PreCandidate);
  node.OnMessage(VoteRequest{ term + 1, "a", 9, 9, true }, now);
  REQUIRE(node.Role() == RaftRole::Follower);
  // "a" was elected in the same term by "d" and "e", and removes those two as voters.
  auto withoutE = Voters({ "a", "b", "c", "d" });
  auto withoutDe = Voters({ "a", "b", "c" });
  std::vector<LogEntry> entries{ { term, 2, {}, LogEntryKind::TermStart },
                                 { term, 3, EncodeMembers(withoutE), LogEntryKind::Membership },
                                 { term, 4, EncodeMembers(withoutDe), LogEntryKind::Membership } };
  const std::uint64_t firstTerm = node.Log().TermAt(1);
  node.OnMessage(MakeAppendRequest(term, "a", 1, firstTerm, 3, entries), now);
  REQUIRE(node.LeaderId() == "a");
  node.OnPersisted(2, now);
  CHECK(node.Role() == RaftRole::Follower);
  CHECK(node.LeaderId() == "a");
}
