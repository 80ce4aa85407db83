#include "oleanderledge/scheduling/ClassQueue.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

void ClassQueue::Push(const ScheduledUnit& aUnit)
{
  const auto [found, added] = this->callers.try_emplace(aUnit.caller);
  if (added) {
    this->callerOrder.push_back(aUnit.caller);
  }
  const auto lane = static_cast<std::size_t>(aUnit.lane);
  UnitList& list = found->second.lanes[lane];
  if (list.empty()) {
    ++this->laneCallers[lane];
  }
  // A unit that is queued again after a lost connection is inserted by its arrival time.
  auto position = list.end();
  while (position != list.begin() && std::prev(position)->arrival > aUnit.arrival) {
    --position;
  }
  this->units[aUnit.id] = list.insert(position, aUnit);
  ++this->laneSizes[lane];
  this->bytes += aUnit.bytes;
}

ScheduledUnit ClassQueue::Extract(UnitList::iterator aPosition)
{
  ScheduledUnit unit = std::move(*aPosition);
  const auto lane = static_cast<std::size_t>(unit.lane);
  CallerQueue& queue = this->callers[unit.caller];
  queue.lanes[lane].erase(aPosition);
  this->units.erase(unit.id);
  --this->laneSizes[lane];
  this->bytes -= unit.bytes;
  if (queue.lanes[lane].empty()) {
    --this->laneCallers[lane];
  }
  if (queue.IsEmpty()) {
    this->callers.erase(unit.caller);
    this->callerOrder.remove(unit.caller);
  }
  return unit;
}

std::optional<ScheduledUnit> ClassQueue::Remove(std::uint64_t aId)
{
  const auto found = this->units.find(aId);
  if (found == this->units.end()) {
    return std::nullopt;
  }
  return this->Extract(found->second);
}

const ScheduledUnit* ClassQueue::FindRunnableOfCaller(
  const CallerQueue& aQueue,
  const Scheduler::RunnablePredicate& aIsRunnable) const
{
  const ScheduledUnit* best = nullptr;
  for (const UnitList& list : aQueue.lanes) {
    int scanned = 0;
    for (const ScheduledUnit& unit : list) {
      if (++scanned > kScanDepth) {
        break;
      }
      if (!aIsRunnable(unit.id)) {
        continue;
      }
      if (best == nullptr || unit.arrival < best->arrival) {
        best = &unit;
      }
      break;
    }
  }
  return best;
}

const ScheduledUnit* ClassQueue::FindRunnable(const Scheduler::RunnablePredicate& aIsRunnable)
{
  const ScheduledUnit* best = nullptr;
  Duration bestCredit = Duration::min();
  for (const std::string& caller : this->callerOrder) {
    const CallerQueue& queue = this->callers[caller];
    if (queue.credit <= bestCredit) {
      continue;
    }
    const ScheduledUnit* unit = this->FindRunnableOfCaller(queue, aIsRunnable);
    if (unit == nullptr) {
      continue;
    }
    if (queue.credit > Duration{ 0 }) {
      return unit;
    }
    // No caller has credit left: the one with the smallest debt is the first to regain credit in
    // further rounds.
    best = unit;
    bestCredit = queue.credit;
  }
  return best;
}

void ClassQueue::GrantQuantum()
{
  for (auto& [caller, queue] : this->callers) {
    queue.credit = std::min(queue.credit + this->quantum, this->quantum);
  }
}

ScheduledUnit ClassQueue::Take(std::uint64_t aId, Duration aExpected)
{
  this->quantum = std::max(aExpected, Duration{ 1 });
  ScheduledUnit unit = this->Extract(this->units.at(aId));
  const auto found = this->callers.find(unit.caller);
  // The credit of a caller without further units ends with its queue.
  if (found == this->callers.end()) {
    return unit;
  }
  while (found->second.credit <= Duration{ 0 }) {
    this->GrantQuantum();
  }
  found->second.credit -= aExpected;
  const auto position = std::find(this->callerOrder.begin(), this->callerOrder.end(), unit.caller);
  this->callerOrder.splice(this->callerOrder.end(), this->callerOrder, position);
  return unit;
}

void ClassQueue::CorrectCharge(const std::string& aCaller, Duration aDifference)
{
  const auto found = this->callers.find(aCaller);
  if (found == this->callers.end()) {
    return;
  }
  // Limited, so that one very long unit does not block a caller for many rounds.
  constexpr int kMaxDebtInQuanta = 20;
  found->second.credit =
    std::max(found->second.credit - aDifference, -kMaxDebtInQuanta * this->quantum);
}

std::vector<ScheduledUnit> ClassQueue::TakeArrivedBefore(Instant aLatest)
{
  std::vector<UnitList::iterator> due;
  for (auto& [caller, queue] : this->callers) {
    for (UnitList& list : queue.lanes) {
      for (auto unit = list.begin(); unit != list.end() && unit->arrival < aLatest; ++unit) {
        due.push_back(unit);
      }
    }
  }
  std::vector<ScheduledUnit> taken;
  taken.reserve(due.size());
  for (const auto& position : due) {
    taken.push_back(this->Extract(position));
  }
  return taken;
}

void ClassQueue::DelayPrimaryLane(Duration aDelay)
{
  for (auto& [caller, queue] : this->callers) {
    for (ScheduledUnit& unit : queue.lanes[static_cast<std::size_t>(WorkLane::Primary)]) {
      unit.arrival += aDelay;
    }
  }
}

std::vector<ScheduledUnit> ClassQueue::TakeAll()
{
  return this->TakeArrivedBefore(Instant::max());
}

std::optional<ScheduledUnit> ClassQueue::EvictFor(const ScheduledUnit& aUnit)
{
  CallerQueue* longest = nullptr;
  for (auto& [caller, queue] : this->callers) {
    if (longest == nullptr || queue.Size() > longest->Size()) {
      longest = &queue;
    }
  }
  const auto own = this->callers.find(aUnit.caller);
  const std::size_t ownSize = own != this->callers.end() ? own->second.Size() : 0;
  if (longest == nullptr || longest->Size() <= ownSize + 1) {
    return std::nullopt;
  }
  UnitList& list = longest->lanes[longest->lanes[0].size() >= longest->lanes[1].size() ? 0 : 1];
  return this->Extract(std::prev(list.end()));
}

std::size_t ClassQueue::SizeOf(WorkLane aLane) const
{
  return this->laneSizes[static_cast<std::size_t>(aLane)];
}

std::size_t ClassQueue::SizeOf(const std::string& aCaller, WorkLane aLane) const
{
  const auto found = this->callers.find(aCaller);
  return found == this->callers.end() ? 0
                                      : found->second.lanes[static_cast<std::size_t>(aLane)].size();
}

std::size_t ClassQueue::CallerCount(WorkLane aLane) const
{
  return this->laneCallers[static_cast<std::size_t>(aLane)];
}

} // namespace oleanderledge
