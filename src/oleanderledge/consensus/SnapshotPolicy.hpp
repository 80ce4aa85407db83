#pragma once

#include "oleanderledge/consensus/RaftNode.hpp"

#include <cstdint>

namespace oleanderledge {

/// When a member takes a snapshot of its replicated state.
struct SnapshotPolicySettings
{
  /// Number of applied entries after which a snapshot is taken.
  std::uint64_t afterEntries = 5000;
  /// Bytes of applied commands after which a snapshot is taken, unless the newest snapshot is
  /// larger than that: its size then takes the place of this limit.
  std::uint64_t afterBytes = std::uint64_t{ 1024 } * 1024;
};

/// Decides when a member takes a snapshot. A new member receives the newest snapshot and the
/// entries after it, so these are kept in proportion to the state. Performs no I/O.
class SnapshotPolicy
{
public:
  explicit SnapshotPolicy(const SnapshotPolicySettings& aSettings)
    : settings(aSettings)
  {
  }

  /// Must be called for each applied entry.
  void OnApplied(const LogEntry& aEntry);
  /// Must be called when a snapshot was taken or restored.
  void OnSnapshot();
  bool IsDue(const RaftNode& aNode) const;

private:
  SnapshotPolicySettings settings;
  std::uint64_t entriesSince = 0; ///< Entries applied since the last snapshot.
  std::uint64_t bytesSince = 0;   ///< Bytes of their commands.
};

} // namespace oleanderledge
