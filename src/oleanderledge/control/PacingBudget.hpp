#pragma once

#include "oleanderledge/base/base.hpp"

namespace oleanderledge {

/// Token bucket that paces reassignments and failovers.
class PacingBudget
{
public:
  PacingBudget(int aPerSecond, int aBurst);

  /// Takes one token, or returns false if none is left at this time.
  bool Take(Instant aNow);

private:
  double perSecond;
  double burst;
  double tokens;
  Instant refilledAt{};
};

} // namespace oleanderledge
