#pragma once

#include "oleanderledge/scheduling/ClassQueue.hpp"
#include "oleanderledge/scheduling/Scheduler.hpp"

namespace oleanderledge {

/// Baseline for comparison: first in, first out. Refuses units only if the queue is full.
class FifoScheduler : public Scheduler
{
public:
  void Configure(std::span<const ClassTarget> aClasses) override;
  void SetCapacity(std::uint32_t aConnections) override;
  std::optional<Refusal> Admit(const ScheduledUnit& aUnit, Instant aNow) override;
  std::optional<std::uint64_t> TakeNext(Instant aNow,
                                        const RunnablePredicate& aIsRunnable) override;
  std::vector<Refusal> TakeExpired(Instant aNow) override;
  bool Remove(std::uint64_t aId) override;
  void RecordServiceTime(const std::string& aClass,
                         const std::string& aCaller,
                         Duration aServiceTime) override;
  std::size_t QueuedCount() const override { return this->queue.Size(); }

private:
  ClassQueue queue;
};

} // namespace oleanderledge
