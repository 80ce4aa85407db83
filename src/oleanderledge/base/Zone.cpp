#include "oleanderledge/base/Zone.hpp"

namespace oleanderledge {

std::string_view RegionOf(std::string_view aZone)
{
  return aZone.substr(0, aZone.find('/'));
}

ZoneDistance DistanceBetween(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft == aRight) {
    return ZoneDistance::SameZone;
  }
  return RegionOf(aLeft) == RegionOf(aRight) ? ZoneDistance::SameRegion : ZoneDistance::OtherRegion;
}

} // namespace oleanderledge
