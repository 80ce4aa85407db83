#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// A queue that has existed for 400 ms, of which a request is placed every 10 ms.
class BusyQueue
{
public:
  BusyQueue()
  {
    this->forecast.SetWaiting(true, this->now);
    for (int placed = 0; placed < 40; ++placed) {
      this->now += 10ms;
      this->forecast.OnPlaced(this->now);
    }
  }

  WaitForecast forecast;
  Instant now{ 100s };
};

} // namespace

TEST_CASE_METHOD(BusyQueue, "The expected wait grows with the requests ahead", "[forecast]")
{
  CHECK(this->forecast.ExpectedWait(0, this->now) == 10ms);
  CHECK(this->forecast.ExpectedWait(29, this->now) == 300ms);
}

// Guards against refusals in calm seconds, in which requests wait only while a connection opens.
TEST_CASE("No wait is forecast before a queue was observed for long enough", "[forecast]")
{
  WaitForecast forecast;
  const Instant start{ 100s };
  forecast.OnPlaced(start);
  CHECK_FALSE(forecast.ExpectedWait(50, start + 1s).has_value());
  forecast.SetWaiting(true, start + 1s);
  forecast.OnPlaced(start + 1250ms);
  CHECK_FALSE(forecast.ExpectedWait(50, start + 1299ms).has_value());
  forecast.OnPlaced(start + 1300ms);
  CHECK(forecast.ExpectedWait(1, start + 1300ms) == 300ms);
  forecast.SetWaiting(false, start + 1400ms);
  CHECK_FALSE(forecast.ExpectedWait(50, start + 1500ms).has_value());
}

// Guards against refusals by a rate of the past after servers have become faster.
TEST_CASE_METHOD(BusyQueue, "The forecast follows the rate of the last placements", "[forecast]")
{
  for (int placed = 0; placed < 700; ++placed) {
    this->now += 1ms;
    this->forecast.OnPlaced(this->now);
  }
  CHECK(*this->forecast.ExpectedWait(99, this->now) < 150ms);
}

// Guards against refused callers that all return at the same moment.
TEST_CASE_METHOD(BusyQueue, "Refused requests return one after the other", "[forecast]")
{
  CHECK(this->forecast.NextReturn(300ms, this->now) == 300ms);
  CHECK(this->forecast.NextReturn(300ms, this->now) == 310ms);
  CHECK(this->forecast.NextReturn(300ms, this->now + 5ms) > 310ms);
  CHECK(this->forecast.NextReturn(1ms, this->now + 1s) == 100ms);
  CHECK(this->forecast.NextReturn(10s, this->now) == 2s);
}
