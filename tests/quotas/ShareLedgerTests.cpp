#include "oleanderledge/quotas/quotas.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

Instant At(int aMs)
{
  return Instant{ std::chrono::hours(1) } + std::chrono::milliseconds(aMs);
}

QuotaShare Share(std::uint64_t aPerSecond, std::uint32_t aBurst, std::uint64_t aNumber)
{
  return { "miny", { true, aPerSecond * 1000, aBurst }, aNumber };
}

int TakeAll(ShareLedger& aLedger, int aMs)
{
  int count = 0;
  while (aLedger.Take("miny", true, At(aMs))) {
    ++count;
  }
  return count;
}

} // namespace

// Guards Q1 against a share that moves from proxy to proxy and brings its burst to each.
TEST_CASE("A share starts empty and keeps a reserve")
{
  ShareLedger ledger;
  ledger.OnHeartbeatReply(1, { Share(2, 4, ShareNumber(1, 1)) }, At(0), At(10));
  CHECK_FALSE(ledger.Take("miny", true, At(10)));
  CHECK_FALSE(ledger.Take("miny", false, At(1010)));
  CHECK_FALSE(ledger.Take("miny", false, At(1900)));
  CHECK(ledger.Take("miny", false, At(2010)));
  CHECK_FALSE(ledger.Take("miny", false, At(2010)));
  CHECK(TakeAll(ledger, 4000) == 4);
}

TEST_CASE("A share ends 4.5 s after the heartbeat that confirmed it last")
{
  ShareLedger ledger;
  ledger.OnHeartbeatReply(1, { Share(10, 4, ShareNumber(1, 1)) }, At(0), At(10));
  ledger.OnHeartbeatReply(1, {}, At(1000), At(1010));
  CHECK(ledger.Number(At(5499)) == ShareNumber(1, 1));
  CHECK(ledger.Take("miny", true, At(5499)));
  CHECK_FALSE(ledger.Take("miny", true, At(5500)));
  CHECK(ledger.Number(At(5500)) == 0);
  // A reply that was on its way does not bring it back.
  ledger.OnHeartbeatReply(1, {}, At(5000), At(5501));
  CHECK_FALSE(ledger.Take("miny", true, At(5600)));
}

// Guards against shares of a leader that its successor does not know of.
TEST_CASE("A new leader does not renew the shares of its predecessor")
{
  ShareLedger ledger;
  ledger.OnHeartbeatReply(1, { Share(10, 4, ShareNumber(1, 1)) }, At(0), At(10));
  ledger.OnHeartbeatReply(2, {}, At(4000), At(4010));
  CHECK(ledger.Take("miny", true, At(4400)));
  CHECK_FALSE(ledger.Take("miny", true, At(4500)));
}

TEST_CASE("A late reply does not restore a larger share")
{
  ShareLedger ledger;
  ledger.OnHeartbeatReply(1, { Share(10, 8, ShareNumber(1, 2)) }, At(0), At(10));
  ledger.OnHeartbeatReply(1, { Share(1, 2, ShareNumber(1, 3)) }, At(2000), At(2010));
  ledger.OnHeartbeatReply(1, { Share(10, 8, ShareNumber(1, 2)) }, At(1800), At(2020));
  CHECK(TakeAll(ledger, 2020) == 2);
  CHECK(TakeAll(ledger, 4020) == 2);
  ledger.OnHeartbeatReply(1, { Share(0, 0, ShareNumber(1, 4)) }, At(4000), At(4030));
  ledger.OnHeartbeatReply(1, { Share(1, 2, ShareNumber(1, 3)) }, At(3900), At(4040));
  CHECK(TakeAll(ledger, 8000) == 0);
}

TEST_CASE("A token of a share that has ended is not returned to the next one")
{
  ShareLedger ledger;
  ledger.OnHeartbeatReply(1, { Share(10, 4, ShareNumber(1, 1)) }, At(0), At(10));
  const auto token = ledger.Take("miny", true, At(4450));
  REQUIRE(token);
  ledger.OnHeartbeatReply(2, { Share(1, 4, ShareNumber(2, 1)) }, At(4510), At(4520));
  ledger.Return(*token, At(4530));
  CHECK_FALSE(ledger.Take("miny", true, At(4540)));
}
