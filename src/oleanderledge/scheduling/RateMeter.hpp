#pragma once

#include "oleanderledge/base/base.hpp"

#include <array>
#include <cstdint>

namespace oleanderledge {

/// Event rate over a sliding window of one second, divided into buckets.
class RateMeter
{
public:
  void Count(Instant aNow);

  /// Events per second since the first event in the window.
  double PerSecond(Instant aNow) const;

private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr Duration kBucketLength{ 100'000 };

  static std::int64_t BucketNumber(Instant aNow);

  struct Bucket
  {
    std::int64_t number = -1;
    std::uint32_t count = 0;
  };
  std::array<Bucket, kBuckets> buckets{};
};

} // namespace oleanderledge
