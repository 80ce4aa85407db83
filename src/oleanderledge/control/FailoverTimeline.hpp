#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace oleanderledge {

/// Durations of the steps of one complete change of primary, in milliseconds.
struct FailoverDurations
{
  std::string database;
  std::int64_t detectionMs = 0;
  std::int64_t leaseMs = 0;
  std::int64_t promotionMs = 0;
  std::int64_t publicationMs = 0;
};

/// Times of the steps of one change of primary, as observed by this control member. Steps that an
/// earlier leader took are unknown.
struct FailoverTimeline
{
  bool planned = false;
  /// Last announcement of the old primary, or the start of draining.
  std::optional<Instant> lost;
  std::optional<Instant> detected;  ///< The phase `fencing` or `draining` was committed.
  std::optional<Instant> fenced;    ///< The lease ended, or the owner reported to be drained.
  std::optional<Instant> confirmed; ///< The promotion was confirmed.
  /// Log index of the change to `steady`; 0 before it.
  std::uint64_t steadyVersion = 0;

  /// "kind=unplanned detection_ms=.. lease_ms=.. promotion_ms=.. publication_ms=.. total_ms=..",
  /// with -1 for unknown durations. The steps follow each other without a gap. The last one ends at
  /// `aPublished`, when the owner reported that it uses the directory with the new primary.
  std::string Describe(Instant aPublished) const;

  /// The same durations as numbers; empty if one of them is unknown.
  std::optional<FailoverDurations> Durations(const std::string& aDatabase,
                                             Instant aPublished) const;
};

} // namespace oleanderledge
