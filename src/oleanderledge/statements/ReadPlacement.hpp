#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace oleanderledge {

/// State of a backend server that could execute a read.
struct ReadCandidate
{
  bool isPrimary = false;
  ZoneDistance distance = ZoneDistance::SameZone;
  /// An idle connection exists, and the concurrency limit allows another statement.
  bool hasIdleConnection = false;
  /// A connection can be or is being opened, and the concurrency limit allows another statement.
  bool canOpenConnection = false;
  bool isRelayed = false; ///< The read would use a connection of another proxy.
  bool isFailing = false;
  bool isOverloaded = false; ///< Recently rejected a statement for overload.
  bool isLagging = false;    ///< Its log recently lacked a position that a read required.
  /// Age of the oldest connection attempt that is still pending.
  Duration openingDuration{ 0 };
  std::size_t inUse = 0;    ///< Connections in use by this proxy.
  std::uint32_t slots = 1;  ///< Statements that the server executes at the same time.
  Duration answerTime{ 0 }; ///< Moving average, including the wait in the server's queue.
};

/// Returns the index of the candidate with the lowest expected answer time, or std::nullopt if none
/// can take a read now. Near servers are preferred, as traffic between regions is expensive.
///
/// Reads that overload the replica of their own zone spill over to others: the answer time of the
/// replica grows with its queue until a farther server is faster. Free of I/O.
std::optional<std::size_t> ChooseReadCandidate(std::span<const ReadCandidate> aCandidates);

} // namespace oleanderledge
