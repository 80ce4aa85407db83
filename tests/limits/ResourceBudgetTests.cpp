#include "oleanderledge/limits/limits.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

BudgetLimits SmallLimits()
{
  BudgetLimits limits;
  limits.bytes = 100;
  limits.sparedBytes = 10;
  limits.connections = 3;
  limits.connectionsPerAddress = 2;
  limits.statements = 4;
  return limits;
}

} // namespace

// Guards against closing a client that holds little while others hold most of the memory.
TEST_CASE("Clients that hold most bytes are closed first", "[limits]")
{
  ResourceBudget budget(SmallLimits());
  const auto small = budget.Admit(ClientPort::Callers, "127.0.0.1").client;
  const auto large = budget.Admit(ClientPort::Callers, "127.0.0.2").client;
  const auto other = budget.Admit(ClientPort::Http, "127.0.0.3").client;
  budget.SetHeld(small, 9);
  budget.SetHeld(large, 60);
  budget.SetHeld(other, 31);
  CHECK(budget.TakeClosings(ClientPort::Callers).empty());
  budget.SetHeld(other, 90);
  CHECK(budget.TakeClosings(ClientPort::Callers).empty());
  const auto closings = budget.TakeClosings(ClientPort::Http);
  REQUIRE(closings.size() == 1);
  CHECK(closings[0].client == other);
  CHECK(closings[0].reason == ClosingReason::TotalBytes);
  CHECK(budget.HeldBytes() == 69);
  CHECK(budget.TakeClosings(ClientPort::Http).empty());
  budget.Remove(other);
  CHECK(budget.HeldBytes() == 69);
}

// Guards against a loop without an end, and against closing clients within the usual limits.
TEST_CASE("Clients below the spared size are not closed", "[limits]")
{
  BudgetLimits limits = SmallLimits();
  limits.bytes = 20;
  ResourceBudget budget(limits);
  for (const char* address : { "a", "b", "c" }) {
    budget.SetHeld(budget.Admit(ClientPort::Callers, address).client, 9);
  }
  CHECK(budget.TakeClosings(ClientPort::Callers).empty());
  CHECK(budget.HeldBytes() == 27);
}

// Guards against connections without a start-up that keep others out.
TEST_CASE("At the limit of connections the oldest without start-up is closed", "[limits]")
{
  ResourceBudget budget(SmallLimits());
  const auto first = budget.Admit(ClientPort::Callers, "a").client;
  const auto second = budget.Admit(ClientPort::Callers, "a").client;
  CHECK(budget.Admit(ClientPort::Callers, "a").refusal == ClosingReason::AddressConnections);
  const auto third = budget.Admit(ClientPort::Callers, "b").client;
  budget.MarkStarted(first);
  CHECK_FALSE(budget.Admit(ClientPort::Callers, "c").refusal);
  const auto closings = budget.TakeClosings(ClientPort::Callers);
  REQUIRE(closings.size() == 1);
  CHECK(closings[0].client == second);
  budget.Remove(second);
  budget.MarkStarted(third);
  CHECK_FALSE(budget.Admit(ClientPort::Callers, "d").refusal);
  CHECK(budget.ConnectionCount() == 3);
}

TEST_CASE("A process full of started clients refuses another", "[limits]")
{
  ResourceBudget budget(SmallLimits());
  for (const char* address : { "a", "b", "c" }) {
    budget.MarkStarted(budget.Admit(ClientPort::Callers, address).client);
  }
  CHECK(budget.Admit(ClientPort::Callers, "d").refusal == ClosingReason::Connections);
}

TEST_CASE("Statements are refused at the limit of statements", "[limits]")
{
  ResourceBudget budget(SmallLimits());
  const auto client = budget.Admit(ClientPort::Callers, "a").client;
  budget.SetHeld(client, 0, 3);
  CHECK(budget.AllowsStatement());
  budget.SetHeld(client, 0, 4);
  CHECK_FALSE(budget.AllowsStatement());
  budget.Remove(client);
  CHECK(budget.AllowsStatement());
}
