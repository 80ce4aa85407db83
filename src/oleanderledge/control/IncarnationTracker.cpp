#include "oleanderledge/control/IncarnationTracker.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// New messages of a retired incarnation from which on it counts as a clone. One can be a message
/// that was in transit when the process restarted.
constexpr int kCloneMessageThreshold = 2;
/// Limits the memory per name if its process restarts in a loop.
constexpr std::size_t kMaxRetired = 16;

} // namespace

IncarnationVerdict IncarnationTracker::Observe(std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  if (!this->known) {
    this->known = true;
    this->current = aIncarnation;
    this->sequence = aSequence;
    return IncarnationVerdict::First;
  }
  if (aIncarnation == this->current) {
    if (aSequence <= this->sequence) {
      return aSequence == this->sequence ? IncarnationVerdict::Duplicate
                                         : IncarnationVerdict::OldSequence;
    }
    this->sequence = aSequence;
    return IncarnationVerdict::Current;
  }
  const auto found = this->retired.find(aIncarnation);
  if (found != this->retired.end()) {
    return this->ObserveRetired(found->second, aSequence);
  }
  this->Retire();
  this->current = aIncarnation;
  this->sequence = aSequence;
  return IncarnationVerdict::Restarted;
}

IncarnationVerdict IncarnationTracker::ObserveRetired(Retired& aRetired,
                                                      std::uint64_t aSequence) const
{
  if (aSequence > aRetired.sequence) {
    aRetired.sequence = aSequence;
    ++aRetired.newerMessages;
  }
  return aRetired.newerMessages >= kCloneMessageThreshold ? IncarnationVerdict::Clone
                                                          : IncarnationVerdict::OldIncarnation;
}

void IncarnationTracker::Retire()
{
  this->retired[this->current] = { this->sequence, 0, ++this->retirements };
  if (this->retired.size() > kMaxRetired) {
    this->retired.erase(std::ranges::min_element(
      this->retired, {}, [](const auto& aEntry) { return aEntry.second.order; }));
  }
}

} // namespace oleanderledge
