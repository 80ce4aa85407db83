#include "oleanderledge/statements/CommitGate.hpp"

#include <algorithm>

namespace oleanderledge {

void CommitGate::SetPrimary(PrimaryPhase aPhase, std::uint64_t aFence)
{
  this->phase = aPhase;
  this->fence = aFence;
  if (!this->IsReplacingPrimary()) {
    this->steadyAt = this->directoryCurrentAt;
  }
}

void CommitGate::SetDirectoryCurrentAt(Instant aHeartbeatSent)
{
  this->directoryCurrentAt = std::max(this->directoryCurrentAt, aHeartbeatSent);
  if (!this->IsReplacingPrimary()) {
    this->steadyAt = this->directoryCurrentAt;
  }
}

bool CommitGate::RefusesCommits(Instant aNow) const
{
  return this->isSynchronous && (this->IsReplacingPrimary() || this->MayBeOutdated(aNow));
}

bool CommitGate::IsCommitKept(std::uint64_t aFence, Instant aNow) const
{
  return !this->isSynchronous || (aFence == this->fence && !this->MayBeOutdated(aNow));
}

} // namespace oleanderledge
