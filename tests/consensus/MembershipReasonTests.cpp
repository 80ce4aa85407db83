#include "tests/consensus/LeaderWithMembers.hpp"

using namespace oleanderledge;

namespace {

/// A leader of three voters with a learner on an instance of its own.
class VotersAndSpare : public LeaderWithMembers
{
public:
  VotersAndSpare()
    : LeaderWithMembers({ Voter("a", "host-a"),
                          Voter("b", "host-b"),
                          Voter("c", "host-c"),
                          Learner("d", "host-d") })
  {
  }
};

/// A leader of three voters, of which "b" has lost its disk and is back as the learner "d".
class VoterWithNewId : public LeaderWithMembers
{
public:
  VoterWithNewId()
    : LeaderWithMembers({ Voter("a", "host-a"),
                          Voter("b", "host-b"),
                          Voter("c", "host-c"),
                          Learner("d", "host-b") })
  {
  }
};

/// A leader of two voters and a learner, one voter short.
class VoterShort : public LeaderWithMembers
{
public:
  VoterShort()
    : LeaderWithMembers({ Voter("a", "host-a"), Voter("b", "host-b"), Learner("d", "host-d") })
  {
  }
};

} // namespace

// The cases of this file guard against a log that shows that a member was replaced, but not why.
TEST_CASE_METHOD(VotersAndSpare, "MembershipReasonOfJoinRequest: is joined")
{
  JoinRequest request;
  request.memberId = "e";
  request.instance.id = "host-e";
  request.instance.linkAddress = "127.0.0.1:5";
  this->maintenance.OnJoinRequest(request, this->now);
  REQUIRE(this->maintenance.NextChange(this->node, this->now));
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::Joined);
}

TEST_CASE_METHOD(VotersAndSpare, "MembershipReasonOfSilentVoter: is the lost voter")
{
  this->AdvanceFor(11 * kSecond, { "c", "d" });
  REQUIRE(this->maintenance.NextChange(this->node, this->now));
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::LostVoter);
}

TEST_CASE_METHOD(VotersAndSpare, "MembershipReasonOfLeaveRequest: is the leaving voter")
{
  const std::string leaving = GENERATE("a", "b");
  this->AdvanceFor(kSecond, { "b", "c", "d" });
  this->maintenance.OnLeaveRequest(leaving, this->now);
  REQUIRE(this->maintenance.NextChange(this->node, this->now));
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::LeavingVoter);
}

TEST_CASE_METHOD(VotersAndSpare, "MembershipReasonOfSilentLearner: is the lost learner")
{
  CHECK_FALSE(this->maintenance.NextChange(this->node, this->now));
  this->AdvanceFor(11 * kSecond, { "b", "c" });
  REQUIRE(this->maintenance.NextChange(this->node, this->now));
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::LostLearner);
}

TEST_CASE_METHOD(VoterWithNewId, "MembershipReasonAfterLostDisk: is the own vote, then completion")
{
  this->AdvanceFor(2 * kSecond, { "c", "d" });
  const auto started = this->maintenance.NextChange(this->node, this->now);
  REQUIRE(started);
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::OwnVote);
  this->node.ChangeMembers(1, *started, this->now);
  this->node.OnPersisted(1000, this->now);
  this->AnswerAll({ "c", "d" });
  REQUIRE(this->maintenance.NextChange(this->node, this->now));
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::ReplacementCompleted);
}

TEST_CASE_METHOD(VoterShort, "MembershipReasonBelowTarget: is the missing voter")
{
  this->AnswerAll({ "b", "d" });
  REQUIRE(this->maintenance.NextChange(this->node, this->now));
  CHECK(this->maintenance.ChangeReason() == MembershipChangeReason::MissingVoter);
}
