#include "benchmarks/load_tool/ClassSettings.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::load;

TEST_CASE("Classes are parsed with and without a number of connections")
{
  const auto classes = ParseClasses("bookings:50.5:0.25:50,reprints:1:1:10000:7");
  REQUIRE(classes);
  REQUIRE(classes->size() == 2);
  CHECK(classes->at(0).name == "bookings");
  CHECK(classes->at(0).rate == 50.5);
  CHECK(classes->at(0).readShare == 0.25);
  CHECK(classes->at(1).targetMs == 10000);
  CHECK(classes->at(1).connections == 7);
}

// Guards against a mistyped option that is accepted and measures a different load.
TEST_CASE("Invalid classes and floods are rejected")
{
  for (const char* const text : { "",
                                  "bookings",
                                  "a:1:2:50",
                                  "a:-1:0:50",
                                  "a:1:0:0",
                                  "a:1:0:50:0",
                                  "a:1:0:50,",
                                  "a:x:0:50",
                                  "a:nan:0:50",
                                  ":1:0:50" }) {
    INFO(text);
    CHECK_FALSE(ParseClasses(text));
  }
  CHECK(ParseFlood("a:100:1:2"));
  CHECK_FALSE(ParseFlood("a:100:2:2"));
  CHECK_FALSE(ParseFlood("a:100:2"));
}
