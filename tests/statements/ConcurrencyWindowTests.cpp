#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// Simulation of a server with 4 slots and a queue of 32 statements. 12 proxies, which queue by
/// priority and hold 15 connections each, offer it load for 20 s: 60 urgent statements per second,
/// and 400 others, which alone need 1.4 times its capacity.
class OverloadedServer
{
public:
  struct Share
  {
    int offered = 0;
    int inTarget = 0;
    double Fraction() const { return static_cast<double>(this->inTarget) / this->offered; }
  };

  explicit OverloadedServer(bool aHasWindow)
    : hasWindow(aHasWindow)
  {
    std::mt19937 random(7);
    std::exponential_distribution<double> gap(1.0);
    ScheduleArrivals(0, gap(random) * 1e6 / 60, random, gap);
    ScheduleArrivals(1, gap(random) * 1e6 / 400, random, gap);
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

  std::array<Share, 2> shares; ///< By priority.

private:
  struct Event
  {
    Instant at;
    std::function<void()> run;
    bool operator<(const Event& aOther) const { return this->at > aOther.at; }
  };
  struct Work
  {
    int priority;
    Instant arrived;
    int attempts = 0;
    Instant sentAt{};
  };
  struct Proxy
  {
    std::array<std::deque<Work>, 2> queues;
    std::size_t inUse = 0;
    ConcurrencyWindow window;
  };

  void ScheduleEvent(Instant aAt, std::function<void()> aRun)
  {
    this->events.push({ aAt, std::move(aRun) });
  }

  void ScheduleArrivals(int aPriority,
                        double aFirstUs,
                        std::mt19937& aRandom,
                        std::exponential_distribution<double>& aGap)
  {
    double at = aFirstUs;
    while (at < 20e6) {
      const std::size_t proxy = aRandom() % this->proxies.size();
      this->ScheduleEvent(Instant{ Duration{ static_cast<std::int64_t>(at) } },
                          [this, aPriority, proxy] {
                            ++this->shares.at(static_cast<std::size_t>(aPriority)).offered;
                            this->proxies[proxy]
                              .queues.at(static_cast<std::size_t>(aPriority))
                              .push_back({ aPriority, this->now });
                            this->Dispatch(proxy);
                          });
      at += aGap(aRandom) * 1e6 / (aPriority == 0 ? 60 : 400);
    }
  }

  void Dispatch(std::size_t aProxy)
  {
    Proxy& proxy = this->proxies[aProxy];
    for (auto& queue : proxy.queues) {
      while (
        !queue.empty() && proxy.inUse < 15 &&
        (!this->hasWindow ||
         proxy.window.Allows(proxy.inUse, static_cast<std::uint32_t>(queue.front().priority)))) {
        Work work = queue.front();
        work.sentAt = this->now;
        queue.pop_front();
        // Statements are rejected after a wait of a quarter of their target.
        if (this->now - work.arrived > (work.priority == 0 ? 100ms : 375ms)) {
          continue;
        }
        ++proxy.inUse;
        this->ScheduleEvent(this->now + 12ms, [this, aProxy, work] { this->Arrive(aProxy, work); });
      }
    }
  }

  void Arrive(std::size_t aProxy, const Work& aWork)
  {
    if (this->serverQueue.size() >= 32) {
      this->ScheduleEvent(this->now + 12ms, [this, aProxy, work = aWork]() mutable {
        Proxy& proxy = this->proxies[aProxy];
        proxy.window.OnOverload(proxy.inUse, this->now);
        --proxy.inUse;
        if (++work.attempts < 4) {
          proxy.queues.at(static_cast<std::size_t>(work.priority)).push_back(work);
        }
        this->Dispatch(aProxy);
      });
      return;
    }
    this->serverQueue.push_back({ aProxy, aWork });
    this->RunNext();
  }

  void RunNext()
  {
    if (this->running >= 4 || this->serverQueue.empty()) {
      return;
    }
    const auto [proxy, work] = this->serverQueue.front();
    this->serverQueue.pop_front();
    ++this->running;
    this->ScheduleEvent(
      this->now + (work.priority == 0 ? 5ms : 14ms), [this, proxy = proxy, work = work] {
        --this->running;
        this->ScheduleEvent(this->now + 12ms, [this, proxy, work] { this->Finish(proxy, work); });
        this->RunNext();
      });
  }

  void Finish(std::size_t aProxy, const Work& aWork)
  {
    Proxy& proxy = this->proxies[aProxy];
    --proxy.inUse;
    proxy.window.OnSuccess(this->now - aWork.sentAt, this->now);
    Share& share = this->shares.at(static_cast<std::size_t>(aWork.priority));
    share.inTarget += this->now - aWork.arrived <= (aWork.priority == 0 ? 400ms : 1500ms) ? 1 : 0;
    this->Dispatch(aProxy);
  }

  bool hasWindow;
  Instant now{};
  std::priority_queue<Event> events;
  std::array<Proxy, 12> proxies;
  std::deque<std::pair<std::size_t, Work>> serverQueue;
  int running = 0;
};

} // namespace

TEST_CASE("The window is unlimited until a rejection, then shrinks and grows again slowly",
          "[window]")
{
  ConcurrencyWindow window;
  CHECK(window.Allows(1000, 1));
  const Instant start{ 10s };
  window.OnOverload(10, start);
  CHECK(window.Allows(6, 1));
  CHECK_FALSE(window.Allows(7, 1));
  CHECK(window.Allows(8, 0));
  CHECK_FALSE(window.Allows(9, 0));
  // Rejections in quick succession count once.
  window.OnOverload(9, start + 50ms);
  CHECK(window.Allows(6, 1));
  for (int answer = 0; answer < 8; ++answer) {
    window.OnSuccess(20ms, start + 100ms);
  }
  CHECK(window.Allows(7, 1));
  for (int round = 0; round < 50; ++round) {
    window.OnOverload(1, start + round * 1s);
  }
  CHECK(window.Allows(0, 1));
}

// Guards against rejections of urgent statements because less urgent ones fill the server's queue.
TEST_CASE("An overloaded server answers urgent statements in time, at little cost to the others",
          "[window]")
{
  const OverloadedServer withoutWindow(false);
  const OverloadedServer withWindow(true);
  CHECK(withoutWindow.shares[0].Fraction() < 0.8);
  CHECK(withWindow.shares[0].Fraction() > 0.97);
  CHECK(withWindow.shares[1].Fraction() > 0.9 * withoutWindow.shares[1].Fraction());
}
