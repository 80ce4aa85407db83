#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// A unit that the scheduler dispatched or refused.
struct ReplayDecision
{
  std::size_t event = 0; ///< Line of the event in the trace; the header is line 1.
  std::uint64_t id = 0;
  ResultCode code = ResultCode::Ok; ///< Ok: dispatched. Otherwise the code of the refusal.

  bool operator==(const ReplayDecision&) const = default;
};

/// Outcome counts of one class.
struct ReplayClassOutcome
{
  std::uint64_t served = 0;
  std::uint64_t servedInTarget = 0;
  std::map<ResultCode, std::uint64_t> refused;

  bool operator==(const ReplayClassOutcome&) const = default;
};

struct ReplayOutcome
{
  std::map<std::string, ReplayClassOutcome> classes;
  std::vector<ReplayDecision> decisions; ///< In order of the trace; those of one tick by id.
};

/// Feeds a trace to the deadline scheduler. A trace has one JSON object per line; times are in
/// microseconds.
///
/// The first line is the header:
/// `{"capacity":4,"classes":[{"name":"bookings","target_us":50000}]}`.
/// Events follow in order of time, each with `time_us` and `event`:
/// - `enqueue` with `id`, `class`, `caller` and `deadline_us` (arrival plus the target of the
/// class);
/// - `dispatch`: a connection is free, so the scheduler selects the next unit;
/// - `complete` with `id` and `service_us`;
/// - `gone` with `id`: the caller has disconnected; its unit is removed if it is still queued;
/// - `tick`: units that can no longer meet their target are refused.
///
/// The completion of a unit that this replay did not dispatch is ignored, because a changed
/// scheduler can decide differently from the recorded one. Errors are MalformedFrame with path and
/// line.
Result<ReplayOutcome> ReplayTrace(const std::string& aPath);

} // namespace oleanderledge
