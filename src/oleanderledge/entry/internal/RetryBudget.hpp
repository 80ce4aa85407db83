#pragma once

#include "oleanderledge/base/base.hpp"

#include <array>
#include <cstdint>

namespace oleanderledge {

/// Limits retries to 10 % of the successes of the last 10 s, but at least 10 retries in that time,
/// so that retries cannot multiply the load of an owner that fails.
class RetryBudget
{
public:
  void RecordSuccess(Instant aNow);

  /// Takes one retry out of the budget; false if it is spent.
  bool TryConsume(Instant aNow);

private:
  static constexpr std::size_t kBuckets = 10;

  struct Bucket
  {
    std::int64_t second = -1;
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
  };

  Bucket& BucketAt(Instant aNow);

  std::array<Bucket, kBuckets> window;
};

} // namespace oleanderledge
