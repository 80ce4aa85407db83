#include "oleanderledge/owner/internal/OwnerLease.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// The owner shortens each lease by 1/50 (2 %), so that it ends here first although the clocks of
/// the owner and of control may run at different speeds.
constexpr std::int64_t kClockDriftDivisor = 50;

} // namespace

void OwnerLease::Extend(const LeaseGrant& aGrant, Instant aHeartbeatSent, Instant aNow)
{
  if (aGrant.epoch < this->epoch) {
    return;
  }
  const Duration length{ aGrant.lengthUs - aGrant.lengthUs / kClockDriftDivisor };
  const Instant grantedEnd = aHeartbeatSent + length;
  if (aGrant.epoch != this->epoch) {
    this->epoch = aGrant.epoch;
    this->term = aGrant.term;
    this->end = grantedEnd;
    this->epochStart = aNow;
    return;
  }
  this->term = std::max(this->term, aGrant.term);
  this->end = std::max(this->end, grantedEnd);
}

void OwnerLease::Relinquish()
{
  this->end = Instant{};
}

bool OwnerLease::CoversEpoch(std::uint64_t aEpoch, Instant aNow) const
{
  return this->epoch == aEpoch && aNow < this->end;
}

bool OwnerLease::CoversEpochAndTerm(std::uint64_t aEpoch, std::uint64_t aTerm, Instant aNow) const
{
  return this->CoversEpoch(aEpoch, aNow) && this->term == aTerm;
}

Duration OwnerLease::Remaining(Instant aNow) const
{
  return std::max(Duration{ 0 }, std::chrono::duration_cast<Duration>(this->end - aNow));
}

} // namespace oleanderledge
