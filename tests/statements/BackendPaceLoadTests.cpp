#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

/// What is offered to the server, and by how many.
struct Load
{
  std::size_t proxies = 1;
  std::size_t connections = 1; ///< Of each proxy.
  double urgentPerSecond = 0;  ///< With a target of 400 ms.
  double otherPerSecond = 0;   ///< With a target of 1,500 ms.
  Duration downFor{ 0 };       ///< Before the start; callers come meanwhile.
  /// A statement takes this multiple of its time in the time after the start.
  int slowFactor = 1;
  Duration slowFor{ 0 };
  /// Percentage of the statements that it rejects though it has room.
  unsigned rejectedPercent = 0;
  /// In the first 3 s after the start it is down for the second half of each such period.
  Duration flapPeriod{ 0 };
};

/// Simulation of a server with 4 slots and a queue of 32 statements, and of the proxies that share
/// it. Each statement takes 15 to 25 ms of a slot, a new connection 12 ms, a message 2 ms. Proxies
/// queue by priority and refuse after a wait of a fifth of the target.
class StartingServer
{
public:
  static constexpr int kQueueLimit = 32;

  struct Share
  {
    int offered = 0;
    int inTarget = 0;
    int inTargetWhileSlow = 0; ///< Of those, answered before the server became quick.
    int late = 0;
    double Fraction() const
    {
      return static_cast<double>(this->inTarget) / std::max(1, this->offered);
    }
  };

  StartingServer(const Load& aLoad, bool aIsPaced, unsigned aSeed)
    : load(aLoad)
    , isPaced(aIsPaced)
    , proxies(aLoad.proxies)
  {
    std::mt19937 arrivals(aSeed);
    this->ScheduleArrivals(0, aLoad.urgentPerSecond, arrivals);
    this->ScheduleArrivals(1, aLoad.otherPerSecond, arrivals);
    if (aLoad.downFor == Duration{ 0 } && aIsPaced) {
      for (Proxy& proxy : this->proxies) {
        proxy.pace.Start(kStart);
      }
    }
    for (Instant at = kStart; aLoad.flapPeriod > 0ms && at < kStart + kFlapping;
         at += aLoad.flapPeriod) {
      this->ScheduleEvent(at + aLoad.flapPeriod / 2, [this] { this->GoDown(); });
    }
    for (Instant at = kStart - aLoad.downFor; at < kEnd; at += 20ms) {
      this->ScheduleEvent(at, [this] {
        for (std::size_t proxy = 0; proxy < this->proxies.size(); ++proxy) {
          this->proxies[proxy].pace.CheckTime(this->now);
          this->Dispatch(proxy);
        }
      });
    }
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

  /// Statements that arrived in the 5 s after the start, by priority.
  std::array<Share, 2> shares;
  int rejected = 0; ///< By the server.
  /// Time from the start until all slots were busy for nine tenths of 100 ms.
  Duration UntilFullUse() const
  {
    for (std::size_t bin = 0; bin < this->busy.size(); ++bin) {
      if (this->busy.at(bin) >= kBin * kSlots * 9 / 10) {
        return kBin * static_cast<int>(bin + 1);
      }
    }
    return 1h;
  }

private:
  static constexpr Instant kStart{ 100s };
  static constexpr Instant kEnd{ 107s };
  static constexpr int kSlots = 4;
  static constexpr Duration kOneWay = 2ms;
  static constexpr Duration kOpening = 12ms;
  static constexpr Duration kBin = 100ms;
  static constexpr Duration kFlapping = 3s;
  static constexpr std::array<Duration, 2> kTargets{ 400ms, 1500ms };

  struct Event
  {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(this->at, this->number) > std::tie(aOther.at, aOther.number);
    }
  };
  struct Work
  {
    std::size_t proxy = 0;
    std::size_t priority = 0;
    Instant arrived{};
    bool isOpening = false;
    int attempts = 0;
    Instant sentAt{};
  };
  struct Proxy
  {
    std::array<std::deque<Work>, 2> queues;
    std::size_t idle = 0;
    std::size_t opening = 0;
    std::size_t inUse = 0;
    ConcurrencyWindow window;
    BackendPace pace;
    BackendHealth health;
  };

  void ScheduleEvent(Instant aAt, std::function<void()> aRun)
  {
    this->events.push({ aAt, ++this->lastEvent, std::move(aRun) });
  }

  void ScheduleArrivals(std::size_t aPriority, double aPerSecond, std::mt19937& aRandom)
  {
    if (aPerSecond == 0) {
      return;
    }
    std::exponential_distribution<double> gap(aPerSecond / 1e6);
    Instant at = kStart - this->load.downFor;
    while (at < kStart + 5s) {
      at += Duration{ static_cast<std::int64_t>(gap(aRandom)) };
      const std::size_t proxy = aRandom() % this->proxies.size();
      this->ScheduleEvent(at, [this, aPriority, proxy] {
        if (this->now >= kStart) {
          ++this->shares.at(aPriority).offered;
        }
        this->proxies[proxy].queues.at(aPriority).push_back({ proxy, aPriority, this->now });
        this->Dispatch(proxy);
      });
    }
  }

  bool IsUp() const
  {
    const bool isFlapping = this->load.flapPeriod > 0ms && this->now < kStart + kFlapping;
    return this->now >= kStart && (!isFlapping || (this->now - kStart) % this->load.flapPeriod <
                                                    this->load.flapPeriod / 2);
  }

  void GoDown()
  {
    for (Proxy& proxy : this->proxies) {
      proxy.idle = 0;
    }
    for (const Work& work : std::exchange(this->serverQueue, {})) {
      this->Lose(work);
    }
  }

  /// The connection of a statement, or one that is being opened, is lost.
  void Lose(const Work& aWork)
  {
    this->ScheduleEvent(this->now + kOneWay, [this, work = aWork] {
      Proxy& proxy = this->proxies[work.proxy];
      --(work.isOpening ? proxy.opening : proxy.inUse);
      proxy.health.OnFailure(this->now);
      this->Dispatch(work.proxy);
    });
  }

  void Dispatch(std::size_t aProxy)
  {
    Proxy& proxy = this->proxies[aProxy];
    std::size_t wanted = 0;
    for (std::size_t priority = 0; priority < 2; ++priority) {
      auto& queue = proxy.queues.at(priority);
      std::erase_if(queue, [this, priority](const Work& aEach) {
        return this->now - aEach.arrived > kTargets.at(priority) / 5;
      });
      const auto urgency = static_cast<std::uint32_t>(priority);
      while (!queue.empty() && proxy.idle > 0 && proxy.window.Allows(proxy.inUse, urgency) &&
             proxy.pace.Allows(proxy.inUse + wanted, urgency, this->now)) {
        Work work = queue.front();
        queue.pop_front();
        --proxy.idle;
        ++proxy.inUse;
        work.sentAt = this->now;
        this->ScheduleEvent(this->now + kOneWay, [this, work] { this->Arrive(work); });
      }
      for (std::size_t each = 0; each < queue.size(); ++each) {
        if (!proxy.window.Allows(proxy.inUse, urgency) ||
            !proxy.pace.Allows(proxy.inUse + wanted, urgency, this->now)) {
          break;
        }
        ++wanted;
      }
    }
    while (proxy.opening < wanted &&
           proxy.idle + proxy.inUse + proxy.opening < this->load.connections &&
           proxy.health.AllowsAttempt(this->now)) {
      ++proxy.opening;
      this->ScheduleEvent(this->now + kOneWay, [this, aProxy] { this->ArriveOpening(aProxy); });
    }
  }

  void ArriveOpening(std::size_t aProxy)
  {
    const Work opening{ aProxy, 0, {}, true, 0, this->now };
    if (!this->IsUp()) {
      this->Lose(opening);
      return;
    }
    this->serverQueue.push_back(opening);
    this->RunNext();
  }

  void Arrive(const Work& aWork)
  {
    if (!this->IsUp()) {
      this->Lose(aWork);
      return;
    }
    if (this->serverQueue.size() >= static_cast<std::size_t>(kQueueLimit) ||
        this->work() % 100 < this->load.rejectedPercent) {
      ++this->rejected;
      this->ScheduleEvent(this->now + kOneWay, [this, work = aWork]() mutable {
        Proxy& proxy = this->proxies[work.proxy];
        proxy.window.OnOverload(proxy.inUse, this->now);
        proxy.pace.OnOverload(this->now - work.sentAt, proxy.inUse, this->now);
        --proxy.inUse;
        ++proxy.idle;
        if (++work.attempts < 4) {
          proxy.queues.at(work.priority).push_front(work);
        }
        this->Dispatch(work.proxy);
      });
      return;
    }
    this->serverQueue.push_back(aWork);
    this->RunNext();
  }

  void RunNext()
  {
    if (this->running >= kSlots || this->serverQueue.empty()) {
      return;
    }
    const Work work = this->serverQueue.front();
    this->serverQueue.pop_front();
    ++this->running;
    const Duration took = this->TimeOf(work);
    this->AddBusy(took);
    this->ScheduleEvent(this->now + took, [this, work] {
      --this->running;
      if (this->IsUp()) {
        this->ScheduleEvent(this->now + kOneWay, [this, work] { this->Finish(work); });
      } else {
        this->Lose(work);
      }
      this->RunNext();
    });
  }

  Duration TimeOf(const Work& aWork)
  {
    const Duration alone = aWork.isOpening
                             ? kOpening
                             : 15ms + Duration{ static_cast<std::int64_t>(this->work() % 10'000) };
    const bool isSlow = !aWork.isOpening && this->now < kStart + this->load.slowFor;
    return isSlow ? alone * this->load.slowFactor : alone;
  }

  void AddBusy(Duration aTook)
  {
    for (Instant at = this->now; at < this->now + aTook; at += 1ms) {
      const auto bin = static_cast<std::size_t>((at - kStart) / kBin);
      if (bin < this->busy.size()) {
        this->busy.at(bin) += 1ms;
      }
    }
  }

  void Finish(const Work& aWork)
  {
    Proxy& proxy = this->proxies[aWork.proxy];
    if (proxy.health.IsFailing() && this->isPaced) {
      proxy.pace.Start(this->now);
    }
    proxy.health.OnReachable(this->now);
    if (aWork.isOpening) {
      --proxy.opening;
      ++proxy.idle;
      this->Dispatch(aWork.proxy);
      return;
    }
    proxy.window.OnSuccess(this->now - aWork.sentAt, this->now);
    proxy.pace.OnSuccess(this->now - aWork.sentAt,
                         proxy.inUse,
                         static_cast<std::uint32_t>(this->load.connections),
                         this->now);
    --proxy.inUse;
    ++proxy.idle;
    if (aWork.arrived >= kStart) {
      Share& share = this->shares.at(aWork.priority);
      const bool isInTarget = this->now - aWork.arrived <= kTargets.at(aWork.priority);
      ++(isInTarget ? share.inTarget : share.late);
      share.inTargetWhileSlow += isInTarget && this->now < kStart + this->load.slowFor ? 1 : 0;
    }
    this->Dispatch(aWork.proxy);
  }

  Load load;
  bool isPaced;
  Instant now{};
  std::uint64_t lastEvent = 0;
  std::priority_queue<Event> events;
  std::vector<Proxy> proxies;
  std::deque<Work> serverQueue;
  int running = 0;
  std::mt19937 work{ 3 };
  std::array<Duration, 70> busy{};
};

/// Sums of several simulations that differ in their random numbers.
class Runs
{
public:
  static constexpr int kRuns = 8;

  Runs(const Load& aLoad, bool aIsPaced)
  {
    for (unsigned seed = 1; seed <= static_cast<unsigned>(kRuns); ++seed) {
      const StartingServer server(aLoad, aIsPaced, seed);
      for (std::size_t priority = 0; priority < 2; ++priority) {
        this->shares.at(priority).offered += server.shares.at(priority).offered;
        this->shares.at(priority).inTarget += server.shares.at(priority).inTarget;
        this->shares.at(priority).inTargetWhileSlow += server.shares.at(priority).inTargetWhileSlow;
        this->shares.at(priority).late += server.shares.at(priority).late;
      }
      this->rejected += server.rejected;
      this->untilFullUse += server.UntilFullUse() / kRuns;
    }
  }

  int InTarget() const { return this->shares[0].inTarget + this->shares[1].inTarget; }
  int InTargetWhileSlow() const
  {
    return this->shares[0].inTargetWhileSlow + this->shares[1].inTargetWhileSlow;
  }
  std::string Describe() const
  {
    return "urgent " + std::to_string(this->shares[0].Fraction()) + " (late " +
           std::to_string(this->shares[0].late) + "), other " +
           std::to_string(this->shares[1].Fraction()) + " (late " +
           std::to_string(this->shares[1].late) + "), in target " +
           std::to_string(this->InTarget()) + " (while slow " +
           std::to_string(this->InTargetWhileSlow()) + "), rejected " +
           std::to_string(this->rejected) + ", full use after " +
           std::to_string(this->untilFullUse / 1ms) + " ms";
  }

  std::array<StartingServer::Share, 2> shares; ///< By priority.
  int rejected = 0;                            ///< By the server.
  Duration untilFullUse{ 0 };                  ///< Mean.
};

/// The same load with the present behaviour and with paced starts.
struct Comparison
{
  explicit Comparison(const Load& aLoad)
    : before(aLoad, false)
    , paced(aLoad, true)
  {
  }

  std::string Describe() const
  {
    return "before: " + this->before.Describe() + "\npaced: " + this->paced.Describe();
  }

  Runs before;
  Runs paced;
};

/// One proxy, the relays of a server, and many proxies with connections of their own.
constexpr std::array<std::pair<std::size_t, std::size_t>, 3> kFleets{
  { { 1, 56 }, { 12, 5 }, { 82, 3 } }
};

Load LoadOf(const std::pair<std::size_t, std::size_t>& aFleet, double aUrgent, double aOther)
{
  Load load;
  load.proxies = aFleet.first;
  load.connections = aFleet.second;
  load.urgentPerSecond = aUrgent;
  load.otherPerSecond = aOther;
  return load;
}

/// Paced starts may cost a twentieth of the statements that are served in their target.
constexpr double kLeastServed = 0.95;

} // namespace

// Guards against a server with cold caches whose queue is filled by all proxies at once, so that
// urgent statements wait in it for longer than their target.
TEST_CASE("A server that is slow after its start serves more urgent statements if it is paced",
          "[pace]")
{
  for (const auto& fleet : kFleets) {
    for (const Duration downFor : { 0ms, 2000ms }) {
      Load load = LoadOf(fleet, 15, 70);
      load.slowFactor = 5;
      load.slowFor = 3s;
      load.downFor = downFor;
      const Comparison runs(load);
      INFO(fleet.first << " proxies, down for " << downFor / 1ms << " ms\n" << runs.Describe());
      CHECK(runs.paced.shares[0].Fraction() > runs.before.shares[0].Fraction());
      CHECK(runs.paced.InTargetWhileSlow() >= runs.before.InTargetWhileSlow() * kLeastServed);
      // The queue that the unpaced server has when it becomes quick is served in the target of the
      // other class; with a pace their callers were refused.
      CHECK(runs.paced.InTarget() >=
            runs.before.InTarget() - Runs::kRuns * StartingServer::kQueueLimit);
      CHECK(runs.paced.rejected <= runs.before.rejected);
    }
  }
}

// Guards against a server that is left idle by proxies that are too careful.
TEST_CASE("A paced server that is quick is in full use within half of the shortest target",
          "[pace]")
{
  for (const auto& fleet : kFleets) {
    for (const Duration downFor : { 0ms, 2000ms }) {
      Load load = LoadOf(fleet, 40, 220);
      load.downFor = downFor;
      const Comparison runs(load);
      INFO(fleet.first << " proxies, down for " << downFor / 1ms << " ms\n" << runs.Describe());
      CHECK(runs.paced.untilFullUse <= runs.before.untilFullUse + 200ms);
      CHECK(runs.paced.InTarget() >= runs.before.InTarget() * kLeastServed);
    }
  }
}

// Guards against a start that costs callers something though the server has room for all of them.
TEST_CASE("A start under a load that the server can take rejects nothing", "[pace]")
{
  for (const auto& fleet : kFleets) {
    const Comparison runs(LoadOf(fleet, 30, 70));
    INFO(fleet.first << " proxies\n" << runs.Describe());
    CHECK(runs.before.InTarget() == runs.before.shares[0].offered + runs.before.shares[1].offered);
    CHECK(runs.paced.InTarget() == runs.paced.shares[0].offered + runs.paced.shares[1].offered);
    CHECK(runs.paced.rejected == 0);
  }
}

// Guards against a pace that never opens because some answers are bad, and against one that starts
// again and again.
TEST_CASE("A server that flaps or rejects some statements is not left idle by its pace", "[pace]")
{
  for (const auto& fleet : kFleets) {
    Load load = LoadOf(fleet, 30, 110);
    load.rejectedPercent = 20;
    const Comparison rejecting(load);
    INFO(fleet.first << " proxies, rejecting\n" << rejecting.Describe());
    CHECK(rejecting.paced.InTarget() >= rejecting.before.InTarget() * kLeastServed);
    load.rejectedPercent = 0;
    load.flapPeriod = 1s;
    const Comparison flapping(load);
    INFO(fleet.first << " proxies, flapping\n" << flapping.Describe());
    CHECK(flapping.paced.InTarget() >= flapping.before.InTarget() * kLeastServed);
  }
}
