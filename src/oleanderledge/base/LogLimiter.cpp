#include "oleanderledge/base/LogLimiter.hpp"

#include <algorithm>
#include <utility>

namespace oleanderledge {

std::optional<std::uint64_t> LogLimiter::Admit(LogEvent aEvent, Instant aNow)
{
  TokenBucket& bucket = this->buckets[aEvent];
  const double seconds = std::chrono::duration<double>(aNow - bucket.refilledAt).count();
  bucket.tokens = std::min(kBurstLines, bucket.tokens + std::max(0.0, seconds) * kLinesPerSecond);
  bucket.refilledAt = aNow;
  if (bucket.tokens < 1) {
    ++bucket.droppedLines;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.droppedLines, 0);
}

} // namespace oleanderledge
