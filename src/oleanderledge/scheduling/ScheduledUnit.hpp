#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oleanderledge {

/// Backend servers that can execute a unit. Within one caller, units of one lane do not delay those
/// of the other, because the lanes use different connections.
enum class WorkLane : std::uint8_t
{
  Primary = 0, ///< Only the primary.
  AnySlot = 1, ///< A replica or the primary.
};

constexpr std::size_t kWorkLaneCount = 2;

/// A class of work and the target for the time from arrival to answer of its units.
struct ClassTarget
{
  std::string name;
  Duration target{ 0 };
};

/// What the scheduler knows of a unit of work.
struct ScheduledUnit
{
  std::uint64_t id = 0;  ///< Unique among the queued units.
  std::string workClass; ///< If empty or unknown, the class with the longest target applies.
  std::string caller;
  WorkLane lane = WorkLane::Primary;
  Instant arrival;       ///< When the first proxy received the unit.
  std::size_t bytes = 0; ///< Size of the payload.
};

/// Refusal of a unit, which is not executed.
struct Refusal
{
  std::uint64_t id = 0;
  ResultCode code = ResultCode::Overloaded;
  Duration retryAfter{ 0 }; ///< Time after which a retry may succeed.
};

} // namespace oleanderledge
