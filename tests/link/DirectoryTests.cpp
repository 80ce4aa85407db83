#include "oleanderledge/link/link.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

// An update that a slow follower relays late must not bring back older rows, and one that starts
// after the current version must not hide the rows in between.
TEST_CASE("A directory update that is older or leaves a gap changes nothing")
{
  Directory directory;
  REQUIRE(directory.Apply({ 0, 5, { { "bookings", 50, 5, false } }, {} }));
  CHECK_FALSE(directory.Apply({ 0, 4, { { "bookings", 900, 4, false } }, {} }));
  CHECK_FALSE(directory.Apply({ 7, 9, { { "bookings", 900, 9, false } }, {} }));
  CHECK(directory.FindClass("bookings")->targetMs == 50);
  CHECK(directory.Version() == 5);
}

TEST_CASE("A deleted class is not found and a later row brings it back")
{
  Directory directory;
  REQUIRE(directory.Apply({ 0, 1, { { "lookups", 500, 1, false } }, {} }));
  REQUIRE(directory.Apply({ 1, 2, { { "lookups", 500, 2, true } }, {} }));
  CHECK(directory.FindClass("lookups") == nullptr);
  REQUIRE(directory.Apply({ 1, 3, { { "lookups", 400, 3, false } }, {} }));
  CHECK(directory.FindClass("lookups")->targetMs == 400);
}
