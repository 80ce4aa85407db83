#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/statements/StatementTypes.hpp"

#include <deque>
#include <optional>

namespace oleanderledge {

/// Log positions of a service's primary over the last seconds. A read that accepts data of a given
/// age uses them to find the position that a replica must have reached. Free of I/O; time is an
/// argument.
///
/// Only answers of a server that was confirmed as primary when it answered may be added. Their
/// position covers every commit that was acknowledged through any proxy before the request was
/// sent.
class PositionHistory
{
public:
  struct Sample
  {
    Instant sentAt;
    LogPosition position;
  };

  /// Adds the position from the answer to a request that was sent at `aSentAt`. Samples may be
  /// added out of order, as those of other proxies arrive with a delay.
  void Add(Instant aSentAt, const LogPosition& aPosition);

  /// Returns the lowest known position that covers all commits acknowledged before `aTime`;
  /// std::nullopt if no sample is recent enough.
  std::optional<LogPosition> LowestCovering(Instant aTime) const;

  /// Removes all samples, for a change of primary.
  void Clear() { this->samples.clear(); }

private:
  std::deque<Sample> samples; ///< Ascending in both fields.
};

} // namespace oleanderledge
