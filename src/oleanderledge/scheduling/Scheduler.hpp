#pragma once

#include "oleanderledge/scheduling/ScheduledUnit.hpp"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace oleanderledge {

/// Decides which queued unit of one database runs next. Pure: time is an argument.
class Scheduler
{
public:
  /// Tells whether a connection is free now that can run the unit.
  using IsRunnable = std::function<bool(std::uint64_t)>;

  virtual ~Scheduler() = default;

  /// Replaces the classes. Queued units of a removed class move to the class with the longest
  /// target.
  virtual void Configure(std::span<const ClassTarget> aClasses) = 0;

  /// Number of units that can run at the same time.
  virtual void SetCapacity(std::uint32_t aConnections) = 0;

  /// Queues a unit, or returns the refusal: Overloaded, TargetUnreachable or CallerShareExceeded.
  virtual std::optional<Refusal> Admit(const ScheduledUnit& aUnit, Instant aNow) = 0;

  /// Removes and returns the unit to run next, if one is runnable.
  virtual std::optional<std::uint64_t> TakeNext(Instant aNow, const IsRunnable& aIsRunnable) = 0;

  /// Removes and returns units that can no longer meet their target, or that gave way to
  /// units of callers with shorter queues.
  virtual std::vector<Refusal> TakeExpired(Instant aNow) = 0;

  /// Does not count a pause of the primary against the targets of units that are queued for it.
  /// Used in a planned change of primary, which must refuse nothing. Schedulers that refuse no late
  /// units have nothing to do.
  virtual void ExcludePause(Duration /*aPause*/) {}

  /// Removes a queued unit. Returns false if it is not queued.
  virtual bool Remove(std::uint64_t aId) = 0;

  /// Reports how long a unit occupied a connection.
  virtual void RecordServiceTime(const std::string& aClass,
                                 const std::string& aCaller,
                                 Duration aServiceTime) = 0;

  virtual std::size_t QueuedCount() const = 0;
};

/// Bound on the queue of one database, divided between its classes. Above it units are refused at
/// once, whatever their target.
constexpr std::size_t kMaxQueuedUnits = 20'000;

/// Bound on the payload bytes queued for one database, divided likewise; a proxy
/// instance is small.
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 64 } * 1024 * 1024;

/// Target of work when no class is defined.
constexpr Duration kDefaultTarget{ 1'000'000 };

} // namespace oleanderledge
