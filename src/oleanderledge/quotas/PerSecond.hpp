#pragma once

#include "oleanderledge/link/OrganisationRows.hpp"

namespace oleanderledge {

/// Operations per second that a limit allows.
inline double PerSecond(const OperationRate& aRate)
{
  constexpr double kKilosecond = 1000;
  return static_cast<double>(aRate.perKilosecond) / kKilosecond;
}

} // namespace oleanderledge
