#include "oleanderledge/control/MaxMinAllocation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>

using namespace oleanderledge;

namespace {

std::uint32_t SumOf(const std::vector<std::uint32_t>& aValues)
{
  return std::accumulate(aValues.begin(), aValues.end(), 0U);
}

} // namespace

TEST_CASE("A proxy with more callers gets the connections that others do not need", "[max-min]")
{
  CHECK(AllocateMaxMin(23, std::vector<std::uint32_t>{ 1, 1, 1, 1, 1, 1, 1, 15 }) ==
        std::vector<std::uint32_t>{ 1, 1, 1, 1, 1, 1, 1, 16 });
}

// Guards against a proxy that takes connections which others need as much.
TEST_CASE("Proxies with equal demand beyond the limit get equal shares", "[max-min]")
{
  CHECK(AllocateMaxMin(24, std::vector<std::uint32_t>{ 90, 90, 90 }) ==
        std::vector<std::uint32_t>{ 8, 8, 8 });
}

TEST_CASE("With fewer connections than proxies the busiest get one each", "[max-min]")
{
  CHECK(AllocateMaxMin(2, std::vector<std::uint32_t>{ 0, 3, 1 }) ==
        std::vector<std::uint32_t>{ 0, 1, 1 });
}

TEST_CASE("Allocations use the whole limit and are max-min fair", "[max-min]")
{
  rc::prop("for any limit and demands", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 90);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 200);
    const auto demands = *rc::gen::container<std::vector<std::uint32_t>>(
      count, rc::gen::inRange<std::uint32_t>(0, 60));
    const auto allocated = AllocateMaxMin(limit, demands);
    RC_ASSERT(allocated.size() == count);
    RC_ASSERT(SumOf(allocated) <= limit);
    if (limit < count) {
      return;
    }
    RC_ASSERT(SumOf(allocated) == limit);
    for (std::size_t index = 0; index < count; ++index) {
      RC_ASSERT(allocated[index] >= 1);
      if (allocated[index] >= demands[index]) {
        continue;
      }
      // A proxy whose demand is not met gets no less than any other, except for rounding.
      RC_ASSERT(allocated[index] + 1 >= std::ranges::max(allocated));
    }
  });
}
