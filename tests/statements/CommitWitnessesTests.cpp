#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <map>
#include <memory>

using namespace oleanderledge;

namespace {

/// Keeps the questions until a test answers them.
class FakeProbe : public WitnessProbe
{
public:
  void AskWitness(const std::string& aServer,
                  const LogPosition& aPosition,
                  Callback aCallback) override
  {
    this->questions[aServer] = { aPosition, std::move(aCallback) };
  }

  bool Answer(const std::string& aServer, bool aIsReceived)
  {
    const auto question = this->questions.extract(aServer);
    if (question.empty()) {
      return false;
    }
    question.mapped().second(aIsReceived);
    return true;
  }

  std::map<std::string, std::pair<LogPosition, Callback>> questions;
};

struct Acknowledgement
{
  CommitWitnesses::Owner owner = std::make_shared<int>(0);
  int released = 0;

  void AwaitIn(CommitWitnesses& aWitnesses, const LogPosition& aPosition)
  {
    aWitnesses.Await(aPosition, "primary", this->owner, [this] { ++this->released; });
  }
};

} // namespace

// Guards against an acknowledged commit that only a silent replica has received.
TEST_CASE("A commit is released once enough other servers have received it", "[witnesses]")
{
  FakeProbe probe;
  CommitWitnesses witnesses(probe);
  witnesses.Require({ "primary", "b", "c" }, 2);
  CHECK(witnesses.IsRequired());
  Acknowledgement commit;
  commit.AwaitIn(witnesses, { 1, 10 });
  CHECK_FALSE(probe.questions.contains("primary"));
  CHECK(probe.questions.at("b").first == LogPosition{ 1, 10 });
  CHECK(probe.Answer("b", true));
  CHECK(commit.released == 0);
  CHECK(probe.Answer("c", false));
  CHECK(commit.released == 0);
  witnesses.AskAgain();
  CHECK_FALSE(probe.questions.contains("b"));
  CHECK(probe.Answer("c", true));
  CHECK(commit.released == 1);
  CHECK_FALSE(witnesses.IsHolding());
}

// Guards against an answer that is taken for one about a later commit.
TEST_CASE("An answer counts only for commits up to the position that was asked for", "[witnesses]")
{
  FakeProbe probe;
  CommitWitnesses witnesses(probe);
  witnesses.Require({ "b" }, 1);
  Acknowledgement first;
  Acknowledgement second;
  Acknowledgement ofNextTerm;
  first.AwaitIn(witnesses, { 1, 10 });
  second.AwaitIn(witnesses, { 1, 11 });
  ofNextTerm.AwaitIn(witnesses, { 2, 5 });
  probe.Answer("b", true);
  CHECK(first.released == 1);
  CHECK(second.released == 0);
  // The next question is sent at once, for the newest commit. It tells nothing of an earlier term.
  CHECK(probe.questions.at("b").first == LogPosition{ 2, 5 });
  probe.Answer("b", true);
  CHECK(ofNextTerm.released == 1);
  CHECK(second.released == 0);
  CHECK(probe.questions.at("b").first == LogPosition{ 1, 11 });
  probe.Answer("b", true);
  CHECK(second.released == 1);
}

TEST_CASE("A server that fell silent meanwhile is no witness", "[witnesses]")
{
  FakeProbe probe;
  CommitWitnesses witnesses(probe);
  witnesses.Require({ "b", "c" }, 2);
  Acknowledgement commit;
  commit.AwaitIn(witnesses, { 1, 10 });
  probe.Answer("b", true);
  witnesses.Require({ "c", "d" }, 2);
  probe.Answer("c", true);
  CHECK(commit.released == 0);
  witnesses.AskAgain();
  probe.Answer("d", true);
  CHECK(commit.released == 1);
}

TEST_CASE("Commits are released once no witness is required any more", "[witnesses]")
{
  FakeProbe probe;
  CommitWitnesses witnesses(probe);
  witnesses.Require({ "b" }, 1);
  Acknowledgement commit;
  commit.AwaitIn(witnesses, { 1, 10 });
  witnesses.Require({}, 0);
  CHECK(commit.released == 1);
  CHECK_FALSE(witnesses.IsRequired());
  probe.Answer("b", true);
  CHECK(commit.released == 1);
}

// Guards against an answer to a caller that has left, or to the next statement of a session.
TEST_CASE("A commit that nobody waits for any more is not released", "[witnesses]")
{
  FakeProbe probe;
  CommitWitnesses witnesses(probe);
  witnesses.Require({ "b" }, 1);
  Acknowledgement left;
  Acknowledgement leavesLater;
  Acknowledgement last;
  left.AwaitIn(witnesses, { 1, 10 });
  witnesses.Await({ 1, 11 }, "primary", last.owner, [&leavesLater] { leavesLater.owner.reset(); });
  leavesLater.AwaitIn(witnesses, { 1, 12 });
  left.owner.reset();
  probe.Answer("b", true);
  probe.Answer("b", true);
  CHECK(left.released == 0);
  CHECK(leavesLater.released == 0);
  CHECK_FALSE(witnesses.IsHolding());
}

// Guards against a release without witnesses, whatever the order of commits and answers.
TEST_CASE("Each released commit is on enough servers, and all are released in the end",
          "[witnesses]")
{
  CHECK(rc::check([] {
    const std::vector<std::string> servers{ "b", "c", "d" };
    const auto needed = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4));
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 4)));
    FakeProbe probe;
    CommitWitnesses witnesses(probe);
    witnesses.Require({ "primary", "b", "c", "d" }, needed);
    std::map<std::string, std::uint64_t> received;
    const auto answerAll = [&](const std::string& aServer) {
      if (probe.questions.contains(aServer)) {
        const std::uint64_t asked = probe.questions[aServer].first.offset;
        probe.Answer(aServer, received[aServer] >= asked);
      }
    };
    std::uint64_t written = 0;
    std::uint64_t released = 0;
    const CommitWitnesses::Owner owner = std::make_shared<int>(0);
    for (const auto& [kind, number] : steps) {
      const std::string& server = servers[static_cast<std::size_t>(number) % servers.size()];
      if (kind < 3) {
        witnesses.Await({ 1, ++written }, "primary", owner, [&, own = written] {
          ++released;
          const auto holders = std::ranges::count_if(
            servers, [&](const std::string& aEach) { return received[aEach] >= own; });
          RC_ASSERT(holders >= static_cast<std::ptrdiff_t>(needed));
        });
      } else if (kind < 5) {
        received[server] = written;
      } else if (kind < 7) {
        answerAll(server);
      } else {
        witnesses.AskAgain();
      }
    }
    for (const std::string& server : servers) {
      received[server] = written;
    }
    for (int round = 0; round < 3; ++round) {
      witnesses.AskAgain();
      for (const std::string& server : servers) {
        answerAll(server);
      }
    }
    RC_ASSERT(released == written);
  }));
}
