#pragma once

#include "oleanderledge/link/link.hpp"

#include <cstdint>

namespace oleanderledge {

/// The lease on one owned database. Its length counts from the time at which the heartbeat was sent
/// that it answers.
class OwnerLease
{
public:
  /// Applies a grant, whose length must be above 0. A grant of an older epoch is ignored, and the
  /// end of the lease never moves backwards within an epoch.
  void Extend(const LeaseGrant& aGrant, Instant aHeartbeatSent, Instant aNow);
  /// Ends the lease at once.
  void Relinquish();

  /// True if the owner may serve reads of the epoch.
  bool CoversEpoch(std::uint64_t aEpoch, Instant aNow) const;
  /// True if the owner may acknowledge writes of the epoch and term.
  bool CoversEpochAndTerm(std::uint64_t aEpoch, std::uint64_t aTerm, Instant aNow) const;

  /// Time until the lease ends, 0 if it has ended.
  Duration Remaining(Instant aNow) const;
  Instant End() const { return this->end; }
  /// When the first grant of the present epoch was received. No earlier owner can acknowledge a
  /// write after this time.
  Instant EpochStart() const { return this->epochStart; }

private:
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  Instant end{};
  Instant epochStart{};
};

} // namespace oleanderledge
