#pragma once

#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The current term of a member and the candidate that it voted for in that term.
struct HardState
{
  std::uint64_t term = 0;
  std::string vote; ///< Member id; empty for none.

  bool operator==(const HardState&) const = default;
};

/// A snapshot of the replicated state and of the members, up to and including `lastIndex`.
struct RaftSnapshot
{
  std::uint64_t lastIndex = 0;
  std::uint64_t lastTerm = 0;
  /// Encoded by EncodeSnapshotContent(). Shared to avoid copies between the node, the storage and
  /// transfers to other members.
  std::shared_ptr<const std::string> content;
};

/// The durable state of a member, as loaded from disk.
struct PersistentState
{
  HardState hardState;
  std::optional<RaftSnapshot> snapshot;
  /// Contiguous; the first entry follows the snapshot.
  std::vector<LogEntry> entries;
};

/// State changes that are written durably together. Batches are written in ascending order of
/// `sequence`.
struct PersistBatch
{
  std::uint64_t sequence = 0;
  HardState hardState;
  /// If set, replaces the stored snapshot and the whole stored log; `entries` then holds all
  /// entries after the snapshot.
  std::optional<RaftSnapshot> snapshot;
  /// Each entry replaces all stored entries with the same or a higher index.
  std::vector<LogEntry> entries;
};

} // namespace oleanderledge
