#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace oleanderledge {

/// Allocates the connections that one backend server accepts to proxies, or to zones, by max-min
/// fairness: none gets more than its demand while the demand of another is not met. A demand of 0
/// counts as 1. Connections beyond the total demand are divided equally, as a reserve for growth.
/// The sum never exceeds `aLimit`. With fewer connections than demands, the highest demands get one
/// connection each.
///
/// Needed because callers are spread unevenly over proxies. A pure function. Returns one number per
/// demand, in the same order.
std::vector<std::uint32_t> AllocateMaxMin(std::uint32_t aLimit,
                                          std::span<const std::uint32_t> aDemands);

} // namespace oleanderledge
