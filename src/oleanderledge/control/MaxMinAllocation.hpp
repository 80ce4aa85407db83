#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace oleanderledge {

/// Divides the connections that one backend server accepts among proxies by max-min fairness:
/// nobody gets more than it asks for while another asks for more than it got, and what nobody asks
/// for is divided equally, as room for growth. The sum never exceeds the limit. With fewer
/// connections than proxies, those with the highest demand get one each.
///
/// Answers the load of callers that are spread unevenly over proxies. Pure.
std::vector<std::uint32_t> AllocateMaxMin(std::uint32_t aLimit,
                                          std::span<const std::uint32_t> aDemands);

} // namespace oleanderledge
