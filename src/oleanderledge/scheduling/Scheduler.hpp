#pragma once

#include "oleanderledge/scheduling/ScheduledUnit.hpp"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace oleanderledge {

/// Decides which queued unit of one database is executed next. Free of I/O; time is an argument.
class Scheduler
{
public:
  /// True if a connection is free now that can execute the unit with this id.
  using RunnablePredicate = std::function<bool(std::uint64_t)>;

  virtual ~Scheduler() = default;

  /// Replaces the set of classes. Queued units of a removed class move to the class with the
  /// longest target.
  virtual void Configure(std::span<const ClassTarget> aClasses) = 0;

  /// Sets the number of units that can be executed at the same time.
  virtual void SetCapacity(std::uint32_t aConnections) = 0;

  /// Queues a unit, or returns its refusal: Overloaded, TargetUnreachable or CallerShareExceeded.
  virtual std::optional<Refusal> Admit(const ScheduledUnit& aUnit, Instant aNow) = 0;

  /// Removes the unit to execute next and returns its id; std::nullopt if none is runnable.
  virtual std::optional<std::uint64_t> TakeNext(Instant aNow,
                                                const RunnablePredicate& aIsRunnable) = 0;

  /// Removes units that can no longer meet their target, and returns their refusals, together with
  /// those of units that were evicted in favour of callers with shorter queues.
  virtual std::vector<Refusal> TakeExpired(Instant aNow) = 0;

  /// Excludes a pause of the primary from the waiting time of the units that are queued for it.
  /// Used in a planned change of primary, which must not refuse units. The default does nothing,
  /// for schedulers that do not refuse late units.
  virtual void ExcludePause(Duration /*aPause*/) {}

  /// Removes a queued unit. Returns false if it is not queued.
  virtual bool Remove(std::uint64_t aId) = 0;

  /// Records for how long a unit occupied a connection.
  virtual void RecordServiceTime(const std::string& aClass,
                                 const std::string& aCaller,
                                 Duration aServiceTime) = 0;

  virtual std::size_t QueuedCount() const = 0;
};

/// Limit of queued units per database, divided equally between its classes. Units beyond it are
/// refused at once, whatever their target.
constexpr std::size_t kMaxQueuedUnits = 20'000;

/// Limit of queued payload bytes per database, divided likewise, as proxy instances have little
/// memory.
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 64 } * 1024 * 1024;

/// Target of units if no class is defined.
constexpr Duration kDefaultTarget{ 1'000'000 };

} // namespace oleanderledge
