#include "oleanderledge/control/IncarnationTracker.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using enum IncarnationVerdict;

// Guards against delayed or duplicate messages that are treated as new ones, and against a clone
// that is not detected. Each verdict is logged under its own name.
TEST_CASE("Duplicates, delayed messages, restarts and clones are distinguished")
{
  IncarnationTracker tracker;
  CHECK(tracker.Observe(1, 5) == First);
  CHECK(tracker.Observe(1, 6) == Current);
  CHECK(tracker.Observe(1, 6) == Duplicate);
  CHECK(tracker.Observe(1, 4) == OldSequence);
  CHECK(tracker.Observe(2, 1) == Restarted);
  CHECK(tracker.Observe(1, 6) == OldIncarnation);
  CHECK(tracker.Observe(1, 7) == OldIncarnation);
  CHECK(tracker.Observe(2, 2) == Current);
  CHECK(tracker.Observe(1, 8) == Clone);
  CHECK(tracker.Observe(2, 3) == Current);
  CHECK(tracker.Current() == 2);
}
