#include "oleanderledge/base/LogLimiter.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

std::optional<std::uint64_t> LogLimiter::Admit(LogEvent aEvent, Instant aNow)
{
  Bucket& bucket = this->buckets[aEvent];
  const double seconds = std::chrono::duration<double>(aNow - bucket.filledAt).count();
  bucket.tokens = std::min(kBurst, bucket.tokens + std::max(0.0, seconds) * kPerSecond);
  bucket.filledAt = aNow;
  if (bucket.tokens < 1) {
    ++bucket.leftOut;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.leftOut, 0);
}

} // namespace oleanderledge
