#pragma once

#include "oleanderledge/scheduling/ClassQueue.hpp"
#include "oleanderledge/scheduling/Scheduler.hpp"

#include <map>

namespace oleanderledge {

/// Baseline for comparison: strict priority of classes with shorter targets. Refuses units only if
/// the queue for their target is full.
class PriorityScheduler : public Scheduler
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
  std::size_t QueuedCount() const override { return this->queuedCount; }

private:
  Duration TargetOf(const std::string& aClass) const;

  std::map<std::string, Duration, std::less<>> targets;
  std::map<Duration, ClassQueue> queues; ///< By target, the shortest first.
  std::size_t queuedCount = 0;
};

} // namespace oleanderledge
