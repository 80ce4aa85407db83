#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>

namespace oleanderledge {

/// Decides whether this proxy may commit on the primary of a service whose commits wait for
/// replicas. What a primary confirms while it is being replaced may be missing on its successor.
/// Does no I/O and reads no clock.
class CommitGate
{
public:
  /// True if commits of the service wait for replicas. Others are never refused.
  void SetSynchronous(bool aIsSynchronous) { this->isSynchronous = aIsSynchronous; }
  /// Takes over the row of the primary from a new directory.
  void SetPrimary(PrimaryPhase aPhase, std::uint64_t aFence);
  /// The directory was current when a heartbeat of this time was sent.
  void SetDirectoryCurrentAt(Instant aHeartbeatSent);

  bool IsReplacingPrimary() const { return this->phase != PrimaryPhase::Steady; }
  /// Fence of the primary, to be kept with each commit that is sent.
  std::uint64_t Fence() const { return this->fence; }
  /// True if the primary is being replaced, or may be without this proxy knowing of it.
  bool RefusesCommits(Instant aNow) const;
  /// True if all proxies must have ended their commits for the replacement that is under way.
  bool MustEndCommits() const { return this->isSynchronous && this->IsReplacingPrimary(); }
  /// True if a commit that was sent with this fence, and is confirmed at `aNow`, cannot be missing
  /// on a successor.
  bool IsCommitKept(std::uint64_t aFence, Instant aNow) const;

private:
  /// True if the primary may have been replaced without this proxy knowing of it.
  bool MayBeOutdated(Instant aNow) const { return aNow - this->steadyAt >= kCommitValidity; }

  bool isSynchronous = false;
  PrimaryPhase phase = PrimaryPhase::Steady;
  std::uint64_t fence = 0;
  Instant directoryCurrentAt{};
  /// Sending time of the newest heartbeat after which the replacement of the primary, if there is
  /// one, began.
  Instant steadyAt{};
};

} // namespace oleanderledge
