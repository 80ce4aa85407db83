#include "oleanderledge/base/LogLimiter.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

// Guards against a log that a flood of one event fills.
TEST_CASE("A flood of one event is bounded and counted, and others are not affected", "[log]")
{
  LogLimiter limiter;
  const Instant start{ 10s };
  int admitted = 0;
  for (int line = 0; line < 1000; ++line) {
    admitted += limiter.Admit(LogEvent::CallerRejected, start) ? 1 : 0;
  }
  CHECK(admitted == static_cast<int>(LogLimiter::kBurst));
  CHECK(limiter.Admit(LogEvent::LinkClosed, start) == 0U);
  CHECK(limiter.Admit(LogEvent::CallerRejected, start + 1s) == 1000U - admitted);
  CHECK(limiter.Admit(LogEvent::CallerRejected, start + 1s) == 0U);
}
