#pragma once

#include "oleanderledge/consensus/consensus.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace oleanderledge {

/// The member "a" of a group as its leader, and its maintenance. The clock stands still unless a
/// test moves it. Fixture base for tests of what a leader logs.
class LeaderWithMembers
{
public:
  explicit LeaderWithMembers(const std::vector<ControlMember>& aMembers)
    : node("a", RaftSettings{}, Founded(aMembers), std::mt19937_64(7), kElected - kSecond)
    , maintenance(GroupMaintenanceSettings{})
  {
    this->node.OnTick(kElected);
    for (const bool preVote : { true, false }) {
      const std::uint64_t term = this->node.Term() + (preVote ? 1 : 0);
      for (const ControlMember& member : aMembers) {
        this->node.OnMessage(VoteReply{ term, member.id, true, preVote }, kElected);
      }
      this->node.OnPersisted(100, kElected);
    }
    for (const ControlMember& member : aMembers) {
      if (member.voter) {
        this->Answer(member.id, this->node.Log().LastIndex());
      }
    }
    REQUIRE(this->node.IsLeadershipEstablished());
    this->maintenance.OnLeadershipGained(kElected);
  }

  static ControlMember Voter(const std::string& aId, const std::string& aInstance)
  {
    return { aId, aInstance, "127.0.0.1:1", true };
  }
  static ControlMember Learner(const std::string& aId, const std::string& aInstance)
  {
    return { aId, aInstance, "127.0.0.1:1", false };
  }

  /// Delivers the answer of a member to a request that was sent now: it stores the log up to
  /// `aMatched`.
  void Answer(const std::string& aMember, std::uint64_t aMatched)
  {
    const auto round = static_cast<std::uint64_t>((this->now - kElected).count()) + 1;
    const AppendReply reply{ this->node.Term(), aMember, true, aMatched, round };
    this->contacts.OnMessage(FindMember(this->node.Members(), aMember)->instance, reply, this->now);
    this->node.OnMessage(reply, this->now);
  }
  void AnswerAll(std::initializer_list<const char*> aMembers)
  {
    for (const char* member : aMembers) {
      this->Answer(member, this->node.Log().LastIndex());
    }
  }
  /// Lets time pass in steps, after each of which these members answer. The leader stays one only
  /// if they are a majority with it.
  void AdvanceFor(Duration aDuration, std::initializer_list<const char*> aAnswering)
  {
    const Instant end = this->now + aDuration;
    while (this->now < end) {
      this->now += kStep;
      this->AnswerAll(aAnswering);
    }
  }
  /// Appends commands, which are durable on the leader at once.
  void Append(std::size_t aCount, std::size_t aBytes)
  {
    for (std::size_t command = 0; command < aCount; ++command) {
      this->node.Propose(command, std::string(aBytes, 'x'), this->now);
    }
    this->node.OnPersisted(1000, this->now);
  }

  static constexpr Duration kSecond = std::chrono::seconds(1);
  static constexpr Duration kStep = std::chrono::milliseconds(100);
  static constexpr Instant kElected{ std::chrono::seconds(101) };

  RaftNode node;
  GroupMaintenance maintenance;
  MemberContacts contacts;
  Instant now = kElected;

private:
  static PersistentState Founded(const std::vector<ControlMember>& aMembers)
  {
    const PersistBatch batch = RaftNode::FoundingBatch(aMembers);
    return { batch.hardState, std::nullopt, batch.entries };
  }
};

} // namespace oleanderledge
