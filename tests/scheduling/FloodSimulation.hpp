#pragma once

#include "oleanderledge/scheduling/scheduling.hpp"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace oleanderledge {

/// Simulation of one database in virtual time, with Poisson arrivals of several streams, a fixed
/// number of connections, and service times that are uniformly distributed within +-50 % of the
/// mean.
class FloodSimulation
{
public:
  struct Stream
  {
    std::string workClass;
    std::string caller;
    double arrivalsPerSecond = 0;
    Duration serviceTime{ 0 }; ///< Mean.
    Duration from{ 0 };        ///< Since the start of the simulation, as `until`.
    Duration until{ 0 };
  };

  struct Counts
  {
    double offered = 0;
    double inTarget = 0;
    double refused = 0;
    double inTargetServiceSeconds = 0; ///< Service time of units in target, in seconds.

    double InTargetShare() const { return this->offered > 0 ? this->inTarget / this->offered : 1; }
  };

  static constexpr int kConnections = 25;

  /// Counts by second, class and caller; key (second, "class/caller").
  std::map<std::pair<int, std::string>, Counts> counts;
  std::size_t longestQueue = 0;

  FloodSimulation(Scheduler& aScheduler, std::vector<ClassTarget> aClasses, std::uint64_t aSeed)
    : scheduler(aScheduler)
    , classes(std::move(aClasses))
    , random(aSeed)
  {
    this->scheduler.Configure(this->classes);
    this->scheduler.SetCapacity(kConnections);
  }

  void Run(const std::vector<Stream>& aStreams, Duration aLength)
  {
    for (std::size_t index = 0; index < aStreams.size(); ++index) {
      this->ScheduleArrival(aStreams, index, this->start + aStreams[index].from);
    }
    Instant nextTick = this->start;
    const Instant end = this->start + aLength;
    while (!this->events.empty() && this->events.top().time < end) {
      while (nextTick <= this->events.top().time) {
        this->now = nextTick;
        this->Expire();
        nextTick += Duration{ 5'000 };
      }
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      if (event.isArrival) {
        this->Arrive(aStreams, event.index);
      } else {
        this->Complete(event.index);
      }
      this->Dispatch();
    }
  }

  /// Sums over seconds [aFromSecond, aUntilSecond) and all callers of a class, or one
  /// "class/caller".
  Counts Sum(const std::string& aPrefix, int aFromSecond, int aUntilSecond) const
  {
    Counts sum;
    for (const auto& [key, entry] : this->counts) {
      if (key.first < aFromSecond || key.first >= aUntilSecond ||
          !key.second.starts_with(aPrefix)) {
        continue;
      }
      sum.offered += entry.offered;
      sum.inTarget += entry.inTarget;
      sum.refused += entry.refused;
      sum.inTargetServiceSeconds += entry.inTargetServiceSeconds;
    }
    return sum;
  }

private:
  struct Event
  {
    Instant time;
    bool isArrival = false;
    std::uint64_t index = 0; ///< Index of the stream, or id of the unit.

    bool operator>(const Event& aOther) const { return this->time > aOther.time; }
  };

  struct Unit
  {
    const Stream* stream = nullptr;
    Instant arrival;
    Duration serviceTime{ 0 };
  };

  Counts& CountsOf(const Unit& aUnit) { return this->CountsAt(aUnit.arrival, aUnit); }

  Counts& CountsAt(Instant aTime, const Unit& aUnit)
  {
    const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(aTime - this->start).count();
    return this
      ->counts[{ static_cast<int>(second), aUnit.stream->workClass + "/" + aUnit.stream->caller }];
  }

  void ScheduleArrival(const std::vector<Stream>& aStreams, std::size_t aIndex, Instant aAfter)
  {
    const Stream& stream = aStreams[aIndex];
    std::exponential_distribution<double> gap(stream.arrivalsPerSecond);
    const Instant next =
      aAfter + Duration{ static_cast<std::int64_t>(gap(this->random) * 1e6) + 1 };
    if (next < this->start + stream.until) {
      this->events.push({ next, true, aIndex });
    }
  }

  void Arrive(const std::vector<Stream>& aStreams, std::size_t aIndex)
  {
    const Stream& stream = aStreams[aIndex];
    const std::uint64_t id = ++this->lastUnit;
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    const Unit unit{ &stream,
                     this->now,
                     Duration{ static_cast<std::int64_t>(
                       static_cast<double>(stream.serviceTime.count()) * factor(this->random)) } };
    ++this->CountsOf(unit).offered;
    if (this->scheduler.Admit(
          { id, stream.workClass, stream.caller, WorkLane::Primary, this->now, 100 }, this->now)) {
      ++this->CountsOf(unit).refused;
    } else {
      this->units[id] = unit;
    }
    this->longestQueue = std::max(this->longestQueue, this->scheduler.QueuedCount());
    this->ScheduleArrival(aStreams, aIndex, this->now);
  }

  void Expire()
  {
    for (const Refusal& refusal : this->scheduler.TakeExpired(this->now)) {
      ++this->CountsOf(this->units.at(refusal.id)).refused;
      this->units.erase(refusal.id);
    }
  }

  void Dispatch()
  {
    this->Expire();
    while (this->running < kConnections) {
      const auto next = this->scheduler.TakeNext(this->now, [](std::uint64_t) { return true; });
      if (!next) {
        return;
      }
      ++this->running;
      this->events.push({ this->now + this->units.at(*next).serviceTime, false, *next });
    }
  }

  void Complete(std::uint64_t aId)
  {
    --this->running;
    const Unit unit = this->units.at(aId);
    this->units.erase(aId);
    this->scheduler.RecordServiceTime(
      unit.stream->workClass, unit.stream->caller, unit.serviceTime);
    for (const ClassTarget& row : this->classes) {
      if (row.name == unit.stream->workClass && this->now - unit.arrival <= row.target) {
        ++this->CountsOf(unit).inTarget;
        // Goodput is counted in the second of the answer. Otherwise a queue that is drained after
        // the flood would count for the seconds in which it was filled.
        this->CountsAt(this->now, unit).inTargetServiceSeconds +=
          static_cast<double>(unit.serviceTime.count()) / 1e6;
      }
    }
  }

  Scheduler& scheduler;
  std::vector<ClassTarget> classes;
  std::mt19937_64 random;
  Instant start{ std::chrono::seconds(1000) };
  Instant now = this->start;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::map<std::uint64_t, Unit> units;
  std::uint64_t lastUnit = 0;
  int running = 0;
};

} // namespace oleanderledge
