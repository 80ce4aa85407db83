#include "oleanderledge/consensus/internal/GroupFounding.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr Instant kStart{ std::chrono::seconds(100) };
const std::vector<InitialMember> kInitial{ { "two", "127.0.0.1:2" },
                                           { "one", "127.0.0.1:1" },
                                           { "three", "127.0.0.1:3" } };

JoinRequest RequestOf(const std::string& aInstance, bool aHasLog)
{
  JoinRequest request;
  request.instance.id = aInstance;
  request.memberId = "member of " + aInstance;
  request.hasLog = aHasLog;
  return request;
}

/// Delivers join requests of both other instances every 300 ms for `aTime`. Returns the time after
/// it.
Instant SendRequestsFor(GroupFounding& aFounding,
                        std::chrono::milliseconds aTime,
                        bool aThirdHasLog)
{
  Instant now = kStart;
  while (now - kStart <= aTime) {
    aFounding.OnJoinRequest(RequestOf("three", aThirdHasLog), now);
    aFounding.OnJoinRequest(RequestOf("two", false), now);
    now += std::chrono::milliseconds(300);
  }
  return now;
}

} // namespace

// Guards against founding a group before an existing one could make itself known, or with instances
// that have stopped sending join requests.
TEST_CASE(
  "The instance with the lowest id founds the group once all others have requested to join for 1 s")
{
  // Instance ids are compared as text.
  GroupFounding founding("one", kInitial);
  const Instant early = SendRequestsFor(founding, std::chrono::milliseconds(300), false);
  CHECK_FALSE(founding.FoundingMembers("self", early).has_value());
  const Instant now = SendRequestsFor(founding, std::chrono::milliseconds(1200), false);
  const auto members = founding.FoundingMembers("self", now);
  REQUIRE(members);
  CHECK(members->size() == 3);
  CHECK(members->front().id == "self");
  CHECK_FALSE(founding.FoundingMembers("self", now + std::chrono::seconds(2)).has_value());
}

// Guards against founding a second group while a member of an existing one still has its log.
TEST_CASE("No group is founded while another instance has a log or sends no join requests")
{
  GroupFounding founding("one", kInitial);
  const Instant now = SendRequestsFor(founding, std::chrono::milliseconds(3000), true);
  CHECK_FALSE(founding.FoundingMembers("self", now).has_value());
  GroupFounding other("two", kInitial);
  CHECK_FALSE(other.FoundingMembers("self", SendRequestsFor(other, std::chrono::seconds(3), false))
                .has_value());
}
