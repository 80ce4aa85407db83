#include "oleanderledge/control/MaxMinAllocation.hpp"

#include <algorithm>
#include <numeric>

namespace oleanderledge {

std::vector<std::uint32_t> AllocateMaxMin(std::uint32_t aLimit,
                                          std::span<const std::uint32_t> aDemands)
{
  const auto count = static_cast<std::uint32_t>(aDemands.size());
  std::vector<std::uint32_t> allotted(count, 0);
  std::vector<std::uint32_t> order(count);
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::stable_sort(
    order, {}, [&aDemands](std::uint32_t aIndex) { return aDemands[aIndex]; });
  std::uint32_t left = aLimit;
  if (aLimit < count) {
    for (auto each = order.rbegin(); each != order.rend() && left > 0; ++each) {
      allotted[*each] = 1;
      --left;
    }
    return allotted;
  }
  std::uint32_t waiting = count;
  for (const std::uint32_t index : order) {
    // Each keeps one connection, so that its next statement need not wait for a new allotment.
    const std::uint32_t wanted = std::max(1U, aDemands[index]);
    allotted[index] = std::min(wanted, left / waiting);
    left -= allotted[index];
    --waiting;
  }
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::uint32_t extra = left / (count - index);
    allotted[index] += extra;
    left -= extra;
  }
  return allotted;
}

} // namespace oleanderledge
