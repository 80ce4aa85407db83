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
  health.OnLag(start);
  CHECK(health.IsLagging(start + 99ms));
  CHECK_FALSE(health.IsLagging(start + 100ms));
  health.OnLag(start + 100ms);
  health.OnLag(start + 150ms);
  CHECK(health.IsLagging(start + 299ms));
  CHECK_FALSE(health.IsLagging(start + 300ms));
  health.OnPositionReached();
  health.OnLag(start + 300ms);
  CHECK_FALSE(health.IsLagging(start + 400ms));
}
