#include "oleanderledge/control/PositionDistributor.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace std::chrono_literals;

TEST_CASE("Each proxy is told a newer position once", "[positions]")
{
  PositionDistributor board;
  board.Add({ { "ledger", { 3, 20 }, 1'000'000 } }, Instant{ 2s });
  CHECK(board.TakeUpdatesFor("proxy-1").size() == 1);
  CHECK(board.TakeUpdatesFor("proxy-1").empty());
  CHECK(board.TakeUpdatesFor("proxy-2").at(0).position == LogPosition{ 3, 20 });
  board.Add({ { "ledger", { 3, 25 }, 1'200'000 } }, Instant{ 2s });
  CHECK(board.TakeUpdatesFor("proxy-1").empty());
  board.Add({ { "ledger", { 3, 30 }, 1'400'000 } }, Instant{ 2s });
  CHECK(board.TakeUpdatesFor("proxy-1").at(0).position == LogPosition{ 3, 30 });
}

// Guards against a position of a log that was rolled back, and against a damaged time.
TEST_CASE("Positions of earlier terms and of the future are not passed on", "[positions]")
{
  PositionDistributor board;
  board.Add({ { "ledger", { 4, 10 }, 1'000'000 } }, Instant{ 2s });
  board.Add({ { "ledger", { 3, 90 }, 1'900'000 } }, Instant{ 2s });
  board.Add({ { "ledger", { 4, 90 }, 2'000'001 } }, Instant{ 2s });
  CHECK(board.TakeUpdatesFor("proxy-1").at(0).position == LogPosition{ 4, 10 });
  board.Clear();
  CHECK(board.TakeUpdatesFor("proxy-1").empty());
}

TEST_CASE("A proxy that was forgotten is told again what is known", "[positions]")
{
  PositionDistributor board;
  board.Add({ { "ledger", { 3, 20 }, 1'000'000 } }, Instant{ 2s });
  CHECK(board.TakeUpdatesFor("proxy-1").size() == 1);
  board.RemoveProxy("proxy-1");
  CHECK(board.TakeUpdatesFor("proxy-1").size() == 1);
}
