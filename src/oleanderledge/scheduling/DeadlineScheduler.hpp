#pragma once

#include "oleanderledge/scheduling/ClassQueue.hpp"
#include "oleanderledge/scheduling/DemandEstimate.hpp"
#include "oleanderledge/scheduling/RateMeter.hpp"
#include "oleanderledge/scheduling/Scheduler.hpp"

#include <map>

namespace oleanderledge {

/// Serves the unit with the nearest deadline, subject to a guaranteed share of the capacity per
/// class, and refuses units early that cannot meet their target.
///
/// The guaranteed share of a class is its normal demand with some headroom, and at least a floor.
/// Units within the guaranteed shares precede all others.
class DeadlineScheduler : public Scheduler
{
public:
  /// The queue of a class is bounded by `aMaxUnitsPerClass` and by its part of kMaxQueuedUnits.
  explicit DeadlineScheduler(std::size_t aMaxUnitsPerClass = kMaxQueuedUnits);

  void Configure(std::span<const ClassTarget> aClasses) override;
  void SetCapacity(std::uint32_t aConnections) override;
  std::optional<Refusal> Admit(const ScheduledUnit& aUnit, Instant aNow) override;
  std::optional<std::uint64_t> TakeNext(Instant aNow, const IsRunnable& aIsRunnable) override;
  std::vector<Refusal> TakeExpired(Instant aNow) override;
  void ExcludePause(Duration aPause) override;
  bool Remove(std::uint64_t aId) override;
  void RecordServiceTime(const std::string& aClass,
                         const std::string& aCaller,
                         Duration aServiceTime) override;
  std::size_t QueuedCount() const override { return this->queuedCount; }

  /// Guaranteed share of the capacity of a class, 0 if the class is not known.
  double GuaranteedShare(std::string_view aClass) const;

private:
  struct ClassState
  {
    Duration target{ 0 };
    ClassQueue queue;
    DemandEstimate demand;
    RateMeter dispatched;
    double guaranteedShare = 0;
    double credit = 0;          ///< Guaranteed connection time not yet used, in microseconds.
    double serviceTime = 1'000; ///< Moving average in microseconds.
    std::uint64_t servedCount = 0;
    std::uint64_t offeredInSample = 0;
    Instant floodingUntil{};
  };
  using Classes = std::map<std::string, ClassState, std::less<>>;

  struct Candidate
  {
    ClassState* state = nullptr;
    std::uint64_t id = 0;
    bool guaranteed = false;
    Instant deadline{};

    bool Precedes(const Candidate& aOther) const;
  };

  ClassState& StateOf(const std::string& aClass);
  void Advance(Instant aNow);
  void TakeSample();
  void UpdateShares();
  /// Frees space in the queue of the class; false if the unit's own caller uses it.
  bool MakeRoom(ClassState& aState, const ScheduledUnit& aUnit, Instant aNow);
  double AvailableShare(const ClassState& aState, Instant aNow) const;
  Refusal Refuse(ClassState& aState,
                 const ScheduledUnit& aUnit,
                 ResultCode aCode,
                 Duration aRetryAfter,
                 Instant aNow);
  Candidate CandidateOf(ClassState& aState, Instant aNow, const IsRunnable& aIsRunnable);

  std::size_t maxUnitsPerClass;
  Classes classes;
  std::string defaultClass; ///< The class with the longest target.
  double capacity = 1;
  std::size_t queuedCount = 0;
  std::vector<Refusal> evictions; ///< Reported by the next TakeExpired().
  Instant lastAdvance{};
  Instant sampleStart{};
  bool overloadedInSample = false;
  bool started = false;
};

} // namespace oleanderledge
