#include "oleanderledge/transport/BackOff.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr Duration kShortest = std::chrono::milliseconds(20);
constexpr Duration kLongest = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxDoublings = 5;

} // namespace

Duration BackOff::Next(std::uint32_t aFailures)
{
  const std::uint32_t doublings = std::min(aFailures == 0 ? 0 : aFailures - 1, kMaxDoublings);
  const Duration step = std::min(kLongest, kShortest * (std::int64_t{ 1 } << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(std::max(kShortest, step / 2).count(),
                                                     step.count());
  return Duration{ jitter(this->random) };
}

} // namespace oleanderledge
