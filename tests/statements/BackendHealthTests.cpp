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
