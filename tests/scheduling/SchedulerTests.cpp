#include "oleanderledge/scheduling/scheduling.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace oleanderledge;

namespace {

std::unique_ptr<Scheduler> MakeScheduler(int aKind)
{
  if (aKind == 0) {
    return std::make_unique<DeadlineScheduler>();
  }
  if (aKind == 1) {
    return std::make_unique<FifoScheduler>();
  }
  return std::make_unique<PriorityScheduler>();
}

} // namespace

// Guards against lost and duplicated units, which would be unanswered or executed twice.
TEST_CASE("Every admitted unit leaves a scheduler exactly once, and in order within a caller")
{
  REQUIRE(rc::check([] {
    const auto scheduler = MakeScheduler(*rc::gen::inRange(0, 3));
    const std::vector<ClassTarget> classes{ { "a", Duration{ 50'000 } },
                                            { "b", Duration{ 500'000 } } };
    scheduler->Configure(classes);
    scheduler->SetCapacity(4);
    Instant now{ std::chrono::seconds(1) };
    std::set<std::uint64_t> queued;
    std::map<std::uint64_t, std::string> keys;
    std::map<std::string, std::uint64_t> newestTaken;
    std::uint64_t lastId = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int step : steps) {
      now += Duration{ *rc::gen::inRange(0, 20'000) };
      if (step < 5) {
        const std::string workClass = *rc::gen::elementOf(std::vector<std::string>{ "a", "b", "" });
        const std::string caller = *rc::gen::elementOf(std::vector<std::string>{ "x", "y", "z" });
        const auto lane = static_cast<WorkLane>(*rc::gen::inRange(0, 2));
        const std::uint64_t id = ++lastId;
        std::string& key = keys[id];
        key.append(workClass).append("/").append(caller).append("/");
        key.append(lane == WorkLane::Primary ? "primary" : "any");
        if (!scheduler->Admit({ id, workClass, caller, lane, now, 10 }, now)) {
          queued.insert(id);
        }
      } else if (step < 8) {
        const auto taken = scheduler->TakeNext(now, [](std::uint64_t) { return true; });
        // Work-conserving: a unit is dispatched whenever one is queued.
        RC_ASSERT(taken.has_value() == !queued.empty());
        if (taken) {
          RC_ASSERT(queued.erase(*taken) == 1);
          RC_ASSERT(newestTaken[keys[*taken]] < *taken);
          newestTaken[keys[*taken]] = *taken;
          scheduler->RecordServiceTime("a", "x", Duration{ *rc::gen::inRange(1, 5000) });
        }
      } else if (step == 8) {
        for (const Refusal& refusal : scheduler->TakeExpired(now)) {
          RC_ASSERT(queued.erase(refusal.id) == 1);
        }
      } else if (lastId > 0) {
        const std::uint64_t id = *rc::gen::inRange<std::uint64_t>(1, lastId + 1);
        RC_ASSERT(scheduler->Remove(id) == (queued.erase(id) == 1));
      }
      RC_ASSERT(scheduler->QueuedCount() == queued.size());
    }
  }));
}

// Guards against reads that wait behind writes for a busy primary.
TEST_CASE("A unit that cannot run now does not block the other lane of its caller")
{
  DeadlineScheduler scheduler;
  const Instant now{ std::chrono::seconds(1) };
  REQUIRE_FALSE(scheduler.Admit({ 1, "", "x", WorkLane::Primary, now, 1 }, now));
  REQUIRE_FALSE(scheduler.Admit({ 2, "", "x", WorkLane::AnySlot, now, 1 }, now));
  CHECK(scheduler.TakeNext(now, [](std::uint64_t aId) { return aId == 2; }) == 2);
  CHECK_FALSE(scheduler.TakeNext(now, [](std::uint64_t) { return false; }).has_value());
}

// Guards against queued units that are lost when an operator deletes their class.
TEST_CASE("Units of a deleted class move to the class with the longest target")
{
  DeadlineScheduler scheduler;
  const std::vector<ClassTarget> classes{ { "a", Duration{ 50'000 } },
                                          { "b", Duration{ 500'000 } } };
  scheduler.Configure(classes);
  const Instant now{ std::chrono::seconds(1) };
  REQUIRE_FALSE(scheduler.Admit({ 1, "a", "x", WorkLane::Primary, now, 1 }, now));
  scheduler.Configure(std::span(classes).subspan(1));
  CHECK(scheduler.TakeExpired(now + Duration{ 100'000 }).empty());
  CHECK(scheduler.TakeNext(now, [](std::uint64_t) { return true; }) == 1);
}

// Guards against ignoring the configured limit, and against a full class that blocks others.
TEST_CASE("A class refuses units beyond its limit of units")
{
  DeadlineScheduler scheduler(2);
  const std::vector<ClassTarget> classes{ { "a", Duration{ 50'000 } },
                                          { "b", Duration{ 500'000 } } };
  scheduler.Configure(classes);
  const Instant now{ std::chrono::seconds(1) };
  REQUIRE_FALSE(scheduler.Admit({ 1, "a", "x", WorkLane::Primary, now, 1 }, now));
  REQUIRE_FALSE(scheduler.Admit({ 2, "a", "x", WorkLane::Primary, now, 1 }, now));
  const auto refusal = scheduler.Admit({ 3, "a", "x", WorkLane::Primary, now, 1 }, now);
  REQUIRE(refusal.has_value());
  CHECK(refusal->code == ResultCode::Overloaded);
  CHECK_FALSE(scheduler.Admit({ 4, "b", "x", WorkLane::Primary, now, 1 }, now));
}

// Guards against running out of memory: payloads of queued units are held by small instances.
TEST_CASE("A queue refuses units beyond its byte limit")
{
  DeadlineScheduler scheduler;
  const Instant now{ std::chrono::seconds(1) };
  REQUIRE_FALSE(scheduler.Admit({ 1, "", "x", WorkLane::Primary, now, kMaxQueuedBytes }, now));
  const auto refusal = scheduler.Admit({ 2, "", "x", WorkLane::Primary, now, 1 }, now);
  REQUIRE(refusal.has_value());
  CHECK(refusal->code == ResultCode::Overloaded);
  CHECK(scheduler.Remove(1));
  CHECK_FALSE(scheduler.Admit({ 3, "", "x", WorkLane::Primary, now, 1 }, now));
}

// Guards against refusals in a planned change of primary: its pause counted against a short target,
// and 7 units were refused in 4 rounds.
TEST_CASE("An excluded pause does not count against the target of units for the primary")
{
  const std::vector<ClassTarget> classes{ { "bookings", Duration{ 50'000 } } };
  const Instant start{ std::chrono::seconds(1) };
  for (const bool excluded : { false, true }) {
    DeadlineScheduler scheduler;
    scheduler.Configure(classes);
    scheduler.SetCapacity(4);
    REQUIRE_FALSE(scheduler.Admit({ 1, "bookings", "x", WorkLane::Primary, start, 10 }, start));
    if (excluded) {
      scheduler.ExcludePause(Duration{ 300'000 });
    }
    CHECK(scheduler.TakeExpired(start + Duration{ 300'000 }).empty() == excluded);
  }
}

// Guards against permanent refusal: slow servers raised the estimated service time above the
// target, every unit was refused, and without served units the estimate never fell again.
TEST_CASE("A service time above the target does not refuse the whole class")
{
  const std::vector<ClassTarget> classes{ { "bookings", Duration{ 50'000 } } };
  const Instant start{ std::chrono::seconds(1) };
  DeadlineScheduler scheduler;
  scheduler.Configure(classes);
  scheduler.SetCapacity(4);
  for (int served = 0; served < 100; ++served) {
    scheduler.RecordServiceTime("bookings", "x", Duration{ 200'000 });
  }
  CHECK_FALSE(scheduler.Admit({ 1, "bookings", "x", WorkLane::Primary, start, 10 }, start));
}
