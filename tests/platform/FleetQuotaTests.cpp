#include "tests/platform/FleetWithOneBackend.hpp"

using namespace oleanderledge;
using namespace oleanderledge::test;

namespace {

constexpr char kTenants[] =
  R"([{"name":"limited","api_keys":["key-l"],"priority":0,"rate_per_s":2,"burst":5},)"
  R"({"name":"free","api_keys":["key-f"],"priority":0}])";

/// Sends reads one after the other and returns their answers.
std::vector<std::string> SendReads(Caller& aCaller, const std::string& aPrefix, int aCount)
{
  std::vector<std::string> answers;
  answers.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    answers.push_back(aCaller.Send("QUERY " + aPrefix + std::to_string(number) + " READ a"));
  }
  return answers;
}

bool IsServed(const std::string& aAnswer)
{
  return aAnswer.starts_with("DATAROW ");
}

} // namespace

// Guards the path of a limit from the configuration to a caller: rows, requests for tokens over the
// link of the proxy, and the answers.
TEST_CASE("An organisation is limited to its rate and another one is not")
{
  FleetWithOneBackend fleet;
  REQUIRE(fleet.ConfigureTenants(kTenants) == 200);
  REQUIRE(WaitUntil([&fleet] {
    return Caller(fleet.CallersAddress(), "orders", "key-f").startUpAnswer.starts_with("READY");
  }));
  Caller limited(fleet.CallersAddress(), "orders", "key-l");
  REQUIRE(limited.startUpAnswer.starts_with("READY"));
  const Instant start = MonotonicNow();
  const std::vector<std::string> answers = SendReads(limited, "l", 80);
  const std::chrono::duration<double> took = MonotonicNow() - start;
  const auto served = std::ranges::count_if(answers, IsServed);
  CHECK(served > 0);
  // Requirement Q1, for the time that the reads took if it is longer than its window.
  CHECK(static_cast<double>(served) <= (2 * std::max(took.count(), 5.0) + 5) * 1.1 + 20);
  for (const std::string& answer : answers) {
    const bool isRefused =
      answer.starts_with("ERROR OVERLOAD") && answer.find("retry_after_ms=") != std::string::npos;
    CHECK((IsServed(answer) || isRefused));
  }
  Caller free(fleet.CallersAddress(), "orders", "key-f");
  CHECK(std::ranges::count_if(SendReads(free, "f", 80), IsServed) == 80);
  // Refilled after a pause, at 2/s.
  FleetWithOneBackend::RunFor(std::chrono::seconds(3));
  CHECK(IsServed(limited.Send("QUERY again READ a")));
}
