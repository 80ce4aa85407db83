#include "oleanderledge/entry/internal/RetryBudget.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr std::uint64_t kMinRetriesPerWindow = 10;
constexpr std::uint64_t kSuccessesPerRetry = 10;

std::int64_t SecondOf(Instant aNow)
{
  return std::chrono::floor<std::chrono::seconds>(aNow.time_since_epoch()).count();
}

} // namespace

RetryBudget::Bucket& RetryBudget::BucketAt(Instant aNow)
{
  const std::int64_t second = SecondOf(aNow);
  Bucket& bucket = this->window[static_cast<std::size_t>(second) % kWindowSeconds];
  if (bucket.second != second) {
    bucket = Bucket{ second };
  }
  return bucket;
}

void RetryBudget::RecordSuccess(Instant aNow)
{
  ++this->BucketAt(aNow).successes;
}

bool RetryBudget::TryConsume(Instant aNow)
{
  Bucket& current = this->BucketAt(aNow);
  const std::int64_t lastExpiredSecond = SecondOf(aNow) - static_cast<std::int64_t>(kWindowSeconds);
  std::uint64_t successes = 0;
  std::uint64_t retries = 0;
  for (const Bucket& bucket : this->window) {
    if (bucket.second <= lastExpiredSecond) {
      continue;
    }
    successes += bucket.successes;
    retries += bucket.retries;
  }
  if (retries >= std::max(kMinRetriesPerWindow, successes / kSuccessesPerRetry)) {
    return false;
  }
  ++current.retries;
  return true;
}

} // namespace oleanderledge
