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

TEST_CASE("Times before the first answer of a leader cannot be told to it", "[leader-clock]")
{
  LeaderClock clock;
  CHECK_FALSE(clock.ToLeader(Instant{ 5s }));
  clock.OnReply(ReplyOf(3, Instant{ 5s }, 100), Instant{ 6s });
  CHECK_FALSE(clock.ToLeader(Instant{ 5s }));
  CHECK(clock.ToLeader(Instant{ 6s }) == 100);
  // The clock of the next leader is another one.
  clock.OnReply(ReplyOf(4, Instant{ 7s }, 9'000'000), Instant{ 8s });
  CHECK(clock.Term() == 4);
  CHECK_FALSE(clock.ToLeader(Instant{ 7s }));
  clock.OnReply(ReplyOf(3, Instant{ 7s }, 100), Instant{ 9s });
  CHECK(clock.ToLeader(Instant{ 9s }) == 10'000'000);
}

// Guards against stale reads: a sample that looks newer than it is would cover commits that it
// lacks.
TEST_CASE("A time passed on through the leader is never later than the true one", "[leader-clock]")
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
    sender.OnReply(ReplyOf(1, Instant{ 0s }, ToMicroseconds(answered + leaderOffset)),
                   now + senderOffset);
    const Instant sampled = now += delay();
    const auto leaderUs = sender.ToLeader(sampled + senderOffset);
    RC_ASSERT(leaderUs.has_value());
    RC_ASSERT(*leaderUs <= ToMicroseconds(sampled + leaderOffset));
    const Instant heartbeat = now += delay();
    const Instant replied = now += delay();
    const HeartbeatReply reply =
      ReplyOf(1, heartbeat + receiverOffset, ToMicroseconds(replied + leaderOffset));
    RC_ASSERT(LeaderClock::FromLeader(reply, *leaderUs) <= sampled + receiverOffset);
  });
}
