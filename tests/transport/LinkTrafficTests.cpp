#include "oleanderledge/link/link.hpp"
#include "oleanderledge/transport/transport.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderledge;

namespace {

std::uint64_t SentBytes(std::string_view aMessage, std::string_view aDistance)
{
  const auto totals = SentBytesByMessage();
  const auto found = std::ranges::find_if(totals, [&](const LinkTraffic& aEach) {
    return aEach.message == aMessage && aEach.distance == aDistance;
  });
  return found == totals.end() ? 0 : found->bytes;
}

} // namespace

// Guards against names that are out of step with the list of messages.
TEST_CASE("Sent bytes are counted by message and distance", "[link_traffic]")
{
  const std::uint64_t before = SentBytes("token_reply", "other_region");
  CountSentBytes(Message{ TokenReply{} }.index(), ZoneDistance::OtherRegion, 40);
  CountSentBytes(Message{ TokenReply{} }.index(), ZoneDistance::OtherRegion, 2);
  CHECK(SentBytes("token_reply", "other_region") == before + 42);
  CountSentBytes(Message{ Hello{} }.index(), ZoneDistance::SameZone, 7);
  CHECK(SentBytes("hello", "zone") >= 7);
  CountSentBytes(Message{ LeaveRequest{} }.index(), ZoneDistance::SameRegion, 3);
  CHECK(SentBytes("leave_request", "region") >= 3);
}
