#pragma once

#include "oleanderledge/scheduling/ClassQueue.hpp"
#include "oleanderledge/scheduling/DemandEstimate.hpp"
#include "oleanderledge/scheduling/RateMeter.hpp"
#include "oleanderledge/scheduling/Scheduler.hpp"

#include <map>

namespace oleanderledge {

/// Earliest deadline first, with a guaranteed share of the capacity per class. Refuses units
/// early that cannot meet their target.
///
/// The guaranteed share of a class is its normal demand with some headroom, and at least a minimum.
/// Units within the guaranteed shares precede all others.
class DeadlineScheduler : public Scheduler
{
public:
  /// The queue of a class is limited by `aMaxUnitsPerClass` and by its part of kMaxQueuedUnits.
  explicit DeadlineScheduler(std::size_t aMaxUnitsPerClass = kMaxQueuedUnits);

  void Configure(std::span<const ClassTarget> aClasses) override;
  void SetCapacity(std::uint32_t aConnections) override;
  std::optional<Refusal> Admit(const ScheduledUnit& aUnit, Instant aNow) override;
  std::optional<std::uint64_t> TakeNext(Instant aNow,
                                        const RunnablePredicate& aIsRunnable) override;
  std::vector<Refusal> TakeExpired(Instant aNow) override;
  void ExcludePause(Duration aPause) override;
  bool Remove(std::uint64_t aId) override;
  void RecordServiceTime(const std::string& aClass,
                         const std::string& aCaller,
                         Duration aServiceTime) override;
  std::size_t QueuedCount() const override { return this->queuedCount; }

  /// Guaranteed share of the capacity, from 0 to 1; 0 if the class is unknown.
  double GuaranteedShare(std::string_view aClass) const;

private:
  struct ClassState
  {
    Duration target{ 0 };
    ClassQueue queue;
    DemandEstimate demand;
    RateMeter dispatchRate;
    double guaranteedShare = 0;
    double creditUs = 0;          ///< Unused guaranteed connection time.
    double serviceTimeUs = 1'000; ///< Moving average.
    std::uint64_t servedCount = 0;
    std::uint64_t offeredInSample = 0;
    Instant floodingUntil{}; ///< The class counts as flooding after a refusal.
  };
  using Classes = std::map<std::string, ClassState, std::less<>>;

  struct Candidate
  {
    ClassState* state = nullptr;
    std::uint64_t id = 0;
    bool guaranteed = false; ///< Within the guaranteed share: its class has credit left.
    Instant deadline{};

    bool Precedes(const Candidate& aOther) const;
  };

  ClassState& StateOf(const std::string& aClass);
  /// Grants credit for the time since the last call, and ends the demand samples that are due.
  void AdvanceTime(Instant aNow);
  void SampleDemand();
  /// Recomputes the guaranteed shares, whose sum is at most 1.
  void UpdateShares();
  /// Evicts units of other callers until `aUnit` fits into the queue of the class. Returns false if
  /// it still does not fit when no other caller has a longer queue.
  bool EvictToFit(ClassState& aState, const ScheduledUnit& aUnit, Instant aNow);
  /// Share of the capacity that the class can use now: what the others leave, at least the
  /// guarantee.
  double AvailableShare(const ClassState& aState, Instant aNow) const;
  /// Marks the class as flooding and returns the refusal.
  Refusal Refuse(ClassState& aState,
                 const ScheduledUnit& aUnit,
                 ResultCode aCode,
                 Duration aRetryAfter,
                 Instant aNow);
  Candidate CandidateOf(ClassState& aState, Instant aNow, const RunnablePredicate& aIsRunnable);

  std::size_t maxUnitsPerClass;
  Classes classes;
  std::string defaultClass; ///< The class with the longest target.
  double capacity = 1;      ///< In connections.
  std::size_t queuedCount = 0;
  std::vector<Refusal> evictions; ///< Reported by the next TakeExpired().
  Instant lastAdvance{};
  Instant sampleStart{};
  bool overloadedInSample = false;
  bool started = false;
};

} // namespace oleanderledge
