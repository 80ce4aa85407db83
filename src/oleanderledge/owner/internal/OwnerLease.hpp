#pragma once

#include "oleanderledge/link/link.hpp"

#include <cstdint>

namespace oleanderledge {

/// The lease of one owned database, counted from the time its heartbeat was sent.
class OwnerLease
{
public:
  /// Takes over a grant with a length above 0.
  void Extend(const LeaseGrant& aGrant, Instant aHeartbeatSent, Instant aNow);
  /// Gives the lease up at once.
  void Relinquish();

  /// True if the owner may serve reads of the epoch.
  bool CoversEpoch(std::uint64_t aEpoch, Instant aNow) const;
  /// True if the owner may acknowledge writes of the epoch and term.
  bool CoversEpochAndTerm(std::uint64_t aEpoch, std::uint64_t aTerm, Instant aNow) const;

  Duration Remaining(Instant aNow) const;
  Instant End() const { return this->end; }
  /// When the first lease of the present epoch was received: no earlier owner can acknowledge a
  /// write after this time.
  Instant EpochStart() const { return this->epochStart; }

private:
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;
  Instant end{};
  Instant epochStart{};
};

} // namespace oleanderledge
