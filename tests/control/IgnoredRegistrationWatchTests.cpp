#include "oleanderledge/control/IgnoredRegistrationWatch.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTimeout = 2900ms;
constexpr Duration kInterval = 1200ms;

BackendRow Registration(std::uint64_t aSequence, std::int64_t aStartedUnixMs = 5)
{
  BackendRow row;
  row.name = "i-1";
  row.startedUnixMs = aStartedUnixMs;
  row.sequence = aSequence;
  return row;
}

/// Ignores one registration per interval and returns the number of the first one that shows that
/// the server runs, or 0 if none of them does.
int FirstProof(IgnoredRegistrationWatch& aWatch, Instant aStart, std::uint64_t aFirstSequence)
{
  for (int number = 1; number <= 5; ++number) {
    const auto offset = static_cast<std::uint64_t>(number - 1);
    const Instant now = aStart + kInterval * (number - 1);
    if (aWatch.OnIgnored(Registration(aFirstSequence + offset), 7, now)) {
      return number;
    }
  }
  return 0;
}

} // namespace

TEST_CASE("A server whose ignored registrations go on runs", "[registrations]")
{
  IgnoredRegistrationWatch watch(kTimeout);
  CHECK(FirstProof(watch, Instant{ 100s }, 20) == 4);
}

// Guards against a server that has ended and is used again because of delayed registrations, which
// may arrive together after a network partition.
TEST_CASE("Delayed registrations that arrive together do not show that a server runs",
          "[registrations]")
{
  IgnoredRegistrationWatch watch(kTimeout);
  for (std::uint64_t sequence = 20; sequence < 40; ++sequence) {
    CHECK_FALSE(watch.OnIgnored(Registration(sequence), 7, Instant{ 100s }));
  }
  CHECK_FALSE(watch.OnIgnored(Registration(41), 7, Instant{ 110s }));
}

TEST_CASE("A registration that is repeated unchanged does not show that a server runs",
          "[registrations]")
{
  IgnoredRegistrationWatch watch(kTimeout);
  for (int number = 0; number < 10; ++number) {
    CHECK_FALSE(watch.OnIgnored(Registration(20), 7, Instant{ 100s } + kInterval * number));
  }
}

// Guards against registrations of the time before an event that count after it.
TEST_CASE("A series of ignored registrations starts anew", "[registrations]")
{
  IgnoredRegistrationWatch watch(kTimeout);
  const Instant start{ 100s };
  CHECK_FALSE(watch.OnIgnored(Registration(20), 7, start));
  CHECK_FALSE(watch.OnIgnored(Registration(21), 7, start + 2400ms));
  SECTION("when one of them is accepted")
  {
    watch.OnAccepted("i-1");
    CHECK(FirstProof(watch, start + 3s, 22) == 4);
  }
  SECTION("when the row changes")
  {
    CHECK_FALSE(watch.OnIgnored(Registration(22), 8, start + 3s));
  }
  SECTION("when the server starts again")
  {
    CHECK_FALSE(watch.OnIgnored(Registration(22, 6), 7, start + 3s));
    CHECK_FALSE(watch.OnIgnored(Registration(23, 5), 7, start + 4s));
  }
  SECTION("when this member becomes leader")
  {
    watch.Clear();
    CHECK(FirstProof(watch, start + 3s, 22) == 4);
  }
}
