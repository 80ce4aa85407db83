#include "tests/control/ControlHarness.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace oleanderledge;

namespace {

constexpr int kEventCount = 18;
constexpr int kEventsPerRun = 60;

/// Injects or repairs one fault.
void ApplyEvent(ControlHarness& aHarness, int aEvent, bool aFlag)
{
  const std::string slot(1, static_cast<char>('a' + aEvent % 3));
  const std::string proxy = aEvent % 2 == 0 ? "p1" : "p2";
  switch (aEvent) {
    case 0:
    case 1:
    case 2:
      aHarness.Slot(slot).alive = !aHarness.Slot(slot).alive;
      break;
    case 3:
    case 4:
    case 5:
      aHarness.Slot(slot).announces = aFlag;
      break;
    case 6:
    case 7:
      aHarness.Proxy(proxy).connected = aFlag;
      break;
    case 8:
    case 9:
      aHarness.RestartProxy(proxy);
      break;
    case 10:
      aHarness.Slot(aFlag ? "a" : "b").departing ^= true;
      break;
    case 11:
      aHarness.LoseLeader(aFlag);
      break;
    case 12:
      aHarness.ElectLeader();
      break;
    case 13:
      aHarness.commitsPaused = aFlag;
      break;
    case 14:
    case 15:
      // The new leader is elected at once, while leases of the previous one are in use.
      aHarness.LoseLeader(aFlag);
      aHarness.ElectLeader();
      break;
    case 16:
      aHarness.RestartProxy(aHarness.Row().owner.empty() ? proxy : aHarness.Row().owner);
      break;
    default:
      aHarness.Proxy("p1").refusesRelease = aFlag;
      if (aFlag) {
        aHarness.Proxy("p1").unreachable.insert(aHarness.Row().primary);
      } else {
        aHarness.Proxy("p1").unreachable.clear();
      }
      break;
  }
}

void Repair(ControlHarness& aHarness)
{
  aHarness.commitsPaused = false;
  aHarness.ElectLeader();
  for (const char* name : { "a", "b", "c" }) {
    aHarness.Slot(name).alive = true;
    aHarness.Slot(name).announces = true;
    aHarness.Slot(name).departing = false;
  }
  for (const char* id : { "p1", "p2" }) {
    aHarness.Proxy(id).connected = true;
    aHarness.Proxy(id).refusesRelease = false;
    aHarness.Proxy(id).unreachable.clear();
  }
}

} // namespace

// Searches random orders of faults for one that leads to two leases at the same time, to a term
// that is decided twice, to a promotion from outside the in-sync set, or to the loss of
// acknowledged writes. ControlHarness checks these invariants. After the repair, the database must
// become steady.
TEST_CASE("Leases and promotions keep their invariants under random events and then recover")
{
  CHECK(rc::check([] {
    ControlHarness harness;
    harness.RunUntilSteady();
    for (int i = 0; i < kEventsPerRun; ++i) {
      const int event = *rc::gen::inRange(0, kEventCount);
      const bool flag = *rc::gen::arbitrary<bool>();
      const int pause = *rc::gen::element(10, 50, 200, 500, 1300, 3000);
      harness.heartbeatDelay = std::chrono::milliseconds(*rc::gen::element(1, 5, 40, 150));
      RC_LOG() << "event " << event << " " << flag << " then " << pause << " ms\n";
      ApplyEvent(harness, event, flag);
      harness.Run(std::chrono::milliseconds(pause));
      for (const std::string& violation : harness.violations) {
        RC_LOG() << violation << "\n";
      }
      RC_ASSERT(harness.violations.empty());
    }
    RC_TAG(std::to_string(harness.promotions.size()) + " promotions");
    Repair(harness);
    RC_ASSERT(harness.RunUntil([&] { return harness.IsSteadyWith(harness.Row().primary); }));
    RC_ASSERT(harness.violations.empty());
  }));
}
