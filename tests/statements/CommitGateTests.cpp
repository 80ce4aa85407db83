#include "oleanderledge/statements/CommitGate.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

CommitGate SteadyGate(Instant aCurrentAt)
{
  CommitGate gate;
  gate.SetSynchronous(true);
  gate.SetPrimary(PrimaryPhase::Steady, 7);
  gate.SetDirectoryCurrentAt(aCurrentAt);
  return gate;
}

} // namespace

TEST_CASE("Commits are refused before the first contact", "[commit_gate]")
{
  CommitGate gate;
  gate.SetSynchronous(true);
  gate.SetPrimary(PrimaryPhase::Steady, 7);
  CHECK(gate.RefusesCommits(Instant{ 10s }));
  gate.SetDirectoryCurrentAt(Instant{ 10s });
  CHECK_FALSE(gate.RefusesCommits(Instant{ 10s }));
}

TEST_CASE("Commits are refused once the last contact is too old", "[commit_gate]")
{
  const CommitGate gate = SteadyGate(Instant{ 10s });
  CHECK_FALSE(gate.RefusesCommits(Instant{ 10s } + kCommitValidity - 1ms));
  CHECK(gate.IsCommitKept(7, Instant{ 10s } + kCommitValidity - 1ms));
  CHECK(gate.RefusesCommits(Instant{ 10s } + kCommitValidity));
  CHECK_FALSE(gate.IsCommitKept(7, Instant{ 10s } + kCommitValidity));
}

// Guards against a contact during a replacement that makes a late confirmation of the old primary
// count.
TEST_CASE("Contacts during a replacement do not extend the time for commits", "[commit_gate]")
{
  CommitGate gate = SteadyGate(Instant{ 10s });
  gate.SetPrimary(PrimaryPhase::Closing, 7);
  gate.SetDirectoryCurrentAt(Instant{ 11s });
  CHECK(gate.MustEndCommits());
  CHECK(gate.IsCommitKept(7, Instant{ 11200ms }));
  CHECK_FALSE(gate.IsCommitKept(7, Instant{ 10s } + kCommitValidity));
}

// Guards against refusals after each replacement until the next heartbeat is answered.
TEST_CASE("The successor takes commits at once if the proxy is in contact", "[commit_gate]")
{
  CommitGate gate = SteadyGate(Instant{ 10s });
  gate.SetPrimary(PrimaryPhase::Promoting, 9);
  gate.SetDirectoryCurrentAt(Instant{ 13s });
  gate.SetPrimary(PrimaryPhase::Steady, 9);
  CHECK_FALSE(gate.RefusesCommits(Instant{ 13100ms }));
  CHECK_FALSE(gate.IsCommitKept(7, Instant{ 13100ms }));
}

TEST_CASE("Commits that no replica confirms are never refused", "[commit_gate]")
{
  CommitGate gate = SteadyGate(Instant{ 10s });
  gate.SetSynchronous(false);
  gate.SetPrimary(PrimaryPhase::Promoting, 9);
  CHECK_FALSE(gate.RefusesCommits(Instant{ 60s }));
  CHECK(gate.IsCommitKept(7, Instant{ 60s }));
}
