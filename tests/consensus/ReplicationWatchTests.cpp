#include "tests/consensus/LeaderWithMembers.hpp"

using namespace oleanderledge;

namespace {

/// A leader that is observed at intervals.
class ObservedLeader : public LeaderWithMembers
{
public:
  using LeaderWithMembers::LeaderWithMembers;

  /// Lets time pass as AdvanceFor() does and returns the lines.
  std::vector<ReplicationWatch::Status> ObserveFor(Duration aDuration,
                                                   std::initializer_list<const char*> aAnswering)
  {
    std::vector<ReplicationWatch::Status> lines;
    const Instant end = this->now + aDuration;
    while (this->now < end) {
      this->AdvanceFor(kStep, aAnswering);
      if (this->laggard) {
        this->Answer(this->laggard->first, this->laggard->second);
      }
      for (auto& line :
           this->watch.Observe(this->node, this->maintenance, this->contacts, this->now)) {
        lines.push_back(std::move(line));
      }
    }
    return lines;
  }

  /// What the leader does next with the learner "d", which must agree with what is logged.
  bool IsPromotedNext()
  {
    const auto changed = this->maintenance.NextChange(this->node, this->now);
    return changed && IsVoter(*changed, "d");
  }

  /// A member that answers too, but stores the log only up to an index.
  std::optional<std::pair<std::string, std::uint64_t>> laggard;
  ReplicationWatch watch;
};

/// A leader of three voters, of which "b" has lost its disk and is back as the learner "d".
class LeaderAfterLostDisk : public ObservedLeader
{
public:
  LeaderAfterLostDisk()
    : ObservedLeader({ Voter("a", "host-a"),
                       Voter("b", "host-b"),
                       Voter("c", "host-c"),
                       Learner("d", "host-b") })
  {
  }
};

/// The same, but "d" is lost as well and its instance is back as "e".
class LeaderAfterTwoLostDisks : public ObservedLeader
{
public:
  LeaderAfterTwoLostDisks()
    : ObservedLeader({ Voter("a", "host-a"),
                       Voter("b", "host-b"),
                       Voter("c", "host-c"),
                       Learner("d", "host-b"),
                       Learner("e", "host-b") })
  {
  }
};

/// A leader of three voters and a learner on an instance of its own.
class LeaderWithSpare : public ObservedLeader
{
public:
  LeaderWithSpare()
    : ObservedLeader({ Voter("a", "host-a"),
                       Voter("b", "host-b"),
                       Voter("c", "host-c"),
                       Learner("d", "host-d") })
  {
  }
};

std::vector<std::string> DetailsOf(const std::vector<ReplicationWatch::Status>& aLines,
                                   LogEvent aEvent)
{
  std::vector<std::string> details;
  for (const ReplicationWatch::Status& line : aLines) {
    if (line.event == aEvent) {
      details.push_back(line.detail);
    }
  }
  return details;
}

} // namespace

// Guards against a log that cannot tell a learner that catches up too slowly from one that the
// leader does not replicate to.
TEST_CASE_METHOD(LeaderAfterLostDisk,
                 "ReplicationWatchOfSlowLearner: logs what it lacks once and each second")
{
  this->Append(200, 1000);
  this->AnswerAll({ "c" });
  this->laggard = { "d", 52 };
  const auto lines = this->ObserveFor(std::chrono::milliseconds(2500), { "c" });
  const auto details = DetailsOf(lines, LogEvent::LearnerWaiting);
  REQUIRE(details.size() == 3);
  CHECK(details[0] == "learner=host-b/d why=lag matched=52 lag_entries=150 lag_bytes=150000 "
                      "snapshot=no answered_ms=0 listed_ms=0");
  CHECK(details[2].find(" listed_ms=2000") != std::string::npos);
  CHECK_FALSE(this->IsPromotedNext());
}

TEST_CASE_METHOD(LeaderAfterLostDisk,
                 "ReplicationWatchOfAbsentLearner: names the member id that its instance uses")
{
  JoinRequest request;
  request.instance.id = "host-b";
  request.memberId = "0123456789abcdef";
  this->contacts.OnMessage("host-b", request, this->now);
  const auto lines = this->ObserveFor(kSecond, { "c" });
  const auto details = DetailsOf(lines, LogEvent::LearnerWaiting);
  REQUIRE(details.size() == 1);
  const std::size_t bytes = this->node.Log().EntryAt(1).command.size();
  CHECK(details[0] == "learner=host-b/d why=no_contact matched=0 lag_entries=2 lag_bytes=" +
                        std::to_string(bytes) +
                        " snapshot=no answered_ms=none listed_ms=0 heard_as=01234567");
  CHECK_FALSE(this->IsPromotedNext());
}

TEST_CASE_METHOD(LeaderAfterLostDisk,
                 "ReplicationWatchWhileEarlierVoteAnswers: names that vote, then none")
{
  const auto waiting =
    DetailsOf(this->ObserveFor(kStep, { "b", "c", "d" }), LogEvent::LearnerWaiting);
  REQUIRE(waiting.size() == 1);
  CHECK(waiting[0].find("why=earlier_vote") != std::string::npos);
  CHECK_FALSE(this->IsPromotedNext());
  const auto later =
    DetailsOf(this->ObserveFor(kSecond + kStep, { "c", "d" }), LogEvent::LearnerWaiting);
  REQUIRE_FALSE(later.empty());
  CHECK(later.back().find("why=none") != std::string::npos);
  CHECK(this->IsPromotedNext());
}

TEST_CASE_METHOD(LeaderAfterLostDisk, "ReplicationWatchOfLeavingLearner: says that it leaves")
{
  this->maintenance.OnLeaveRequest("d", this->now);
  const auto details = DetailsOf(this->ObserveFor(kStep, { "c", "d" }), LogEvent::LearnerWaiting);
  REQUIRE(details.size() == 1);
  CHECK(details[0].find("why=leaving") != std::string::npos);
  CHECK_FALSE(this->IsPromotedNext());
}

TEST_CASE_METHOD(LeaderAfterTwoLostDisks,
                 "ReplicationWatchOfSupersededLearner: says that its instance has a newer id")
{
  const auto details =
    DetailsOf(this->ObserveFor(kStep, { "c", "d", "e" }), LogEvent::LearnerWaiting);
  REQUIRE(details.size() == 2);
  CHECK(details[0].find("learner=host-b/d why=superseded") != std::string::npos);
  CHECK(details[1].find("learner=host-b/e why=earlier_vote") != std::string::npos);
  CHECK_FALSE(this->IsPromotedNext());
}

TEST_CASE_METHOD(LeaderWithSpare, "ReplicationWatchOfSpareWithoutVote: logs nothing")
{
  this->laggard = { "d", 0 };
  CHECK(this->ObserveFor(2 * kSecond, { "b", "c" }).empty());
}

// Guards against a log that is filled while an instance is down for days.
TEST_CASE_METHOD(LeaderWithSpare,
                 "ReplicationWatchOfLostVoter: logs each second, after a minute each 10 s")
{
  const auto first = this->ObserveFor(std::chrono::milliseconds(61050), { "c", "d" });
  CHECK(DetailsOf(first, LogEvent::VoterContactLost).size() == 60);
  const auto later = this->ObserveFor(100 * kSecond, { "c", "d" });
  CHECK(DetailsOf(later, LogEvent::VoterContactLost).size() == 10);
}

// Guards against a voter that is counted but whose instance answers under another member id.
TEST_CASE_METHOD(LeaderWithSpare,
                 "ReplicationWatchOfVoterWithNewId: logs the loss, the new id and the return")
{
  const auto lost = this->ObserveFor(std::chrono::milliseconds(1200), { "c", "d" });
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].event == LogEvent::VoterContactLost);
  CHECK(lost[0].detail ==
        "voter=host-b/b matched=2 lag_entries=0 answered_ms=1200 voter_for_ms=1100");
  JoinRequest request;
  request.instance.id = "host-b";
  request.memberId = "0123456789abcdef";
  this->contacts.OnMessage("host-b", request, this->now);
  const auto renamed = this->ObserveFor(kStep, { "c", "d" });
  REQUIRE(renamed.size() == 1);
  CHECK(renamed[0].detail == "voter=host-b/b matched=2 lag_entries=0 answered_ms=1300 "
                             "voter_for_ms=1200 heard_as=01234567");
  const auto back = this->ObserveFor(2 * kSecond, { "b", "c", "d" });
  REQUIRE(back.size() == 1);
  CHECK(back[0].event == LogEvent::VoterContactRestored);
}

// Guards against a gauge that counts a voter whose instance answers under another member id.
TEST_CASE_METHOD(LeaderWithSpare, "VoterHealthOfLeader: counts answers and the furthest lag")
{
  CHECK(VoterHealthOf(this->node, this->now).answering == 3);
  CHECK(VoterHealthOf(this->node, this->now).furthestLag == 0);
  this->Append(7, 10);
  this->AdvanceFor(2 * kSecond, { "c", "d" });
  CHECK(VoterHealthOf(this->node, this->now).answering == 2);
  CHECK(VoterHealthOf(this->node, this->now).furthestLag == 7);
}

TEST_CASE_METHOD(LeaderWithSpare, "VoterHealthOfFollower: is empty")
{
  this->node.OnMessage(AppendRequest{ this->node.Term() + 1, "b", 2, 2, 2, 1, {} }, this->now);
  CHECK(VoterHealthOf(this->node, this->now).answering == 0);
  CHECK(VoterHealthOf(this->node, this->now).furthestLag == 0);
}
