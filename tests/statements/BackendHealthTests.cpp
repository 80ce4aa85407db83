#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

TEST_CASE("A server that fails is left alone for growing pauses until it answers", "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  CHECK(health.MayTry(start));
  health.OnFailure(start);
  CHECK_FALSE(health.MayTry(start + 99ms));
  CHECK(health.MayTry(start + 100ms));
  health.OnFailure(start + 100ms);
  CHECK_FALSE(health.MayTry(start + 299ms));
  CHECK(health.FailingFor(start + 200ms) == 200ms);
  health.OnReachable(start + 300ms);
  CHECK(health.MayTry(start + 300ms));
  CHECK_FALSE(health.IsFailing());
}

// Guards against a lost server that is reported only after its statements have timed out.
TEST_CASE("Silence counts as failing from the first unanswered statement on", "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  health.OnAnswer(5ms, start);
  health.OnSilence(start + 50ms, start + 350ms);
  CHECK(health.FailingFor(start + 400ms) == 350ms);
}

// Guards against sending most reads to a server whose refusals come faster than answers of the
// others.
TEST_CASE("Refusals for overload do not count as fast answers", "[health]")
{
  BackendHealth health;
  const Instant start{ 10s };
  health.OnAnswer(40ms, start);
  health.OnOverload(start);
  CHECK(health.AnswerTime() == 40ms);
  CHECK_FALSE(health.IsFailing());
  CHECK(health.IsOverloaded(start + 19ms));
  CHECK_FALSE(health.IsOverloaded(start + 20ms));
  health.OnOverload(start + 20ms);
  CHECK(health.IsOverloaded(start + 59ms));
  health.OnAnswer(40ms, start + 70ms);
  health.OnOverload(start + 100ms);
  CHECK_FALSE(health.IsOverloaded(start + 120ms));
}

// Guards against asking a replica again and again that lags by more than reads accept.
TEST_CASE("A server that lags is left alone for growing pauses until it has a position", "[health]")
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
  health.OnPositionMet();
  health.OnLag(start + 300ms);
  CHECK_FALSE(health.IsLagging(start + 400ms));
}
