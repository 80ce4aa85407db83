#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace oleanderledge {

/// Histogram of latencies with logarithmic buckets from 10 us to 100 s, 20 per factor of ten, and a
/// bucket each for shorter and longer ones. All histograms have the same buckets, so histograms of
/// different instances merge without loss. Not thread-safe.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram& operator=(const LatencyHistogram& aOther);
  LatencyHistogram(LatencyHistogram&& aOther) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&& aOther) noexcept;

  void Record(Duration aLatency);
  void Merge(const LatencyHistogram& aOther);

  /// Number of recorded latencies.
  std::uint64_t Count() const;
  /// Upper bound of the bucket that contains the quantile `aQuantile` (0 to 1), but at most 100 s;
  /// 0 if the histogram is empty.
  Duration Quantile(double aQuantile) const;

  /// Counts of all buckets in ascending order, with underflow first and overflow last.
  std::vector<std::uint64_t> Buckets() const;
  /// Upper bounds of the buckets in the order of Buckets(); the overflow bucket has none.
  static std::vector<Duration> UpperBounds();
  /// Adds counts that Buckets() of another histogram returned. Does nothing if the number of
  /// buckets differs.
  void MergeBuckets(std::span<const std::uint64_t> aCounts);

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace oleanderledge
