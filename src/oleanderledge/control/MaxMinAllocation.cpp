#include "oleanderledge/control/MaxMinAllocation.hpp"

#include <algorithm>
#include <numeric>

namespace oleanderledge {

std::vector<std::uint32_t> AllocateMaxMin(std::uint32_t aLimit,
                                          std::span<const std::uint32_t> aDemands)
{
  const auto count = static_cast<std::uint32_t>(aDemands.size());
  std::vector<std::uint32_t> allocated(count, 0);
  std::vector<std::uint32_t> order(count);
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::stable_sort(
    order, {}, [&aDemands](std::uint32_t aIndex) { return aDemands[aIndex]; });
  std::uint32_t remaining = aLimit;
  if (aLimit < count) {
    for (auto each = order.rbegin(); each != order.rend() && remaining > 0; ++each) {
      allocated[*each] = 1;
      --remaining;
    }
    return allocated;
  }
  std::uint32_t unassigned = count;
  for (const std::uint32_t index : order) {
    // Each proxy gets at least one connection, so that its next statement need not wait for the
    // next allocation.
    const std::uint32_t wanted = std::max(1U, aDemands[index]);
    allocated[index] = std::min(wanted, remaining / unassigned);
    remaining -= allocated[index];
    --unassigned;
  }
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::uint32_t share = remaining / (count - index);
    allocated[index] += share;
    remaining -= share;
  }
  return allocated;
}

} // namespace oleanderledge
