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

/// A server with four slots and a queue of 32, offered 1.4 times what it can run by twelve proxies
/// that queue by priority and hold fifteen connections each.
class OverloadedServer
{
public:
  struct Share
  {
    int asked = 0;
    int inTime = 0;
    double Value() const { return static_cast<double>(this->inTime) / this->asked; }
  };

  explicit OverloadedServer(bool aHasWindow)
    : hasWindow(aHasWindow)
  {
    std::mt19937 random(7);
    std::exponential_distribution<double> gap(1.0);
    Schedule(0, gap(random) * 1e6 / 60, random, gap);
    Schedule(1, gap(random) * 1e6 / 400, random, gap);
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

  void At(Instant aAt, std::function<void()> aRun) { this->events.push({ aAt, std::move(aRun) }); }

  void Schedule(int aPriority,
                double aFirstUs,
                std::mt19937& aRandom,
                std::exponential_distribution<double>& aGap)
  {
    double at = aFirstUs;
    while (at < 20e6) {
      const std::size_t proxy = aRandom() % this->proxies.size();
      this->At(Instant{ Duration{ static_cast<std::int64_t>(at) } }, [this, aPriority, proxy] {
        ++this->shares.at(static_cast<std::size_t>(aPriority)).asked;
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
        // A caller is refused after a quarter of its target.
        if (this->now - work.arrived > (work.priority == 0 ? 100ms : 375ms)) {
          continue;
        }
        ++proxy.inUse;
        this->At(this->now + 12ms, [this, aProxy, work] { this->Arrive(aProxy, work); });
      }
    }
  }

  void Arrive(std::size_t aProxy, const Work& aWork)
  {
    if (this->atServer.size() >= 32) {
      this->At(this->now + 12ms, [this, aProxy, work = aWork]() mutable {
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
    this->atServer.push_back({ aProxy, aWork });
    this->RunNext();
  }

  void RunNext()
  {
    if (this->running >= 4 || this->atServer.empty()) {
      return;
    }
    const auto [proxy, work] = this->atServer.front();
    this->atServer.pop_front();
    ++this->running;
    this->At(this->now + (work.priority == 0 ? 5ms : 14ms), [this, proxy = proxy, work = work] {
      --this->running;
      this->At(this->now + 12ms, [this, proxy, work] { this->Finish(proxy, work); });
      this->RunNext();
    });
  }

  void Finish(std::size_t aProxy, const Work& aWork)
  {
    Proxy& proxy = this->proxies[aProxy];
    --proxy.inUse;
    proxy.window.OnSuccess(this->now - aWork.sentAt, this->now);
    Share& share = this->shares.at(static_cast<std::size_t>(aWork.priority));
    share.inTime += this->now - aWork.arrived <= (aWork.priority == 0 ? 400ms : 1500ms) ? 1 : 0;
    this->Dispatch(aProxy);
  }

  bool hasWindow;
  Instant now{};
  std::priority_queue<Event> events;
  std::array<Proxy, 12> proxies;
  std::deque<std::pair<std::size_t, Work>> atServer;
  int running = 0;
};

} // namespace

TEST_CASE("The window is open until the server refuses and grows again slowly", "[window]")
{
  ConcurrencyWindow window;
  CHECK(window.Allows(1000, 1));
  const Instant start{ 10s };
  window.OnOverload(10, start);
  CHECK(window.Allows(6, 1));
  CHECK_FALSE(window.Allows(7, 1));
  CHECK(window.Allows(8, 0));
  CHECK_FALSE(window.Allows(9, 0));
  // Refusals of the same moment count once.
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

// Guards against urgent work that is refused because less urgent work fills the server's queue.
TEST_CASE("Urgent work is served at an overloaded server, and the rest nearly as much as before",
          "[window]")
{
  const OverloadedServer without(false);
  const OverloadedServer with(true);
  CHECK(without.shares[0].Value() < 0.8);
  CHECK(with.shares[0].Value() > 0.97);
  CHECK(with.shares[1].Value() > 0.9 * without.shares[1].Value());
}
