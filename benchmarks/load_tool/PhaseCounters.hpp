#pragma once

#include "LatencyHistogram.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace oleanderledge::load {

/// Outcomes of the requests of one class in one phase. A request belongs to the phase of its
/// intended send time.
struct PhaseCounters
{
  std::uint64_t offered = 0;
  std::uint64_t served = 0;                      ///< Answered without an error.
  std::uint64_t inTarget = 0;                    ///< Served within the target.
  std::map<std::string, std::uint64_t> refusals; ///< By SQLSTATE, "not_sent" or "unanswered".
  LatencyHistogram latency;                      ///< Of served requests.

  /// Prints lines "NAME<TAB>VALUE<TAB>UNIT" for a phase of `aSeconds`.
  void Print(const std::string& aPrefix, double aSeconds) const;
};

} // namespace oleanderledge::load
