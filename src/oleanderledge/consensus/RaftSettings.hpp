#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>

namespace oleanderledge {

/// Timing and size limits of the replicated log. All members of a group use the same values.
struct RaftSettings
{
  Duration heartbeatInterval = std::chrono::milliseconds(50);
  /// Shortest election timeout. A member refuses votes for this long after it heard from a leader.
  Duration electionTimeoutMin = std::chrono::milliseconds(300);
  /// Longest election timeout. A leader without a quorum for this long steps down.
  Duration electionTimeoutMax = std::chrono::milliseconds(600);
  /// Largest relative difference between the clock rates of two members, in thousandths. The leader
  /// lease is shorter than the shortest election timeout by this part.
  std::int64_t clockDriftPerMille = 20;
  std::size_t maxAppendBytes = std::size_t{ 1024 } * 1024;
  std::size_t snapshotPieceBytes = std::size_t{ 256 } * 1024;
  /// Entries kept in memory before a snapshot, so that a member that is slightly behind gets
  /// entries instead of the snapshot.
  std::uint64_t retainedEntries = 1000;
  /// Entries sent to a member beyond the last one that it confirmed.
  std::uint64_t maxInFlightEntries = 4096;

  Duration LeaderLease() const
  {
    return this->electionTimeoutMin * (1000 - this->clockDriftPerMille) / 1000;
  }
};

} // namespace oleanderledge
