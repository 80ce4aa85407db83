#include "oleanderledge/owner/internal/SlotTracker.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Above this number the older half of the samples is thinned out.
constexpr std::size_t kMaxSamples = 2048;

/// Minimum time between two samples. Closer samples would not make an age usefully more precise.
constexpr Duration kMinSampleSpacing{ 5'000 };

} // namespace

void SlotTracker::ApplyRow(const DatabaseRow& aRow, Instant aNow)
{
  std::map<std::string, SlotState, std::less<>> next;
  for (const SlotRow& row : aRow.slots) {
    const auto found = this->slots.find(row.name);
    const bool isTracked = found != this->slots.end() && found->second.row.address == row.address;
    SlotState state;
    if (isTracked) {
      state = found->second;
    } else {
      state.lastAnswer = aNow;
      state.lastProgress = aNow;
    }
    if (!row.departing) {
      state.departingSince.reset();
    } else if (isTracked && !state.row.departing) {
      state.departingSince = aNow;
    }
    state.row = row;
    next.emplace(row.name, std::move(state));
  }
  this->slots = std::move(next);
}

void SlotTracker::NoteStatus(const SlotStatus& aStatus, Instant aNow)
{
  const auto found = this->slots.find(aStatus.slot);
  if (found == this->slots.end()) {
    return;
  }
  SlotState& state = found->second;
  const LogPosition received{ aStatus.term, aStatus.received };
  if (!state.answered || received > state.received) {
    state.lastProgress = aNow;
  }
  state.answered = true;
  state.reachable = true;
  state.isPrimary = aStatus.isPrimary;
  state.received = received;
  state.applied = { aStatus.term, aStatus.applied };
  state.lastAnswer = aNow;
  state.lastQueriedAt = aStatus.queriedAt;
}

void SlotTracker::NoteUnreachable(std::string_view aSlot)
{
  const auto found = this->slots.find(aSlot);
  if (found != this->slots.end()) {
    found->second.reachable = false;
  }
}

void SlotTracker::AddSample(Instant aTime, LogPosition aPosition)
{
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    // Statuses may arrive out of order. An older sample would break the order that AgeOf() relies
    // on.
    if (aPosition < last.position || aTime < last.time + kMinSampleSpacing) {
      return;
    }
  }
  this->samples.push_back({ aTime, aPosition });
  if (this->samples.size() > kMaxSamples) {
    this->DownsampleOlderHalf();
  }
}

void SlotTracker::DownsampleOlderHalf()
{
  // Removes every second sample of the older half, so that the samples cover a longer time, less
  // precisely the older they are.
  std::deque<Sample> kept;
  for (std::size_t index = 0; index < this->samples.size(); ++index) {
    if (index >= this->samples.size() / 2 || index % 2 == 0) {
      kept.push_back(this->samples[index]);
    }
  }
  this->samples = std::move(kept);
}

void SlotTracker::NoteAcknowledged(LogPosition aPosition)
{
  if (!this->acknowledged || aPosition > *this->acknowledged) {
    this->acknowledged = aPosition;
  }
}

void SlotTracker::ClearPositionHistory()
{
  this->acknowledged.reset();
  this->samples.clear();
}

const SlotState* SlotTracker::Find(std::string_view aSlot) const
{
  const auto found = this->slots.find(aSlot);
  return found != this->slots.end() ? &found->second : nullptr;
}

bool SlotTracker::IsAlive(std::string_view aSlot, Instant aNow) const
{
  const SlotState* state = this->Find(aSlot);
  return state != nullptr && state->answered && aNow - state->lastAnswer <= kSlotSilenceLimit;
}

std::optional<Duration> SlotTracker::AgeOf(std::string_view aSlot, Instant aNow) const
{
  const SlotState* state = this->Find(aSlot);
  if (state == nullptr || !state->answered) {
    return std::nullopt;
  }
  if (this->acknowledged && state->applied.term == this->acknowledged->term &&
      state->applied.offset >= this->acknowledged->offset) {
    return Duration{ 0 };
  }
  // The newest sample that the replica has applied is the one before the first later position.
  const auto later = std::upper_bound(
    this->samples.begin(),
    this->samples.end(),
    state->applied,
    [](LogPosition aPosition, const Sample& aSample) { return aPosition < aSample.position; });
  if (later == this->samples.begin() || std::prev(later)->position.term != state->applied.term) {
    return std::nullopt;
  }
  return aNow - std::prev(later)->time;
}

std::optional<std::uint64_t> SlotTracker::SmallestApplied(std::uint64_t aTerm,
                                                          std::string_view aPrimary,
                                                          Instant aNow) const
{
  std::optional<std::uint64_t> smallest;
  for (const auto& [name, state] : this->slots) {
    if (name == aPrimary || !this->IsAlive(name, aNow)) {
      continue;
    }
    if (state.applied.term != aTerm) {
      return std::nullopt;
    }
    smallest = std::min(smallest.value_or(state.applied.offset), state.applied.offset);
  }
  return smallest;
}

} // namespace oleanderledge
