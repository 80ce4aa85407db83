#pragma once

#include <string>
#include <string_view>

namespace oleanderledge {

/// How far apart two availability zones are; smaller is nearer.
enum class ZoneDistance
{
  SameZone = 0,
  SameRegion = 1,
  OtherRegion = 2,
};

/// Region of a zone written as "region/zone", for example "dalarna" of "dalarna/mora-1".
std::string_view RegionOf(std::string_view aZone);

/// Distance between two zones written as "region/zone".
ZoneDistance DistanceBetween(std::string_view aLeft, std::string_view aRight);

} // namespace oleanderledge
