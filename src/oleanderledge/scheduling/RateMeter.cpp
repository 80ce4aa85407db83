#include "oleanderledge/scheduling/RateMeter.hpp"

#include <algorithm>

namespace oleanderledge {

std::int64_t RateMeter::BucketNumber(Instant aNow)
{
  return aNow.time_since_epoch() / kBucketLength;
}

void RateMeter::Count(Instant aNow)
{
  const std::int64_t number = BucketNumber(aNow);
  Bucket& bucket = this->buckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = { number, 0 };
  }
  ++bucket.count;
}

double RateMeter::PerSecond(Instant aNow) const
{
  const std::int64_t current = BucketNumber(aNow);
  std::uint64_t total = 0;
  std::int64_t oldest = current;
  for (const Bucket& bucket : this->buckets) {
    if (bucket.number <= current - static_cast<std::int64_t>(kBuckets) || bucket.number > current) {
      continue;
    }
    total += bucket.count;
    oldest = std::min(oldest, bucket.number);
  }
  const Duration elapsed = aNow.time_since_epoch() - oldest * kBucketLength;
  const double seconds = static_cast<double>(std::max(elapsed, kBucketLength).count()) / 1e6;
  return static_cast<double>(total) / seconds;
}

} // namespace oleanderledge
