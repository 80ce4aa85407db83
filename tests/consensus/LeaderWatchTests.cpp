#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Instant kStart{ std::chrono::seconds(100) };
constexpr Duration kInterval = std::chrono::milliseconds(100);

/// The voter "a" of three, whose links to "b" are ready and to "c" are not.
class VoterOfThree
{
public:
  VoterOfThree()
    : node("a", RaftSettings{}, Founded(), std::mt19937_64(7), kStart)
  {
  }

  static PersistentState Founded()
  {
    const PersistBatch batch = RaftNode::FoundingBatch({ { "a", "host-a", "127.0.0.1:1", true },
                                                         { "b", "host-b", "127.0.0.1:2", true },
                                                         { "c", "host-c", "127.0.0.1:3", true } });
    return { batch.hardState, std::nullopt, batch.entries };
  }

  /// Observes at intervals for a duration and returns the lines.
  std::vector<LeaderWatch::Status> ObserveFor(Duration aDuration)
  {
    std::vector<LeaderWatch::Status> lines;
    const Instant end = this->now + aDuration;
    while (this->now < end) {
      this->now += kInterval;
      const auto status = this->watch.Observe(
        this->node, [](const ControlMember& aMember) { return aMember.id == "b"; }, this->now);
      if (status) {
        lines.push_back(*status);
      }
    }
    return lines;
  }

  RaftNode node;
  LeaderWatch watch;
  Instant now = kStart;
};

} // namespace

TEST_CASE_METHOD(VoterOfThree, "LeaderWatchWithoutLeader: logs after 0.5 s and each further second")
{
  const auto lines = this->ObserveFor(std::chrono::milliseconds(2700));
  REQUIRE(lines.size() == 3);
  CHECK(lines.front().event == LogEvent::LeaderMissing);
  CHECK(lines.front().detail == "for_ms=500 role=follower term=1 log=1.1 durable=1 commit=0 "
                                "voter=yes voters=host-b:linked,host-c:not_linked");
}

TEST_CASE_METHOD(VoterOfThree, "LeaderWatchOfCandidate: names the voters that granted a vote")
{
  this->now += std::chrono::seconds(1);
  this->node.OnTick(this->now);
  this->node.OnMessage(VoteReply{ 2, "b", true, true }, this->now);
  const auto lines = this->ObserveFor(std::chrono::milliseconds(600));
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().detail.find("role=candidate term=2") != std::string::npos);
  this->node.OnMessage(VoteReply{ 2, "b", true, false }, this->now);
  const auto next = this->ObserveFor(std::chrono::seconds(1));
  REQUIRE(next.size() == 1);
  CHECK(next.front().detail.find("host-b:linked/voted") != std::string::npos);
}

TEST_CASE_METHOD(VoterOfThree,
                 "LeaderWatchOfUnconfirmedLeader: logs the time since the contact with each voter")
{
  this->now += std::chrono::seconds(1);
  this->node.OnTick(this->now);
  this->node.OnMessage(VoteReply{ 2, "b", true, true }, this->now);
  this->node.OnPersisted(1, this->now);
  this->node.OnMessage(VoteReply{ 2, "b", true, false }, this->now);
  REQUIRE(this->node.Role() == RaftRole::Leader);
  const auto lines = this->ObserveFor(std::chrono::milliseconds(600));
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().event == LogEvent::LeaderUnconfirmed);
  CHECK(lines.front().detail ==
        "for_ms=500 term=2 log=2.2 durable=1 commit=0 contact_ms=host-b:none,host-c:none");
}

TEST_CASE_METHOD(VoterOfThree, "LeaderWatchAfterElection: logs the leader once")
{
  this->ObserveFor(std::chrono::milliseconds(600));
  this->node.OnMessage(AppendRequest{ 2, "b", 1, 1, 0, 1, {} }, this->now);
  const auto lines = this->ObserveFor(std::chrono::milliseconds(200));
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().event == LogEvent::LeaderFollowed);
  CHECK(lines.front().detail == "leader=host-b term=2 missing_ms=600");
}
