#include "oleanderledge/statements/statements.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace oleanderledge;
using namespace std::chrono_literals;

namespace {

ReadCandidate IdleServer(ZoneDistance aDistance)
{
  ReadCandidate candidate;
  candidate.distance = aDistance;
  candidate.hasIdleConnection = true;
  candidate.slots = 3;
  candidate.answerTime = 20ms;
  return candidate;
}

} // namespace

TEST_CASE("A read goes to the replica of its own zone", "[placement]")
{
  CHECK(ChooseReadCandidate(std::vector{ IdleServer(ZoneDistance::OtherRegion),
                                         IdleServer(ZoneDistance::SameZone),
                                         IdleServer(ZoneDistance::SameRegion) }) == 1U);
}

// Guards against reads that wait for the overloaded replica of their zone while others are idle.
TEST_CASE("A farther server is preferred to a near one with a long queue", "[placement]")
{
  ReadCandidate busy = IdleServer(ZoneDistance::SameZone);
  busy.answerTime = 200ms;
  CHECK(ChooseReadCandidate(std::vector{ busy, IdleServer(ZoneDistance::OtherRegion) }) == 1U);
}

TEST_CASE("A failing server is used only if no other can be, a lagging one not at all",
          "[placement]")
{
  ReadCandidate failing = IdleServer(ZoneDistance::SameZone);
  failing.isFailing = true;
  ReadCandidate lagging = IdleServer(ZoneDistance::SameZone);
  lagging.isLagging = true;
  CHECK(ChooseReadCandidate(
          std::vector{ failing, lagging, IdleServer(ZoneDistance::OtherRegion) }) == 2U);
  CHECK(ChooseReadCandidate(std::vector{ failing }) == 0U);
  CHECK_FALSE(ChooseReadCandidate(std::vector{ lagging }).has_value());
}

TEST_CASE("A server without a free connection is not chosen", "[placement]")
{
  ReadCandidate full = IdleServer(ZoneDistance::SameZone);
  full.hasIdleConnection = false;
  CHECK_FALSE(ChooseReadCandidate(std::vector{ full }).has_value());
  full.canOpenConnection = true;
  CHECK(ChooseReadCandidate(std::vector{ full }) == 0U);
}

// Guards against reads that wait for a connection to an unreachable server while others are idle.
TEST_CASE("An idle server is preferred to a nearer one whose connection takes long to open",
          "[placement]")
{
  ReadCandidate opening = IdleServer(ZoneDistance::SameZone);
  opening.hasIdleConnection = false;
  opening.canOpenConnection = true;
  CHECK(ChooseReadCandidate(std::vector{ opening, IdleServer(ZoneDistance::OtherRegion) }) == 0U);
  opening.openingDuration = 100ms;
  CHECK(ChooseReadCandidate(std::vector{ opening, IdleServer(ZoneDistance::OtherRegion) }) == 1U);
}

// Guards against immediate requests to a server that has just rejected one for overload, because it
// is near and fast.
TEST_CASE("A farther server is preferred to a near one that rejected for overload", "[placement]")
{
  ReadCandidate overloaded = IdleServer(ZoneDistance::SameZone);
  overloaded.isOverloaded = true;
  CHECK(ChooseReadCandidate(std::vector{ overloaded, IdleServer(ZoneDistance::OtherRegion) }) ==
        1U);
}
