#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Instant kStart{ std::chrono::seconds(100) };

/// The voter "b" of three in term 5, whose log ends with the entry 1 of term 1, after the time in
/// which a member rejects all votes.
class VoterInTermFive
{
public:
  VoterInTermFive()
    : node("b", RaftSettings{}, Stored(), std::mt19937_64(7), kStart)
  {
  }

  static PersistentState Stored()
  {
    PersistBatch batch = RaftNode::FoundingBatch({ { "a", "host-a", "127.0.0.1:1", true },
                                                   { "b", "host-b", "127.0.0.1:2", true },
                                                   { "c", "host-c", "127.0.0.1:3", true } });
    batch.hardState.term = 5;
    return { batch.hardState, std::nullopt, batch.entries };
  }

  /// The reason in the refusal of a request, which is answered once everything is durable.
  VoteRefusal RefusalOf(const VoteRequest& aRequest)
  {
    RaftActions actions = this->node.OnMessage(aRequest, this->now);
    for (RaftAction& action : this->node.OnPersisted(100, this->now)) {
      actions.push_back(std::move(action));
    }
    std::optional<VoteReply> reply;
    for (const RaftAction& action : actions) {
      const auto* send = std::get_if<SendAction>(&action);
      const auto* found = send == nullptr ? nullptr : std::get_if<VoteReply>(&send->message);
      if (found != nullptr) {
        reply = *found;
      }
    }
    REQUIRE(reply);
    CHECK(reply->granted == (reply->refusal == VoteRefusal::Unknown));
    return reply->refusal;
  }

  RaftNode node;
  Instant now = kStart + std::chrono::seconds(1);
};

} // namespace

// Guards against a log that says only that no pre-vote found a majority.
TEST_CASE_METHOD(VoterInTermFive,
                 "VoteRefusalOfPreVote: tells the log from the term of the candidate")
{
  CHECK(this->RefusalOf({ 6, "a", 0, 0, true }) == VoteRefusal::LongerLog);
  CHECK(this->RefusalOf({ 5, "a", 1, 1, true }) == VoteRefusal::OlderTerm);
  CHECK(this->RefusalOf({ 4, "a", 1, 1, true }) == VoteRefusal::OlderTerm);
  CHECK(this->RefusalOf({ 6, "a", 1, 1, true }) == VoteRefusal::Unknown);
}

TEST_CASE_METHOD(VoterInTermFive,
                 "VoteRefusalAfterContactWithLeader: names the leader as the reason")
{
  this->node.OnMessage(AppendRequest{ 5, "c", 1, 1, 1, 1, {} }, this->now);
  CHECK(this->RefusalOf({ 6, "a", 1, 1, true }) == VoteRefusal::RecentLeader);
  CHECK(this->RefusalOf({ 6, "a", 1, 1, false }) == VoteRefusal::RecentLeader);
}

TEST_CASE_METHOD(VoterInTermFive, "VoteRefusalWhileStoring: names the pending write as the reason")
{
  this->node.OnMessage(VoteRequest{ 6, "c", 1, 1, false }, this->now);
  CHECK(this->RefusalOf({ 7, "a", 1, 1, true }) == VoteRefusal::Storing);
}

TEST_CASE_METHOD(VoterInTermFive,
                 "VoteRefusalAfterOwnVote: names the other candidate as the reason")
{
  CHECK(this->RefusalOf({ 6, "c", 1, 1, false }) == VoteRefusal::Unknown);
  CHECK(this->RefusalOf({ 6, "a", 1, 1, false }) == VoteRefusal::OtherVote);
  CHECK(this->RefusalOf({ 7, "a", 0, 0, false }) == VoteRefusal::LongerLog);
}
