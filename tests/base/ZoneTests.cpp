#include "oleanderledge/base/base.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

// Owners are assigned by distance: a wrong distance would place an owner in another region than its
// primary.
TEST_CASE("Zones of one region are nearer than zones of different regions")
{
  CHECK(DistanceBetween("dalarna/mora-1", "dalarna/mora-1") == ZoneDistance::SameZone);
  CHECK(DistanceBetween("dalarna/mora-1", "dalarna/mora-2") == ZoneDistance::SameRegion);
  CHECK(DistanceBetween("dalarna/mora-1", "skane/malmo-1") == ZoneDistance::OtherRegion);
}
