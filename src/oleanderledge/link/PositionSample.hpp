#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>

namespace oleanderledge {

/// A log position at which the primary of a service was confirmed to be the primary. It covers
/// every commit that was acknowledged before `leaderUs`.
struct PositionSample
{
  std::string service;
  LogPosition position;
  std::int64_t leaderUs = 0; ///< Microseconds on the monotonic clock of the control leader.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->position, this->leaderUs);
  }
};

} // namespace oleanderledge
