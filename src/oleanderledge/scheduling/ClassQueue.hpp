#pragma once

#include "oleanderledge/scheduling/Scheduler.hpp"

#include <array>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleanderledge {

/// Queue of one class. Callers (user names) are served by deficit round robin; the units of one
/// caller and lane in order of arrival.
class ClassQueue
{
public:
  void Push(const ScheduledUnit& aUnit);
  std::optional<ScheduledUnit> Remove(std::uint64_t aId);

  /// Returns the runnable unit whose caller is next in turn, without removing it. Looks only at the
  /// first units of each caller, which bounds the cost.
  const ScheduledUnit* FindRunnable(const Scheduler::IsRunnable& aIsRunnable);

  /// Removes a unit found by FindRunnable() and charges the expected service time to its caller.
  ScheduledUnit Take(std::uint64_t aId, Duration aExpected);

  /// Charges the difference between the real and the expected service time, so that callers with
  /// long units do not receive more time than others.
  void Correct(const std::string& aCaller, Duration aDifference);

  /// Removes the units that arrived before `aLatest`.
  std::vector<ScheduledUnit> TakeArrivedBefore(Instant aLatest);

  /// Moves the arrival of all units of the primary's lane to a later time.
  void DelayPrimaryLane(Duration aDelay);

  std::vector<ScheduledUnit> TakeAll();

  /// Removes and returns the newest unit of the caller with the longest queue, unless the queue of
  /// the given unit's caller is as long.
  std::optional<ScheduledUnit> EvictFor(const ScheduledUnit& aUnit);

  std::size_t Size() const { return this->units.size(); }
  std::size_t Bytes() const { return this->bytes; }
  std::size_t SizeOf(WorkLane aLane) const;
  std::size_t SizeOf(const std::string& aCaller, WorkLane aLane) const;
  /// Number of callers with queued units in the lane.
  std::size_t CallerCount(WorkLane aLane) const;

private:
  /// Units of one caller that are inspected for a runnable one.
  static constexpr int kScanDepth = 8;

  using UnitList = std::list<ScheduledUnit>;

  struct CallerQueue
  {
    std::array<UnitList, kWorkLaneCount> lanes;
    Duration credit{ 0 }; ///< Service time that the caller may still use in this turn.
    bool IsEmpty() const { return this->Size() == 0; }
    std::size_t Size() const { return this->lanes[0].size() + this->lanes[1].size(); }
  };

  const ScheduledUnit* FindRunnableOf(const CallerQueue& aQueue,
                                      const Scheduler::IsRunnable& aIsRunnable) const;
  ScheduledUnit Extract(UnitList::iterator aPosition);
  void GrantTurns();

  std::unordered_map<std::string, CallerQueue> callers;
  Duration quantum{ 1'000 };    ///< Service time granted per turn.
  std::list<std::string> turns; ///< Callers with queued units, next in turn first.
  std::unordered_map<std::uint64_t, UnitList::iterator> units;
  std::size_t bytes = 0;
  std::array<std::size_t, kWorkLaneCount> laneSizes{};
  std::array<std::size_t, kWorkLaneCount> laneCallers{};
};

} // namespace oleanderledge
