#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

TEST_CASE("Attempts on a failing server back off exponentially until it responds", "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  CHECK(health.AllowsAttempt(start));
  health.OnFailure(start);
  CHECK_FALSE(health.AllowsAttempt(start + 99ms));
  CHECK(health.AllowsAttempt(start + 100ms));
  health.OnFailure(start + 100ms);
  CHECK_FALSE(health.AllowsAttempt(start + 299ms));
  CHECK(health.FailureDuration(start + 200ms) == 200ms);
  health.OnReachable(start + 300ms);
  CHECK(health.AllowsAttempt(start + 300ms));
  CHECK_FALSE(health.IsFailing());
}

// Guards against a lost server that is reported as failing only when its statements time out.
TEST_CASE("A server that does not respond is failing since its first unanswered request",
          "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  health.OnAnswer(5ms, start);
  health.OnNoResponse(start + 50ms, start + 350ms);
  CHECK(health.FailureDuration(start + 400ms) == 350ms);
}

// Guards against sending most reads to an overloaded server, because its rejections arrive faster
// than the answers of other servers.
TEST_CASE("Rejections for overload do not lower the average answer time", "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  health.OnAnswer(40ms, start);
  health.OnOverload(start);
  CHECK(health.AverageAnswerTime() == 40ms);
  CHECK_FALSE(health.IsFailing());
  CHECK(health.IsOverloaded(start + 19ms));
  CHECK_FALSE(health.IsOverloaded(start + 20ms));
  health.OnOverload(start + 20ms);
  CHECK(health.IsOverloaded(start + 59ms));
  health.OnAnswer(40ms, start + 70ms);
  health.OnOverload(start + 100ms);
  CHECK_FALSE(health.IsOverloaded(start + 120ms));
}

// Guards against repeated requests to a replica that lags by more than reads accept.
TEST_CASE("Reads avoid a lagging server with growing backoff until it has a required position",
          "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  const LogPosition required{ 1, 50 };
  health.OnLag(required, start);
  CHECK(health.IsLaggingFor(required, start + 99ms));
  CHECK_FALSE(health.IsLaggingFor(required, start + 100ms));
  health.OnLag(required, start + 100ms);
  health.OnLag(required, start + 150ms);
  CHECK(health.IsLaggingFor(required, start + 299ms));
  CHECK_FALSE(health.IsLaggingFor(required, start + 300ms));
  health.OnPosition(required);
  const LogPosition later{ 1, 60 };
  health.OnLag(later, start + 300ms);
  CHECK(health.IsLaggingFor(later, start + 399ms));
  CHECK_FALSE(health.IsLaggingFor(later, start + 400ms));
}

// Guards against idle replicas beside an overloaded primary: one read of a session that has just
// written was rejected, and all reads that accept older data avoided the replica for up to 0.8 s.
TEST_CASE("Reads that require an older position than the lacking one still use a lagging server",
          "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  health.OnPosition({ 1, 40 });
  health.OnLag({ 1, 60 }, start);
  CHECK_FALSE(health.IsLaggingFor({ 1, 40 }, start + 1ms));
  CHECK_FALSE(health.IsLaggingFor({ 1, 59 }, start + 1ms));
  CHECK(health.IsLaggingFor({ 1, 60 }, start + 1ms));
  CHECK(health.IsLaggingFor({ 2, 10 }, start + 1ms));
  SECTION("a lower position that is lacking too extends the range")
  {
    health.OnLag({ 1, 50 }, start + 10ms);
    CHECK(health.IsLaggingFor({ 1, 55 }, start + 11ms));
    CHECK_FALSE(health.IsLaggingFor({ 1, 45 }, start + 11ms));
  }
  SECTION("a position that the server reports ends it for reads up to that position")
  {
    health.OnPosition({ 1, 70 });
    CHECK_FALSE(health.IsLaggingFor({ 1, 65 }, start + 11ms));
    CHECK(health.IsLaggingFor({ 1, 71 }, start + 11ms));
  }
  SECTION("a success at a lower position does not shorten the next backoff")
  {
    health.OnPosition({ 1, 45 });
    health.OnLag({ 1, 60 }, start + 100ms);
    CHECK(health.IsLaggingFor({ 1, 60 }, start + 299ms));
  }
}

// Guards against reads that are sent again and again to a server whose log was cut back.
TEST_CASE("A server that lacks a position it had before counts as lagging", "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  health.OnPosition({ 1, 70 });
  health.OnLag({ 1, 60 }, start);
  CHECK(health.IsLaggingFor({ 1, 60 }, start + 1ms));
}
