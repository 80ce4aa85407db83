#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oleanderledge {

/// Which backend servers can run a unit. Units of one lane do not delay those of the other within
/// one caller, because the lanes use different connections.
enum class WorkLane : std::uint8_t
{
  Primary = 0, ///< Only the primary.
  AnySlot = 1, ///< A replica or the primary.
};

constexpr std::size_t kWorkLaneCount = 2;

/// A class of work and how soon its requests must be served.
struct ClassTarget
{
  std::string name;
  Duration target{ 0 };
};

/// A unit as the scheduler sees it.
struct ScheduledUnit
{
  std::uint64_t id = 0;  ///< Unique among the queued units.
  std::string workClass; ///< Empty or unknown: the class with the longest target.
  std::string caller;
  WorkLane lane = WorkLane::Primary;
  Instant arrival; ///< When the unit reached the entry.
  std::size_t bytes = 0;
};

/// A unit that is not run, and when trying again is worthwhile.
struct Refusal
{
  std::uint64_t id = 0;
  ResultCode code = ResultCode::Overloaded;
  Duration retryAfter{ 0 };
};

} // namespace oleanderledge
