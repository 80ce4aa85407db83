#include "oleanderledge/base/LogLimiter.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

// Guards against a log that fills up when one event occurs very often.
TEST_CASE("Lines of a frequent event are limited and counted without affecting other events",
          "[log]")
{
  LogLimiter limiter;
  const Instant start{ 10s };
  int admitted = 0;
  for (int line = 0; line < 1000; ++line) {
    admitted += limiter.Admit(LogEvent::CallerRejected, start) ? 1 : 0;
  }
  CHECK(admitted == static_cast<int>(LogLimiter::kBurstLines));
  CHECK(limiter.Admit(LogEvent::LinkClosed, start) == 0U);
  CHECK(limiter.Admit(LogEvent::CallerRejected, start + 1s) == 1000U - admitted);
  CHECK(limiter.Admit(LogEvent::CallerRejected, start + 1s) == 0U);
}
