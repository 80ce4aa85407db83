#include "oleanderledge/quotas/quotas.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

Instant At(int aMs)
{
  return Instant{ std::chrono::hours(1) } + std::chrono::milliseconds(aMs);
}

OperationDemand Demand(int aDeadlineMs, std::uint32_t aPriority = 0)
{
  return { "miny", aPriority, At(aDeadlineMs) };
}

TokenReply Reply(const TokenRequest& aRequest, std::uint32_t aTokens, std::uint32_t aRetryMs = 0)
{
  TokenReply reply;
  reply.sequence = aRequest.sequence;
  reply.accepted = true;
  reply.grants = { { "miny", aTokens, aRetryMs } };
  return reply;
}

} // namespace

TEST_CASE("Operations that arrive during a request are batched into the next one")
{
  TokenLedger ledger;
  CHECK_FALSE(ledger.Admit(1, Demand(400), At(0)));
  const auto first = ledger.TakeRequest(At(0));
  REQUIRE(first);
  CHECK(first->demands[0].tokens == 1);
  CHECK_FALSE(ledger.Admit(2, Demand(400), At(1)));
  CHECK_FALSE(ledger.Admit(3, Demand(400), At(2)));
  CHECK_FALSE(ledger.TakeRequest(At(2)));
  ledger.OnReply(Reply(*first, 1), At(30));
  const auto decisions = ledger.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].first == 1);
  CHECK(decisions[0].second.token);
  const auto second = ledger.TakeRequest(At(30));
  REQUIRE(second);
  CHECK(second->demands[0].tokens == 2);
}

// Guards Q1 against tokens that a late reply brings, and that a suspended proxy finds when it
// wakes.
TEST_CASE("Tokens expire 250 ms after the request was sent")
{
  TokenLedger ledger;
  CHECK_FALSE(ledger.Admit(1, Demand(400), At(0)));
  const auto request = ledger.TakeRequest(At(0));
  ledger.Cancel(1);
  ledger.OnReply(Reply(*request, 2), At(10));
  CHECK(ledger.Admit(2, Demand(600), At(249))->token);
  CHECK_FALSE(ledger.Admit(3, Demand(600), At(250)));
  const auto late = ledger.TakeRequest(At(250));
  REQUIRE(late);
  ledger.OnReply(Reply(*late, 1), At(500));
  CHECK(ledger.TakeDecisions().empty());
}

TEST_CASE("After a denial the most urgent wait for the retry time and the others are refused")
{
  TokenLedger ledger;
  CHECK_FALSE(ledger.Admit(1, Demand(100, 2), At(0)));
  CHECK_FALSE(ledger.Admit(2, Demand(300, 1), At(0)));
  CHECK_FALSE(ledger.Admit(3, Demand(300, 0), At(0)));
  const auto request = ledger.TakeRequest(At(0));
  ledger.OnReply(Reply(*request, 1, 200), At(10));
  const auto decisions = ledger.TakeDecisions();
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].first == 3);
  CHECK(decisions[0].second.token);
  CHECK(decisions[1].first == 1);
  CHECK(decisions[1].second.retryAfter == std::chrono::milliseconds(200));
  CHECK(ledger.Admit(4, Demand(150), At(20))->retryAfter == std::chrono::milliseconds(190));
  CHECK_FALSE(ledger.TakeRequest(At(59)));
  CHECK(ledger.NextTime() == At(60));
  CHECK(ledger.TakeRequest(At(60)));
  CHECK(ledger.RefusedCount() == 2);
  CHECK(ledger.TakeNewlyRefused() == std::vector<std::string>{ "miny" });
  CHECK(ledger.TakeOperationCounts()[0].operations == 4);
}

TEST_CASE("A lost reply is asked for again and a late one still counts")
{
  TokenLedger ledger;
  CHECK_FALSE(ledger.Admit(1, Demand(900), At(0)));
  const auto lost = ledger.TakeRequest(At(0));
  CHECK(ledger.NextTime() == At(75));
  ledger.OnTime(At(75));
  CHECK(ledger.NextTime() == At(200));
  ledger.OnTime(At(200));
  const auto again = ledger.TakeRequest(At(200));
  REQUIRE(again);
  ledger.OnReply(Reply(*lost, 1), At(240));
  CHECK(ledger.TakeDecisions().size() == 1);
  ledger.OnReply(Reply(*lost, 1), At(241));
  ledger.Cancel(1);
  CHECK_FALSE(ledger.Admit(2, Demand(900), At(242)));
}

TEST_CASE("Without an answer an operation is refused at its deadline")
{
  TokenLedger ledger;
  CHECK_FALSE(ledger.Admit(1, Demand(100), At(0)));
  ledger.OnReply({ "", 0, ledger.TakeRequest(At(0))->sequence, 0, false, {} }, At(5));
  CHECK_FALSE(ledger.TakeRequest(At(5)));
  ledger.OnTime(At(100));
  const auto decisions = ledger.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK_FALSE(decisions[0].second.token);
  CHECK(decisions[0].second.retryAfter == kRetryAfterNoLeader);
  CHECK_FALSE(ledger.NextTime());
}

TEST_CASE("A returned token admits another operation until it expires")
{
  TokenLedger ledger;
  CHECK_FALSE(ledger.Admit(1, Demand(400), At(0)));
  ledger.OnReply(Reply(*ledger.TakeRequest(At(0)), 1), At(10));
  const OperationToken token = *ledger.TakeDecisions()[0].second.token;
  ledger.Return(token, At(20));
  CHECK(ledger.Admit(2, Demand(400), At(30))->token);
  ledger.Return(token, At(250));
  CHECK_FALSE(ledger.Admit(3, Demand(400), At(250)));
}
