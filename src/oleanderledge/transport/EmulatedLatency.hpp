#pragma once

#include "oleanderledge/base/base.hpp"

#include <string_view>

namespace oleanderledge {

/// One-way delays added to sends when a whole fleet runs on one machine. All zero in production.
struct EmulatedLatency
{
  Duration betweenZones{ 0 };
  Duration betweenRegions{ 0 };
  Duration toClients{ 0 };

  /// Delay of one message between two zones written as "region/zone".
  Duration Between(std::string_view aLeft, std::string_view aRight) const;
};

} // namespace oleanderledge
