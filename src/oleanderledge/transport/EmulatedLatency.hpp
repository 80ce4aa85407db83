#pragma once

#include "oleanderledge/base/base.hpp"

#include <string_view>

namespace oleanderledge {

/// One-way delays added to sent messages, to emulate the network between zones when a whole fleet
/// runs on one machine. All zero in production.
struct EmulatedLatency
{
  Duration betweenZones{ 0 };
  Duration betweenRegions{ 0 };
  Duration toClients{ 0 };

  /// Delay of a message between two zones written as "region/zone"; 0 within one zone.
  Duration Between(std::string_view aLeft, std::string_view aRight) const;
};

} // namespace oleanderledge
