#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

TEST_CASE("The lowest position that is recent enough is chosen", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start, { 3, 10 });
  history.Add(start + 500ms, { 3, 20 });
  history.Add(start + 1000ms, { 3, 30 });
  CHECK(history.LowestCovering(start + 100ms) == LogPosition{ 3, 20 });
  CHECK(history.LowestCovering(start + 500ms) == LogPosition{ 3, 20 });
  CHECK(history.LowestCovering(start + 501ms) == LogPosition{ 3, 30 });
}

// Guards against reads that are served without proof that their data is recent enough.
TEST_CASE("Without a recent sample there is no position", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  CHECK_FALSE(history.LowestCovering(start).has_value());
  history.Add(start, { 3, 10 });
  CHECK_FALSE(history.LowestCovering(start + 1ms).has_value());
}

TEST_CASE("An answer that was overtaken does not lower a later position", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start + 20ms, { 3, 15 });
  history.Add(start, { 3, 17 });
  CHECK(history.LowestCovering(start + 20ms) == LogPosition{ 3, 15 });
  history.Add(start + 60ms, { 3, 12 });
  CHECK_FALSE(history.LowestCovering(start + 30ms).has_value());
}

TEST_CASE("A later term replaces positions of a log that was rolled back", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start, { 3, 50 });
  history.Add(start + 100ms, { 4, 40 });
  CHECK(history.LowestCovering(start) == LogPosition{ 4, 40 });
}

// Guards against reads that require the newest position, which replicas lack, although another
// proxy has reported an older one that is recent enough.
TEST_CASE("An older sample of another proxy is inserted in order of time", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start + 900ms, { 3, 30 });
  history.Add(start + 400ms, { 3, 20 });
  CHECK(history.LowestCovering(start) == LogPosition{ 3, 20 });
  CHECK(history.LowestCovering(start + 500ms) == LogPosition{ 3, 30 });
  history.Add(start + 600ms, { 3, 25 });
  CHECK(history.LowestCovering(start + 500ms) == LogPosition{ 3, 25 });
  // Redundant, as a later sample has a lower position.
  history.Add(start + 300ms, { 3, 22 });
  CHECK(history.LowestCovering(start) == LogPosition{ 3, 20 });
  history.Add(start + 700ms, { 2, 99 });
  CHECK(history.LowestCovering(start + 650ms) == LogPosition{ 3, 30 });
}
