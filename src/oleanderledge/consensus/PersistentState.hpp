#pragma once

#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The newest term that a member has seen and the candidate it voted for in that term.
struct HardState
{
  std::uint64_t term = 0;
  std::string vote; ///< Member id; empty for none.

  bool operator==(const HardState&) const = default;
};

/// A snapshot of the replicated state with the members as of its index.
struct RaftSnapshot
{
  std::uint64_t lastIndex = 0;
  std::uint64_t lastTerm = 0;
  /// Written by EncodeSnapshotContent(). Shared, because the node, the storage and the transfers to
  /// other members use the same bytes.
  std::shared_ptr<const std::string> content;
};

/// What a member has on disk.
struct PersistentState
{
  HardState hardState;
  std::optional<RaftSnapshot> snapshot;
  /// Contiguous; starts after the snapshot.
  std::vector<LogEntry> entries;
};

/// One durable write. Batches are written in ascending order of `sequence`.
struct PersistBatch
{
  std::uint64_t sequence = 0;
  HardState hardState;
  /// If set, replaces the stored snapshot and the whole stored log; `entries` is then the complete
  /// log after the snapshot.
  std::optional<RaftSnapshot> snapshot;
  /// An entry replaces all stored entries with the same or a higher index.
  std::vector<LogEntry> entries;
};

} // namespace oleanderledge
