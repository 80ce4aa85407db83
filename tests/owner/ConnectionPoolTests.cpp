#include "oleanderledge/owner/internal/ConnectionPool.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

const std::set<std::string> kSlots{ "p", "q", "r" };
const Instant kNow{ std::chrono::seconds(100) };

/// Executes plans, with openings that succeed at once, until a plan is empty. Returns the number of
/// rounds, at most 50.
int Apply(ConnectionPool& aPool, const std::map<std::string, std::size_t>& aWaitingUnits)
{
  for (int round = 0; round < 50; ++round) {
    const auto plan = aPool.MakePlan(aWaitingUnits, kSlots, kNow);
    if (plan.open.empty() && plan.close.empty()) {
      return round;
    }
    for (const ConnectionId id : plan.close) {
      aPool.Erase(id);
    }
    for (const std::string& slot : plan.open) {
      aPool.Open(slot, kNow).phase = ConnectionPhase::Idle;
    }
  }
  return 50;
}

} // namespace

// Guards against slots that take connections from each other endlessly: at the limit, each opening
// (12 ms) closes a connection that another slot then opens again.
TEST_CASE("At the connection limit the plan becomes stable and leaves each slot a connection")
{
  ConnectionPool pool;
  pool.SetLimit(9);
  CHECK(Apply(pool, {}) < 10);
  CHECK(pool.Size() == 6);
  CHECK(Apply(pool, { { "p", 20 } }) < 20);
  CHECK(pool.CountOn("p") == 7);
  CHECK(pool.CountOn("q") == 1);
  CHECK(pool.CountOn("r") == 1);
  CHECK(Apply(pool, {}) < 20);
  CHECK(pool.Size() == 9);
}

// Guards against units that wait forever when the limit is lower than the number of slots and an
// idle slot holds the last connection.
TEST_CASE("A slot with waiting units takes the last connection of an idle slot")
{
  ConnectionPool pool;
  pool.SetLimit(1);
  pool.Open("q", kNow).phase = ConnectionPhase::Idle;
  CHECK(Apply(pool, { { "p", 1 } }) < 5);
  CHECK(pool.CountOn("p") == 1);
}

// Guards against connection attempts without a pause to a server that refuses them.
TEST_CASE("After a failed opening the next one is delayed")
{
  ConnectionPool pool;
  pool.SetLimit(9);
  pool.NoteOpenFailed("p", kNow);
  CHECK(pool.MakePlan({ { "p", 5 } }, { "p" }, kNow).open.empty());
  CHECK(pool.MakePlan({ { "p", 5 } }, { "p" }, kNow + Duration{ 50'000 }).open.size() == 4);
}
