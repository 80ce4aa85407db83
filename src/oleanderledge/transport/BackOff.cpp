#include "oleanderledge/transport/BackOff.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr Duration kMinDelay = std::chrono::milliseconds(20);
constexpr Duration kMaxDelay = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxDoublings = 5;

} // namespace

Duration BackOff::Next(std::uint32_t aFailures)
{
  const std::uint32_t doublings = std::min(aFailures == 0 ? 0 : aFailures - 1, kMaxDoublings);
  const Duration delay = std::min(kMaxDelay, kMinDelay * (std::int64_t{ 1 } << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(std::max(kMinDelay, delay / 2).count(),
                                                     delay.count());
  return Duration{ jitter(this->random) };
}

} // namespace oleanderledge
