#include "oleanderledge/daemon/LeaderClock.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

HeartbeatReply ReplyOf(std::uint64_t aTerm, Instant aSentAt, std::int64_t aLeaderUs)
{
  HeartbeatReply reply;
  reply.leaderTerm = aTerm;
  reply.sentUs = ToMicroseconds(aSentAt);
  reply.leaderUs = aLeaderUs;
  return reply;
}

} // namespace

TEST_CASE("Times before the first reply of a leader cannot be converted to its clock",
          "[leader-clock]")
{
  LeaderClock clock;
  CHECK_FALSE(clock.ToLeaderUs(Instant{ 5s }));
  clock.RecordReply(ReplyOf(3, Instant{ 5s }, 100), Instant{ 6s });
  CHECK_FALSE(clock.ToLeaderUs(Instant{ 5s }));
  CHECK(clock.ToLeaderUs(Instant{ 6s }) == 100);
  // The next leader has another clock.
  clock.RecordReply(ReplyOf(4, Instant{ 7s }, 9'000'000), Instant{ 8s });
  CHECK(clock.Term() == 4);
  CHECK_FALSE(clock.ToLeaderUs(Instant{ 7s }));
  clock.RecordReply(ReplyOf(3, Instant{ 7s }, 100), Instant{ 9s });
  CHECK(clock.ToLeaderUs(Instant{ 9s }) == 10'000'000);
}

// Guards against stale reads: a sample whose time is too late claims to cover commits that it
// lacks.
TEST_CASE("A time converted through the leader is never later than the true one", "[leader-clock]")
{
  rc::prop("any delays, any offsets of the three clocks", [] {
    const auto delay = [] { return Duration{ *rc::gen::inRange(0, 400'000) }; };
    const auto offset = [] { return Duration{ *rc::gen::inRange(0, 900'000'000) }; };
    const Duration senderOffset = offset();
    const Duration leaderOffset = offset();
    const Duration receiverOffset = offset();
    // True times.
    Instant now{ 1000s };
    const Instant answered = now += delay();
    LeaderClock sender;
    now += delay();
    sender.RecordReply(ReplyOf(1, Instant{ 0s }, ToMicroseconds(answered + leaderOffset)),
                       now + senderOffset);
    const Instant sampled = now += delay();
    const auto leaderUs = sender.ToLeaderUs(sampled + senderOffset);
    RC_ASSERT(leaderUs.has_value());
    RC_ASSERT(*leaderUs <= ToMicroseconds(sampled + leaderOffset));
    const Instant heartbeat = now += delay();
    const Instant replied = now += delay();
    const HeartbeatReply reply =
      ReplyOf(1, heartbeat + receiverOffset, ToMicroseconds(replied + leaderOffset));
    RC_ASSERT(LeaderClock::FromLeaderUs(reply, *leaderUs) <= sampled + receiverOffset);
  });
}
