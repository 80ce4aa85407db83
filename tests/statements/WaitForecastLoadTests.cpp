#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// Simulation of one queue before two slots that need 15 ms a statement, 133 statements a second.
/// For 5 s it is offered 20 urgent statements and 400 of the least urgent class a second.
class Burst
{
public:
  struct Outcome
  {
    int offered = 0;
    int served = 0;
    std::vector<Duration> refusedAfter;

    double ServedShare() const { return static_cast<double>(this->served) / this->offered; }
    Duration MeanRefusalTime() const
    {
      Duration total{ 0 };
      for (const Duration each : this->refusedAfter) {
        total += each;
      }
      return total /
             std::max<std::int64_t>(1, static_cast<std::int64_t>(this->refusedAfter.size()));
    }
  };

  /// `aForecasts`: refuses at the arrival. Otherwise statements wait until their limit.
  explicit Burst(bool aForecasts)
    : forecasts(aForecasts)
  {
    std::mt19937 random(11);
    std::exponential_distribution<double> gap(1.0);
    const std::array<double, 2> perSecond{ 20, 400 };
    std::array<double, 2> nextUs{};
    for (std::size_t priority = 0; priority < 2; ++priority) {
      nextUs.at(priority) = gap(random) * 1e6 / perSecond.at(priority);
    }
    while (std::ranges::min(nextUs) < 5e6) {
      const std::size_t priority = nextUs[0] < nextUs[1] ? 0 : 1;
      this->RunUntil(Instant{ Duration{ static_cast<std::int64_t>(nextUs.at(priority)) } });
      this->Arrive(priority);
      nextUs.at(priority) += gap(random) * 1e6 / perSecond.at(priority);
    }
    this->RunUntil(Instant{ 10s });
  }

  std::array<Outcome, 2> outcomes; ///< By priority.

private:
  static constexpr Duration kWork = 15ms;
  static constexpr Duration kStep = 1ms;
  /// A fifth of a target of 400 ms and of 1,500 ms.
  static constexpr std::array<Duration, 2> kWaitLimits{ 80ms, 300ms };

  void RunUntil(Instant aTime)
  {
    for (; this->now < aTime; this->now += kStep) {
      this->Expire();
      this->Serve();
    }
  }

  void Arrive(std::size_t aPriority)
  {
    Outcome& outcome = this->outcomes.at(aPriority);
    ++outcome.offered;
    std::size_t ahead = 0;
    for (std::size_t priority = 0; priority <= aPriority; ++priority) {
      ahead += this->queues.at(priority).size();
    }
    const auto expected = this->forecast.ExpectedWait(ahead, this->now);
    if (this->forecasts && ahead > 0 && expected && *expected * 2 > kWaitLimits.at(aPriority) * 3) {
      outcome.refusedAfter.push_back(Duration{ 0 });
      return;
    }
    this->queues.at(aPriority).push_back(this->now);
  }

  void Expire()
  {
    for (std::size_t priority = 0; priority < 2; ++priority) {
      std::deque<Instant>& queue = this->queues.at(priority);
      while (!queue.empty() && this->now - queue.front() >= kWaitLimits.at(priority)) {
        this->outcomes.at(priority).refusedAfter.push_back(this->now - queue.front());
        queue.pop_front();
      }
    }
  }

  void Serve()
  {
    for (Instant& freeAt : this->slots) {
      const std::size_t priority = this->queues[0].empty() ? 1 : 0;
      if (freeAt > this->now || this->queues.at(priority).empty()) {
        continue;
      }
      this->queues.at(priority).pop_front();
      ++this->outcomes.at(priority).served;
      this->forecast.OnPlaced(this->now);
      freeAt = this->now + kWork;
    }
    this->forecast.SetWaiting(!this->queues[0].empty() || !this->queues[1].empty(), this->now);
  }

  bool forecasts;
  WaitForecast forecast;
  Instant now{};
  std::array<Instant, 2> slots{};
  std::array<std::deque<Instant>, 2> queues; ///< Arrivals, by priority.
};

} // namespace

// Guards against statements of an overloaded class that are held until the end of their wait
// although the queue ahead of them shows at their arrival that they will not be served, and against
// refusals that cost service: the earlier version plays the same load.
TEST_CASE("In a burst most refusals come at once, and as many statements are served", "[forecast]")
{
  const Burst before(false);
  const Burst after(true);
  const Burst::Outcome& held = before.outcomes[1];
  const Burst::Outcome& refused = after.outcomes[1];
  INFO("served " << held.ServedShare() << " and " << refused.ServedShare() << ", refused after "
                 << held.MeanRefusalTime().count() / 1000 << " and "
                 << refused.MeanRefusalTime().count() / 1000 << " ms");
  CHECK(held.MeanRefusalTime() >= 300ms);
  CHECK(refused.MeanRefusalTime() <= held.MeanRefusalTime() / 2);
  CHECK(refused.ServedShare() >= held.ServedShare() * 0.98);
  CHECK(after.outcomes[0].ServedShare() >= 0.98);
  CHECK(after.outcomes[0].ServedShare() >= before.outcomes[0].ServedShare());
}
