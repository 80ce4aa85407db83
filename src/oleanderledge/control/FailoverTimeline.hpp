#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace oleanderledge {

/// Times of the parts of one change of primary, as this control member saw them. Parts that an
/// earlier leader did are unknown.
struct FailoverTimeline
{
  bool planned = false;
  /// Last sign of the old primary, or the start of draining.
  std::optional<Instant> lost;
  std::optional<Instant> detected;
  std::optional<Instant> fenced;
  std::optional<Instant> confirmed;
  /// Log index of the change to `steady`; 0 before it.
  std::uint64_t steadyVersion = 0;

  /// "kind=unplanned detection_ms=.. lease_ms=.. promotion_ms=.. publication_ms=.. total_ms=..",
  /// with -1 for unknown parts. The parts follow each other without a gap.
  std::string Describe(Instant aPublished) const;
};

} // namespace oleanderledge
