#include "oleanderledge/scheduling/DeadlineScheduler.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

namespace {

/// Share of the capacity that each class is guaranteed when demanded (design section 1.3).
constexpr double kFloorShare = 0.10;

/// Guaranteed share relative to normal demand. Without headroom the random peaks of normal demand
/// would compete with the excess of a flood.
constexpr double kDemandHeadroom = 1.25;

/// Guaranteed time that an idle class can save up. Longer savings would let one class delay the
/// others by more than the shortest usual target.
constexpr double kCreditWindowUs = 50'000;

/// Share of the target that the expected wait may use. The rest covers variation of the wait.
constexpr double kAdmittedWaitShare = 0.8;

/// A unit is given up when the rest of its target is shorter than this many service times.
constexpr double kServiceTimeMargin = 2.0;

/// Weight of a new service time in the moving average.
constexpr double kServiceTimeWeight = 0.05;

/// After a refusal a class counts as flooding for this time. The targets allow 2 s of recovery.
constexpr Duration kFloodingHold{ 500'000 };

constexpr Duration kShortestRetryAfter{ 10'000 };

Duration FromDouble(double aMicroseconds)
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

void DeadlineScheduler::Advance(Instant aNow)
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
      const double limit = std::max(rate * kCreditWindowUs, 2 * state.serviceTime);
      state.credit = std::min(state.credit + rate * elapsed, limit);
    }
  }
  while (aNow - this->sampleStart >= kDemandSampleInterval) {
    this->TakeSample();
    this->sampleStart += kDemandSampleInterval;
    // A long pause without events gives no information about demand.
    if (aNow - this->sampleStart > 10 * kDemandSampleInterval) {
      this->sampleStart = aNow;
    }
  }
}

void DeadlineScheduler::TakeSample()
{
  const double available = this->capacity * static_cast<double>(kDemandSampleInterval.count());
  double total = 0;
  for (const auto& [name, state] : this->classes) {
    total += static_cast<double>(state.offeredInSample) * state.serviceTime / available;
  }
  const bool overloaded = this->overloadedInSample || total > 1;
  for (auto& [name, state] : this->classes) {
    state.demand.AddSample(
      static_cast<double>(state.offeredInSample) * state.serviceTime / available, overloaded);
    state.offeredInSample = 0;
  }
  this->overloadedInSample = false;
  this->UpdateShares();
}

void DeadlineScheduler::UpdateShares()
{
  const double floor = std::min(
    kFloorShare, 1.0 / static_cast<double>(std::max<std::size_t>(this->classes.size(), 1)));
  double aboveFloor = 0;
  for (auto& [name, state] : this->classes) {
    state.guaranteedShare = std::max(floor, state.demand.Share() * kDemandHeadroom);
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
      used += state.dispatched.PerSecond(aNow) * state.serviceTime / 1e6 / this->capacity;
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
  aState.floodingUntil = aNow + kFloodingHold;
  this->overloadedInSample = true;
  return { aUnit.id, aCode, std::max(aRetryAfter, kShortestRetryAfter) };
}

bool DeadlineScheduler::MakeRoom(ClassState& aState, const ScheduledUnit& aUnit, Instant aNow)
{
  // Each class has its part of the bounds, so that a flood cannot use up those of the others.
  const std::size_t maxUnits =
    std::min(this->maxUnitsPerClass, kMaxQueuedUnits / this->classes.size());
  const std::size_t maxBytes = kMaxQueuedBytes / this->classes.size();
  while (aState.queue.Size() >= maxUnits || aState.queue.Bytes() + aUnit.bytes > maxBytes) {
    // Within the class, the caller with the longest queue gives way to callers with short ones.
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
  this->Advance(aNow);
  ClassState& state = this->StateOf(aUnit.workClass);
  ++state.offeredInSample;
  if (!this->MakeRoom(state, aUnit, aNow)) {
    return this->Refuse(state, aUnit, ResultCode::Overloaded, state.target, aNow);
  }
  const double target = static_cast<double>(state.target.count());
  const auto waited = static_cast<double>((aNow - aUnit.arrival).count());
  // A service time above the target alone does not refuse a unit: if servers are slow, a late
  // answer is better than refusing the whole class.
  if (waited + std::min(state.serviceTime, target / 2) > target) {
    return this->Refuse(state, aUnit, ResultCode::TargetUnreachable, Duration{ 0 }, aNow);
  }
  const std::size_t own = state.queue.SizeOf(aUnit.caller, aUnit.lane);
  const std::size_t queued = state.queue.SizeOf(aUnit.lane);
  if (queued > 0) {
    const std::size_t callers = state.queue.CallerCount(aUnit.lane) + (own == 0 ? 1 : 0);
    const auto ahead = static_cast<double>(std::min(queued, (own + 1) * callers - 1));
    const double unitsPerUs =
      this->AvailableShare(state, aNow) * this->capacity / state.serviceTime;
    const double wait = (ahead + 1) / unitsPerUs;
    const double allowed = kAdmittedWaitShare * target - waited - state.serviceTime;
    if (wait > allowed) {
      const bool ownShareExceeded = callers > 1 && own * callers > queued;
      return this->Refuse(state,
                          aUnit,
                          ownShareExceeded ? ResultCode::CallerShareExceeded
                                           : ResultCode::TargetUnreachable,
                          FromDouble(wait - allowed),
                          aNow);
    }
  }
  state.queue.Push(aUnit);
  ++this->queuedCount;
  return std::nullopt;
}

DeadlineScheduler::Candidate DeadlineScheduler::CandidateOf(ClassState& aState,
                                                            Instant aNow,
                                                            const IsRunnable& aIsRunnable)
{
  if (aState.queue.Size() == 0) {
    return {};
  }
  const ScheduledUnit* unit = aState.queue.FindRunnable(aIsRunnable);
  if (unit == nullptr) {
    return {};
  }
  const bool guaranteed = aState.credit > 0;
  // The backlog of a flood is close to its deadline all the time. Beyond its guaranteed share it
  // must not use that to precede classes that keep to their normal demand.
  const bool flooding = aNow < aState.floodingUntil;
  const Instant reference = !guaranteed && flooding ? aNow : unit->arrival;
  return { &aState, unit->id, guaranteed, reference + aState.target };
}

std::optional<std::uint64_t> DeadlineScheduler::TakeNext(Instant aNow,
                                                         const IsRunnable& aIsRunnable)
{
  this->Advance(aNow);
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
    best.state->credit -= best.state->serviceTime;
  }
  best.state->dispatched.Count(aNow);
  best.state->queue.Take(best.id, FromDouble(best.state->serviceTime));
  return best.id;
}

std::vector<Refusal> DeadlineScheduler::TakeExpired(Instant aNow)
{
  this->Advance(aNow);
  std::vector<Refusal> refusals = std::exchange(this->evictions, {});
  for (auto& [name, state] : this->classes) {
    const Duration margin =
      std::min(FromDouble(state.serviceTime * kServiceTimeMargin), state.target / 2);
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
  state.queue.Correct(aCaller, aServiceTime - FromDouble(state.serviceTime));
  ++state.servedCount;
  const double weight = std::max(kServiceTimeWeight, 1.0 / static_cast<double>(state.servedCount));
  state.serviceTime = std::max(1.0, state.serviceTime + (measured - state.serviceTime) * weight);
}

double DeadlineScheduler::GuaranteedShare(std::string_view aClass) const
{
  const auto found = this->classes.find(aClass);
  return found != this->classes.end() ? found->second.guaranteedShare : 0;
}

} // namespace oleanderledge
