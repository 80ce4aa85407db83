#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>

namespace oleanderledge {

/// A log position that a service's primary proved to lead at. It covers every commit that was
/// acknowledged before `leaderUs`, a time on the monotonic clock of the control leader.
struct PositionSample
{
  std::string service;
  LogPosition position;
  std::int64_t leaderUs = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->service, this->position, this->leaderUs);
  }
};

} // namespace oleanderledge
