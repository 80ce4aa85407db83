#include "oleanderledge/control/PositionDistributor.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

TEST_CASE("Each proxy gets a newer position once", "[positions]")
{
  PositionDistributor distributor;
  distributor.Add({ { "ledger", { 3, 20 }, 1'000'000 } }, Instant{ 2s });
  CHECK(distributor.TakeUpdatesFor("proxy-1").size() == 1);
  CHECK(distributor.TakeUpdatesFor("proxy-1").empty());
  CHECK(distributor.TakeUpdatesFor("proxy-2").at(0).position == LogPosition{ 3, 20 });
  distributor.Add({ { "ledger", { 3, 25 }, 1'200'000 } }, Instant{ 2s });
  CHECK(distributor.TakeUpdatesFor("proxy-1").empty());
  distributor.Add({ { "ledger", { 3, 30 }, 1'400'000 } }, Instant{ 2s });
  CHECK(distributor.TakeUpdatesFor("proxy-1").at(0).position == LogPosition{ 3, 30 });
}

// Guards against a position in a log that was rolled back, and against a time later than that of
// the leader.
TEST_CASE("Positions of earlier terms or with a future time are not distributed", "[positions]")
{
  PositionDistributor distributor;
  distributor.Add({ { "ledger", { 4, 10 }, 1'000'000 } }, Instant{ 2s });
  distributor.Add({ { "ledger", { 3, 90 }, 1'900'000 } }, Instant{ 2s });
  distributor.Add({ { "ledger", { 4, 90 }, 2'000'001 } }, Instant{ 2s });
  CHECK(distributor.TakeUpdatesFor("proxy-1").at(0).position == LogPosition{ 4, 10 });
  distributor.Clear();
  CHECK(distributor.TakeUpdatesFor("proxy-1").empty());
}

TEST_CASE("A proxy that was removed gets all positions again", "[positions]")
{
  PositionDistributor distributor;
  distributor.Add({ { "ledger", { 3, 20 }, 1'000'000 } }, Instant{ 2s });
  CHECK(distributor.TakeUpdatesFor("proxy-1").size() == 1);
  distributor.RemoveProxy("proxy-1");
  CHECK(distributor.TakeUpdatesFor("proxy-1").size() == 1);
}
