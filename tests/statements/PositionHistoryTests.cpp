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
  CHECK(history.CoveringSince(start + 100ms) == LogPosition{ 3, 20 });
  CHECK(history.CoveringSince(start + 500ms) == LogPosition{ 3, 20 });
  CHECK(history.CoveringSince(start + 501ms) == LogPosition{ 3, 30 });
}

// Guards against a read without proof that its data are recent enough.
TEST_CASE("Without a recent sample there is no position", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  CHECK_FALSE(history.CoveringSince(start).has_value());
  history.Add(start, { 3, 10 });
  CHECK_FALSE(history.CoveringSince(start + 1ms).has_value());
}

TEST_CASE("Answers that were overtaken do not lower a later position", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start + 20ms, { 3, 15 });
  history.Add(start, { 3, 17 });
  CHECK(history.CoveringSince(start + 20ms) == LogPosition{ 3, 15 });
  history.Add(start + 60ms, { 3, 12 });
  CHECK_FALSE(history.CoveringSince(start + 30ms).has_value());
}

TEST_CASE("A later term replaces positions of a log that was rolled back", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start, { 3, 50 });
  history.Add(start + 100ms, { 4, 40 });
  CHECK(history.CoveringSince(start) == LogPosition{ 4, 40 });
}

// Guards against reads that ask for the newest position, which replicas lack, although another
// proxy has told an older one that is recent enough.
TEST_CASE("A sample of another proxy is put in its place among newer ones", "[positions]")
{
  PositionHistory history;
  const Instant start{ 100s };
  history.Add(start + 900ms, { 3, 30 });
  history.Add(start + 400ms, { 3, 20 });
  CHECK(history.CoveringSince(start) == LogPosition{ 3, 20 });
  CHECK(history.CoveringSince(start + 500ms) == LogPosition{ 3, 30 });
  history.Add(start + 600ms, { 3, 25 });
  CHECK(history.CoveringSince(start + 500ms) == LogPosition{ 3, 25 });
  // Says less than a later sample with a lower position.
  history.Add(start + 300ms, { 3, 22 });
  CHECK(history.CoveringSince(start) == LogPosition{ 3, 20 });
  history.Add(start + 700ms, { 2, 99 });
  CHECK(history.CoveringSince(start + 650ms) == LogPosition{ 3, 30 });
}
