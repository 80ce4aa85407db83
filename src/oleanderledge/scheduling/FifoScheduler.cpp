#include "oleanderledge/scheduling/FifoScheduler.hpp"

namespace oleanderledge {

void FifoScheduler::Configure(std::span<const ClassTarget> /*aClasses*/) {}

void FifoScheduler::SetCapacity(std::uint32_t /*aConnections*/) {}

std::optional<Refusal> FifoScheduler::Admit(const ScheduledUnit& aUnit, Instant /*aNow*/)
{
  if (this->queue.Size() >= kMaxQueuedUnits) {
    return Refusal{ aUnit.id, ResultCode::Overloaded, kDefaultTarget };
  }
  // All units get the same caller, so that only the order of arrival counts.
  ScheduledUnit unit = aUnit;
  unit.caller.clear();
  this->queue.Push(unit);
  return std::nullopt;
}

std::optional<std::uint64_t> FifoScheduler::TakeNext(Instant /*aNow*/,
                                                     const RunnablePredicate& aIsRunnable)
{
  const ScheduledUnit* unit = this->queue.FindRunnable(aIsRunnable);
  if (unit == nullptr) {
    return std::nullopt;
  }
  return this->queue.Take(unit->id, Duration{ 1 }).id;
}

std::vector<Refusal> FifoScheduler::TakeExpired(Instant /*aNow*/)
{
  return {};
}

bool FifoScheduler::Remove(std::uint64_t aId)
{
  return this->queue.Remove(aId).has_value();
}

void FifoScheduler::RecordServiceTime(const std::string& /*aClass*/,
                                      const std::string& /*aCaller*/,
                                      Duration /*aServiceTime*/)
{
}

} // namespace oleanderledge
