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

/// Queue of one class. Callers (user names) are served by deficit round robin, and the units of one
/// caller and lane in order of arrival.
class ClassQueue
{
public:
  void Push(const ScheduledUnit& aUnit);
  std::optional<ScheduledUnit> Remove(std::uint64_t aId);

  /// Returns the runnable unit whose caller is next in the round, without removing it; null if
  /// there is none. Inspects only the first units of each caller, which bounds the cost.
  const ScheduledUnit* FindRunnable(const Scheduler::RunnablePredicate& aIsRunnable);

  /// Removes a unit found by FindRunnable() and charges the expected service time to its caller.
  ScheduledUnit Take(std::uint64_t aId, Duration aExpected);

  /// Charges the caller `aDifference`, the actual minus the expected service time, so that callers
  /// with long units do not receive more time than others.
  void CorrectCharge(const std::string& aCaller, Duration aDifference);

  /// Removes the units that arrived before `aLatest`.
  std::vector<ScheduledUnit> TakeArrivedBefore(Instant aLatest);

  /// Adds `aDelay` to the arrival time of all units in the lane of the primary.
  void DelayPrimaryLane(Duration aDelay);

  std::vector<ScheduledUnit> TakeAll();

  /// Removes and returns the newest unit, in the longer lane, of the caller with the longest queue.
  /// Returns std::nullopt if no other caller's queue would be longer than that of the caller of
  /// `aUnit` after adding it.
  std::optional<ScheduledUnit> EvictFor(const ScheduledUnit& aUnit);

  std::size_t Size() const { return this->units.size(); }
  std::size_t Bytes() const { return this->bytes; }
  std::size_t SizeOf(WorkLane aLane) const;
  std::size_t SizeOf(const std::string& aCaller, WorkLane aLane) const;
  /// Number of callers with queued units in the lane.
  std::size_t CallerCount(WorkLane aLane) const;

private:
  /// Number of units per caller and lane that are inspected for a runnable one.
  static constexpr int kScanDepth = 8;

  using UnitList = std::list<ScheduledUnit>;

  struct CallerQueue
  {
    std::array<UnitList, kWorkLaneCount> lanes;
    Duration credit{ 0 }; ///< Service time left in this round; negative if overdrawn.
    bool IsEmpty() const { return this->Size() == 0; }
    std::size_t Size() const { return this->lanes[0].size() + this->lanes[1].size(); }
  };

  const ScheduledUnit* FindRunnableOfCaller(const CallerQueue& aQueue,
                                            const Scheduler::RunnablePredicate& aIsRunnable) const;
  ScheduledUnit Extract(UnitList::iterator aPosition);
  void GrantQuantum();

  std::unordered_map<std::string, CallerQueue> callers;
  Duration quantum{ 1'000 };          ///< Service time per caller and round.
  std::list<std::string> callerOrder; ///< Callers with queued units, the next one first.
  std::unordered_map<std::uint64_t, UnitList::iterator> units;
  std::size_t bytes = 0;
  std::array<std::size_t, kWorkLaneCount> laneSizes{};
  std::array<std::size_t, kWorkLaneCount> laneCallers{};
};

} // namespace oleanderledge
