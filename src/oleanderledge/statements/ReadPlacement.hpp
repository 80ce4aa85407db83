#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace oleanderledge {

/// A backend server that could run a read.
struct ReadCandidate
{
  bool isPrimary = false;
  ZoneDistance distance = ZoneDistance::SameZone;
  bool hasIdleConnection = false;
  bool mayOpenConnection = false;
  bool isRelayed = false; ///< A connection of another proxy is used instead of opening one.
  bool isFailing = false;
  bool isOverloaded = false; ///< Recently refused a statement for its load.
  bool isLagging = false;    ///< Recently lacked a position that a read needed.
  /// Time since the oldest attempt to open a connection that is still going on.
  Duration openingFor{ 0 };
  std::size_t inUse = 0; ///< Connections in use by this proxy.
  std::uint32_t slots = 1;
  Duration answerTime{ 0 }; ///< Moving average, with the queue at the server.
};

/// Chooses the candidate that is expected to answer first, with a preference for near ones, since
/// traffic between regions is expensive. Returns its index, or nothing if none can take a read now.
///
/// Answers the load of reads that a zone's own replica cannot carry alone: its answer time grows
/// with its queue until a farther server is faster. Pure.
std::optional<std::size_t> ChooseForRead(std::span<const ReadCandidate> aCandidates);

} // namespace oleanderledge
