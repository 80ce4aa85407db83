#include "oleanderledge/transport/EmulatedLatency.hpp"

namespace oleanderledge {

Duration EmulatedLatency::Between(std::string_view aLeft, std::string_view aRight) const
{
  switch (DistanceBetween(aLeft, aRight)) {
    case ZoneDistance::SameZone:
      break;
    case ZoneDistance::SameRegion:
      return this->betweenZones;
    case ZoneDistance::OtherRegion:
      return this->betweenRegions;
  }
  return Duration{ 0 };
}

} // namespace oleanderledge
