#include "oleanderledge/scheduling/PriorityScheduler.hpp"

#include <algorithm>

namespace oleanderledge {

void PriorityScheduler::Configure(std::span<const ClassTarget> aClasses)
{
  this->targets.clear();
  for (const ClassTarget& row : aClasses) {
    this->targets[row.name] = row.target;
  }
  std::map<Duration, ClassQueue> previous;
  previous.swap(this->queues);
  for (auto& [target, queue] : previous) {
    for (const ScheduledUnit& unit : queue.TakeAll()) {
      this->queues[this->TargetOf(unit.workClass)].Push(unit);
    }
  }
}

Duration PriorityScheduler::TargetOf(const std::string& aClass) const
{
  const auto found = this->targets.find(aClass);
  if (found != this->targets.end()) {
    return found->second;
  }
  Duration longest{ 0 };
  for (const auto& [name, target] : this->targets) {
    longest = std::max(longest, target);
  }
  return this->targets.empty() ? kDefaultTarget : longest;
}

void PriorityScheduler::SetCapacity(std::uint32_t /*aConnections*/) {}

std::optional<Refusal> PriorityScheduler::Admit(const ScheduledUnit& aUnit, Instant /*aNow*/)
{
  const Duration target = this->TargetOf(aUnit.workClass);
  ClassQueue& queue = this->queues[target];
  if (queue.Size() >= kMaxQueuedUnits) {
    return Refusal{ aUnit.id, ResultCode::Overloaded, target };
  }
  queue.Push(aUnit);
  ++this->queuedCount;
  return std::nullopt;
}

std::optional<std::uint64_t> PriorityScheduler::TakeNext(Instant /*aNow*/,
                                                         const RunnablePredicate& aIsRunnable)
{
  for (auto& [target, queue] : this->queues) {
    const ScheduledUnit* unit = queue.FindRunnable(aIsRunnable);
    if (unit == nullptr) {
      continue;
    }
    --this->queuedCount;
    return queue.Take(unit->id, Duration{ 1 }).id;
  }
  return std::nullopt;
}

std::vector<Refusal> PriorityScheduler::TakeExpired(Instant /*aNow*/)
{
  return {};
}

bool PriorityScheduler::Remove(std::uint64_t aId)
{
  for (auto& [target, queue] : this->queues) {
    if (queue.Remove(aId)) {
      --this->queuedCount;
      return true;
    }
  }
  return false;
}

void PriorityScheduler::RecordServiceTime(const std::string& /*aClass*/,
                                          const std::string& /*aCaller*/,
                                          Duration /*aServiceTime*/)
{
}

} // namespace oleanderledge
