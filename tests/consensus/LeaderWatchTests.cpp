#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Instant kStart{ std::chrono::seconds(100) };
constexpr Duration kInterval = std::chrono::milliseconds(100);

JoinRequest JoinRequestOf(const std::string& aInstance, const std::string& aMember)
{
  JoinRequest request;
  request.instance.id = aInstance;
  request.memberId = aMember;
  return request;
}

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
        this->node,
        this->contacts,
        [](const ControlMember& aMember) { return aMember.id == "b"; },
        this->now);
      if (status) {
        lines.push_back(*status);
      }
    }
    return lines;
  }

  /// Delivers a message of an instance, as the driver does.
  void Receive(const std::string& aInstance, const Message& aMessage)
  {
    this->contacts.OnMessage(aInstance, aMessage, this->now);
    this->node.OnMessage(aMessage, this->now);
  }

  RaftNode node;
  MemberContacts contacts;
  LeaderWatch watch;
  Instant now = kStart;
};

} // namespace

TEST_CASE_METHOD(VoterOfThree, "LeaderWatchWithoutLeader: logs after 0.5 s and each further second")
{
  const auto lines = this->ObserveFor(std::chrono::milliseconds(2700));
  REQUIRE(lines.size() == 3);
  CHECK(lines.front().event == LogEvent::LeaderMissing);
  CHECK(lines.front().detail ==
        "for_ms=500 member=a role=follower term=1 log=1.1 durable=1 commit=0 voter=yes "
        "members_index=1 voters=host-b/b:linked:heard_ms=none:pre_vote=none,"
        "host-c/c:not_linked:heard_ms=none:pre_vote=none");
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
  CHECK(next.front().detail.find("host-b/b:linked/voted:") != std::string::npos);
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
        "for_ms=500 term=2 log=2.2 durable=1 commit=0 contact_ms=host-b/b:none,host-c/c:none");
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

// Guards against a line that cannot tell a voter that refuses from one that is not there.
TEST_CASE_METHOD(VoterOfThree,
                 "LeaderWatchOfRefusedPreCandidate: names the reason and when the voter was heard")
{
  this->now += std::chrono::seconds(1);
  this->Receive("host-b", VoteReply{ 1, "b", false, true, VoteRefusal::LongerLog });
  this->Receive("host-c", VoteReply{ 1, "c", false, true });
  const auto lines = this->ObserveFor(std::chrono::milliseconds(600));
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().detail.find("host-b/b:linked:heard_ms=600:pre_vote=longer_log/600,"
                                  "host-c/c:not_linked:heard_ms=600:pre_vote=refused/600") !=
        std::string::npos);
}

// Guards against counting an instance as a voter in the log that answers under a new member id.
TEST_CASE_METHOD(VoterOfThree,
                 "LeaderWatchAfterLostDisk: names the member id that the instance of a voter uses")
{
  this->now += std::chrono::seconds(1);
  this->Receive("host-b", AppendReply{ 1, "b", true, 1, 1 });
  this->now += std::chrono::seconds(1);
  this->Receive("host-b", JoinRequestOf("host-b", "0123456789abcdef"));
  this->Receive("host-b", JoinRequestOf("host-c", "forwarded"));
  const auto lines = this->ObserveFor(std::chrono::milliseconds(600));
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().detail.find("host-b/b:linked:heard_ms=1600:pre_vote=none:heard_as=01234567,"
                                  "host-c/c:not_linked:heard_ms=none:pre_vote=none") !=
        std::string::npos);
}

TEST_CASE("MemberContactsOfManyMembers: drop the one that was silent for longest")
{
  MemberContacts contacts;
  for (int member = 0; member <= 64; ++member) {
    contacts.OnMessage("host",
                       AppendReply{ 1, std::to_string(member), true, 1, 1 },
                       kStart + std::chrono::seconds(member));
  }
  CHECK(contacts.Find("0") == nullptr);
  CHECK(contacts.Find("1") != nullptr);
  CHECK(contacts.LastIdOf("host") == "64");
}
