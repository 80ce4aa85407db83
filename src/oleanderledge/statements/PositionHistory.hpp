#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/statements/StatementTypes.hpp"

#include <deque>
#include <optional>

namespace oleanderledge {

/// Positions of a service's primary over the last seconds. Pure.
///
/// A sample is valid evidence only if the primary proved that it led when it answered. Its position
/// then covers every commit that was acknowledged, by any proxy, before the request was sent.
class PositionHistory
{
public:
  struct Sample
  {
    Instant sentAt;
    LogPosition position;
  };

  /// Records a position from an answer to a request that was sent at `aSentAt`. Samples of other
  /// proxies may arrive later than newer ones.
  void Add(Instant aSentAt, const LogPosition& aPosition);

  /// The lowest position that covers all commits acknowledged before `aTime`, or nothing if no
  /// sample is recent enough.
  std::optional<LogPosition> CoveringSince(Instant aTime) const;

  /// Forgets all samples, because the primary changed.
  void Clear() { this->samples.clear(); }

private:
  std::deque<Sample> samples; ///< Ascending in both fields.
};

} // namespace oleanderledge
