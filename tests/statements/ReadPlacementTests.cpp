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
  CHECK(ChooseForRead(std::vector{ IdleServer(ZoneDistance::OtherRegion),
                                   IdleServer(ZoneDistance::SameZone),
                                   IdleServer(ZoneDistance::SameRegion) }) == 1U);
}

// Guards against a zone whose reads wait for its own replica while others are idle.
TEST_CASE("A replica with a long queue gives way to a farther one", "[placement]")
{
  ReadCandidate busy = IdleServer(ZoneDistance::SameZone);
  busy.answerTime = 200ms;
  CHECK(ChooseForRead(std::vector{ busy, IdleServer(ZoneDistance::OtherRegion) }) == 1U);
}

TEST_CASE("A failing server is used only if no other can be, a lagging one not at all",
          "[placement]")
{
  ReadCandidate failing = IdleServer(ZoneDistance::SameZone);
  failing.isFailing = true;
  ReadCandidate lagging = IdleServer(ZoneDistance::SameZone);
  lagging.isLagging = true;
  CHECK(ChooseForRead(std::vector{ failing, lagging, IdleServer(ZoneDistance::OtherRegion) }) ==
        2U);
  CHECK(ChooseForRead(std::vector{ failing }) == 0U);
  CHECK_FALSE(ChooseForRead(std::vector{ lagging }).has_value());
}

TEST_CASE("A server without a free connection is not chosen", "[placement]")
{
  ReadCandidate full = IdleServer(ZoneDistance::SameZone);
  full.hasIdleConnection = false;
  CHECK_FALSE(ChooseForRead(std::vector{ full }).has_value());
  full.mayOpenConnection = true;
  CHECK(ChooseForRead(std::vector{ full }) == 0U);
}

// Guards against reads that wait for a connection to a server which cannot be reached, while others
// are idle.
TEST_CASE("A server whose connection takes long to open gives way to others", "[placement]")
{
  ReadCandidate opening = IdleServer(ZoneDistance::SameZone);
  opening.hasIdleConnection = false;
  opening.mayOpenConnection = true;
  CHECK(ChooseForRead(std::vector{ opening, IdleServer(ZoneDistance::OtherRegion) }) == 0U);
  opening.openingFor = 100ms;
  CHECK(ChooseForRead(std::vector{ opening, IdleServer(ZoneDistance::OtherRegion) }) == 1U);
}

// Guards against a server that refuses for its load and is asked again at once, being near and
// fast.
TEST_CASE("A server that refused for its load gives way to farther ones", "[placement]")
{
  ReadCandidate overloaded = IdleServer(ZoneDistance::SameZone);
  overloaded.isOverloaded = true;
  CHECK(ChooseForRead(std::vector{ overloaded, IdleServer(ZoneDistance::OtherRegion) }) == 1U);
}
