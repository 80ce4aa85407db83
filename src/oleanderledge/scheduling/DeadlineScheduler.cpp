#include "oleanderledge/scheduling/DeadlineScheduler.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

namespace {

/// Each class is guaranteed at least this share of the capacity, as far as it uses it.
constexpr double kMinGuaranteedShare = 0.10;

/// Guaranteed share relative to normal demand. Without headroom, random peaks of normal demand
/// would compete with the excess load of a flood.
constexpr double kDemandHeadroomFactor = 1.25;

/// An idle class can save up its guaranteed share of this time. With more it could delay the other
/// classes by more than the shortest usual target. The limit is at least two service times.
constexpr double kMaxSavedTimeUs = 50'000;

/// A unit is admitted if its expected wait is below this share of the target. The rest covers the
/// variation of the wait.
constexpr double kMaxWaitShareOfTarget = 0.8;

/// A queued unit is refused if the rest of its target is shorter than this many service times. The
/// margin is at most half of the target.
constexpr double kServiceTimeMarginFactor = 2.0;

/// Weight of a new service time in the moving average.
constexpr double kServiceTimeWeight = 0.05;

/// A class counts as flooding for this time after a refusal. Short enough for all classes to meet
/// their targets again within 2 s after a flood.
constexpr Duration kFloodingDuration{ 500'000 };

constexpr Duration kMinRetryAfter{ 10'000 };

Duration ToDuration(double aMicroseconds)
{
  return Duration{ static_cast<std::int64_t>(aMicroseconds) };
}

} // namespace

bool DeadlineScheduler::Candidate::Precedes(const Candidate& aOther) const
{
  if (aOther.state == nullptr) {
    return true;
  }
  if (this->guaranteed != aOther.guaranteed) {
    return this->guaranteed;
  }
  return this->deadline < aOther.deadline;
}

DeadlineScheduler::DeadlineScheduler(std::size_t aMaxUnitsPerClass)
  : maxUnitsPerClass(aMaxUnitsPerClass)
{
  this->Configure({});
}

void DeadlineScheduler::Configure(std::span<const ClassTarget> aClasses)
{
  Classes previous;
  previous.swap(this->classes);
  this->defaultClass.clear();
  for (const ClassTarget& row : aClasses) {
    const auto kept = previous.find(row.name);
    ClassState& state = this->classes[row.name];
    if (kept != previous.end()) {
      state = std::move(kept->second);
      previous.erase(kept);
    }
    state.target = row.target;
    const auto longest = this->classes.find(this->defaultClass);
    if (longest == this->classes.end() || longest->second.target <= row.target) {
      this->defaultClass = row.name;
    }
  }
  if (this->classes.empty()) {
    this->classes[this->defaultClass].target = kDefaultTarget;
  }
  for (auto& [name, removed] : previous) {
    for (const ScheduledUnit& unit : removed.queue.TakeAll()) {
      this->classes[this->defaultClass].queue.Push(unit);
    }
  }
  this->UpdateShares();
}

void DeadlineScheduler::SetCapacity(std::uint32_t aConnections)
{
  this->capacity = std::max<std::uint32_t>(aConnections, 1);
}

DeadlineScheduler::ClassState& DeadlineScheduler::StateOf(const std::string& aClass)
{
  const auto found = this->classes.find(aClass);
  return found != this->classes.end() ? found->second : this->classes[this->defaultClass];
}

void DeadlineScheduler::AdvanceTime(Instant aNow)
{
  if (!this->started) {
    this->started = true;
    this->lastAdvance = aNow;
    this->sampleStart = aNow;
  }
  const auto elapsed = static_cast<double>((aNow - this->lastAdvance).count());
  this->lastAdvance = std::max(aNow, this->lastAdvance);
  if (elapsed > 0) {
    for (auto& [name, state] : this->classes) {
      const double rate = state.guaranteedShare * this->capacity;
      const double limit = std::max(rate * kMaxSavedTimeUs, 2 * state.serviceTimeUs);
      state.creditUs = std::min(state.creditUs + rate * elapsed, limit);
    }
  }
  while (aNow - this->sampleStart >= kDemandSampleInterval) {
    this->SampleDemand();
    this->sampleStart += kDemandSampleInterval;
    // Long pauses without events are skipped, as they say nothing about demand.
    if (aNow - this->sampleStart > 10 * kDemandSampleInterval) {
      this->sampleStart = aNow;
    }
  }
}

void DeadlineScheduler::SampleDemand()
{
  const double available = this->capacity * static_cast<double>(kDemandSampleInterval.count());
  double total = 0;
  for (const auto& [name, state] : this->classes) {
    total += static_cast<double>(state.offeredInSample) * state.serviceTimeUs / available;
  }
  const bool overloaded = this->overloadedInSample || total > 1;
  for (auto& [name, state] : this->classes) {
    state.demand.AddSample(
      static_cast<double>(state.offeredInSample) * state.serviceTimeUs / available, overloaded);
    state.offeredInSample = 0;
  }
  this->overloadedInSample = false;
  this->UpdateShares();
}

void DeadlineScheduler::UpdateShares()
{
  const double floor = std::min(
    kMinGuaranteedShare, 1.0 / static_cast<double>(std::max<std::size_t>(this->classes.size(), 1)));
  double aboveFloor = 0;
  for (auto& [name, state] : this->classes) {
    state.guaranteedShare = std::max(floor, state.demand.Share() * kDemandHeadroomFactor);
    aboveFloor += state.guaranteedShare - floor;
  }
  const double spare = 1.0 - floor * static_cast<double>(this->classes.size());
  if (aboveFloor <= spare) {
    return;
  }
  for (auto& [name, state] : this->classes) {
    state.guaranteedShare = floor + (state.guaranteedShare - floor) * spare / aboveFloor;
  }
}

double DeadlineScheduler::AvailableShare(const ClassState& aState, Instant aNow) const
{
  double used = 0;
  for (const auto& [name, state] : this->classes) {
    if (&state != &aState) {
      used += state.dispatchRate.PerSecond(aNow) * state.serviceTimeUs / 1e6 / this->capacity;
    }
  }
  return std::max(aState.guaranteedShare, 1.0 - used);
}

Refusal DeadlineScheduler::Refuse(ClassState& aState,
                                  const ScheduledUnit& aUnit,
                                  ResultCode aCode,
                                  Duration aRetryAfter,
                                  Instant aNow)
{
  aState.floodingUntil = aNow + kFloodingDuration;
  this->overloadedInSample = true;
  return { aUnit.id, aCode, std::max(aRetryAfter, kMinRetryAfter) };
}

bool DeadlineScheduler::EvictToFit(ClassState& aState, const ScheduledUnit& aUnit, Instant aNow)
{
  // The limits are divided between the classes, so that a flood of one cannot use them up.
  const std::size_t maxUnits =
    std::min(this->maxUnitsPerClass, kMaxQueuedUnits / this->classes.size());
  const std::size_t maxBytes = kMaxQueuedBytes / this->classes.size();
  while (aState.queue.Size() >= maxUnits || aState.queue.Bytes() + aUnit.bytes > maxBytes) {
    // Within the class, the caller with the longest queue loses units to callers with shorter ones.
    const auto evicted = aState.queue.EvictFor(aUnit);
    if (!evicted) {
      return false;
    }
    --this->queuedCount;
    this->evictions.push_back(
      this->Refuse(aState, *evicted, ResultCode::CallerShareExceeded, aState.target, aNow));
  }
  return true;
}

std::optional<Refusal> DeadlineScheduler::Admit(const ScheduledUnit& aUnit, Instant aNow)
{
  this->AdvanceTime(aNow);
  ClassState& state = this->StateOf(aUnit.workClass);
  ++state.offeredInSample;
  if (!this->EvictToFit(state, aUnit, aNow)) {
    return this->Refuse(state, aUnit, ResultCode::Overloaded, state.target, aNow);
  }
  const double target = static_cast<double>(state.target.count());
  const auto waited = static_cast<double>((aNow - aUnit.arrival).count());
  // The service time counts at most half of the target: if servers are so slow that it exceeds the
  // target, late answers are better than refusing the whole class.
  if (waited + std::min(state.serviceTimeUs, target / 2) > target) {
    return this->Refuse(state, aUnit, ResultCode::TargetUnreachable, Duration{ 0 }, aNow);
  }
  const std::size_t own = state.queue.SizeOf(aUnit.caller, aUnit.lane);
  const std::size_t queued = state.queue.SizeOf(aUnit.lane);
  if (queued > 0) {
    const std::size_t callers = state.queue.CallerCount(aUnit.lane) + (own == 0 ? 1 : 0);
    // By round robin, about `own` + 1 units of each other caller at most are served before this
    // one.
    const auto ahead = static_cast<double>(std::min(queued, (own + 1) * callers - 1));
    const double unitsPerUs =
      this->AvailableShare(state, aNow) * this->capacity / state.serviceTimeUs;
    const double wait = (ahead + 1) / unitsPerUs;
    const double allowed = kMaxWaitShareOfTarget * target - waited - state.serviceTimeUs;
    if (wait > allowed) {
      const bool ownShareExceeded = callers > 1 && own * callers > queued;
      return this->Refuse(state,
                          aUnit,
                          ownShareExceeded ? ResultCode::CallerShareExceeded
                                           : ResultCode::TargetUnreachable,
                          ToDuration(wait - allowed),
                          aNow);
    }
  }
  state.queue.Push(aUnit);
  ++this->queuedCount;
  return std::nullopt;
}

DeadlineScheduler::Candidate DeadlineScheduler::CandidateOf(ClassState& aState,
                                                            Instant aNow,
                                                            const RunnablePredicate& aIsRunnable)
{
  if (aState.queue.Size() == 0) {
    return {};
  }
  const ScheduledUnit* unit = aState.queue.FindRunnable(aIsRunnable);
  if (unit == nullptr) {
    return {};
  }
  const bool guaranteed = aState.creditUs > 0;
  // The backlog of a flood is always close to its deadline. Beyond the guaranteed share of the
  // class its units must not for that reason precede classes within their normal demand, so their
  // deadline is counted from now instead of from their arrival.
  const bool flooding = aNow < aState.floodingUntil;
  const Instant reference = !guaranteed && flooding ? aNow : unit->arrival;
  return { &aState, unit->id, guaranteed, reference + aState.target };
}

std::optional<std::uint64_t> DeadlineScheduler::TakeNext(Instant aNow,
                                                         const RunnablePredicate& aIsRunnable)
{
  this->AdvanceTime(aNow);
  Candidate best;
  for (auto& [name, state] : this->classes) {
    const Candidate candidate = this->CandidateOf(state, aNow, aIsRunnable);
    if (candidate.state != nullptr && candidate.Precedes(best)) {
      best = candidate;
    }
  }
  if (best.state == nullptr) {
    return std::nullopt;
  }
  --this->queuedCount;
  if (best.guaranteed) {
    best.state->creditUs -= best.state->serviceTimeUs;
  }
  best.state->dispatchRate.Count(aNow);
  best.state->queue.Take(best.id, ToDuration(best.state->serviceTimeUs));
  return best.id;
}

std::vector<Refusal> DeadlineScheduler::TakeExpired(Instant aNow)
{
  this->AdvanceTime(aNow);
  std::vector<Refusal> refusals = std::exchange(this->evictions, {});
  for (auto& [name, state] : this->classes) {
    const Duration margin =
      std::min(ToDuration(state.serviceTimeUs * kServiceTimeMarginFactor), state.target / 2);
    for (const ScheduledUnit& unit : state.queue.TakeArrivedBefore(aNow - state.target + margin)) {
      --this->queuedCount;
      refusals.push_back(
        this->Refuse(state, unit, ResultCode::TargetUnreachable, Duration{ 0 }, aNow));
    }
  }
  return refusals;
}

void DeadlineScheduler::ExcludePause(Duration aPause)
{
  for (auto& [name, state] : this->classes) {
    state.queue.DelayPrimaryLane(aPause);
  }
}

bool DeadlineScheduler::Remove(std::uint64_t aId)
{
  for (auto& [name, state] : this->classes) {
    if (state.queue.Remove(aId)) {
      --this->queuedCount;
      return true;
    }
  }
  return false;
}

void DeadlineScheduler::RecordServiceTime(const std::string& aClass,
                                          const std::string& aCaller,
                                          Duration aServiceTime)
{
  ClassState& state = this->StateOf(aClass);
  const auto measured = static_cast<double>(aServiceTime.count());
  state.queue.CorrectCharge(aCaller, aServiceTime - ToDuration(state.serviceTimeUs));
  ++state.servedCount;
  const double weight = std::max(kServiceTimeWeight, 1.0 / static_cast<double>(state.servedCount));
  state.serviceTimeUs =
    std::max(1.0, state.serviceTimeUs + (measured - state.serviceTimeUs) * weight);
}

double DeadlineScheduler::GuaranteedShare(std::string_view aClass) const
{
  const auto found = this->classes.find(aClass);
  return found != this->classes.end() ? found->second.guaranteedShare : 0;
}

} // namespace oleanderledge
