#pragma once

#include "oleanderledge/base/base.hpp"

#include <array>
#include <cstdint>

namespace oleanderledge {

/// Allows as many retries as 10 % of the successes in a sliding window of 10 s, and at least 10 in
/// the window. The limit prevents retries from multiplying the load on a failing owner.
class RetryBudget
{
public:
  void RecordSuccess(Instant aNow);

  /// Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryConsume(Instant aNow);

private:
  static constexpr std::size_t kWindowSeconds = 10;

  /// Counts of one second.
  struct Bucket
  {
    std::int64_t second = -1; ///< Since the epoch of the monotonic clock; -1 if unused.
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
  };

  /// Bucket of the current second, cleared if it still holds an earlier second.
  Bucket& BucketAt(Instant aNow);

  std::array<Bucket, kWindowSeconds> window;
};

} // namespace oleanderledge
