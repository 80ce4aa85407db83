#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>

namespace oleanderledge {

/// Timing and size limits of the replicated log. All members of a group must use the same values.
struct RaftSettings
{
  Duration heartbeatInterval = std::chrono::milliseconds(50);
  /// Minimum election timeout. A member rejects vote requests for this long after the last request
  /// from a leader, and after its own start.
  Duration electionTimeoutMin = std::chrono::milliseconds(300);
  /// Maximum election timeout. A leader that has had no contact with a quorum for this long steps
  /// down. A member that has not replied for this long receives only heartbeats. Proxies leave a
  /// member whose replies come that late, so none of them waits there for entries.
  Duration electionTimeoutMax = std::chrono::milliseconds(600);
  /// Maximum difference between the clock rates of two members, in thousandths. The leader lease is
  /// shorter than the minimum election timeout by this fraction, so that it expires before a member
  /// with a faster clock can vote for another leader.
  std::int64_t clockDriftPerMille = 20;
  /// Maximum bytes of commands in one AppendRequest; a single larger command is still sent.
  std::size_t maxAppendBytes = std::size_t{ 256 } * 1024;
  /// Maximum bytes of snapshot content in one SnapshotRequest.
  std::size_t snapshotPieceBytes = std::size_t{ 256 } * 1024;
  /// Number of entries covered by the newest snapshot that stay in memory, so that a member that
  /// lags slightly receives entries instead of a whole snapshot.
  std::uint64_t retainedEntries = 1000;
  /// Maximum bytes of the commands of these entries. Bounds the time in which a new member catches
  /// up by the size of the state, whatever the history.
  std::size_t retainedBytes = std::size_t{ 1024 } * 1024;
  /// No further entries are sent to a member while it has not acknowledged this many. The last
  /// request may exceed the limit.
  std::uint64_t maxInFlightEntries = 4096;
  /// The same for bytes of the commands of entries that have not arrived. Heartbeats wait behind
  /// them: on a connection with a window of 64 KiB and a round trip of 25 ms for 0.2 s, less than
  /// the minimum election timeout.
  std::size_t maxInFlightBytes = std::size_t{ 512 } * 1024;

  /// Duration of the leader lease, counted from when the requests that a quorum confirmed were
  /// sent.
  Duration LeaderLease() const
  {
    return this->electionTimeoutMin * (1000 - this->clockDriftPerMille) / 1000;
  }
};

} // namespace oleanderledge
