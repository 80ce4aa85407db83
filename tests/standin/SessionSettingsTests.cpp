#include "standin/SessionSettings.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

TEST_CASE("Only names with a dot are accepted without a definition")
{
  SessionSettings settings;
  CHECK_FALSE(settings.Set("oleanderledge.class", "bookings"));
  CHECK(settings.Find("Oleanderledge.Class") == "bookings");
  REQUIRE(settings.Set("no_such_setting", "1"));
  CHECK(settings.Set("no_such_setting", "1")->sqlstate == "42704");
}

TEST_CASE("Boolean settings are normalized to on and off and reject other values")
{
  SessionSettings settings;
  CHECK_FALSE(settings.Set("default_transaction_read_only", "TRUE"));
  CHECK(settings.IsOn("default_transaction_read_only"));
  CHECK(settings.Set("default_transaction_read_only", "maybe")->sqlstate == "22023");
}

// Guards against a RESET that discards the start-up options of a pooled connection.
TEST_CASE("RESET returns to the start-up value")
{
  SessionSettings settings;
  CHECK_FALSE(settings.SetInitial("application_name", "counter"));
  CHECK_FALSE(settings.Set("application_name", "other"));
  settings.ResetAll();
  CHECK(settings.Find("application_name") == "counter");
}
