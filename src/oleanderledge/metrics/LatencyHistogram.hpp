#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace oleanderledge {

/// Latencies in buckets on a logarithmic scale from 10 us to 100 s, 20 buckets for each factor of
/// ten. All histograms have the same buckets, so histograms of different instances merge exactly.
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

  std::uint64_t Count() const;
  /// Upper bound of the bucket that holds the share `aQuantile` (0 to 1) of the values; 0 if empty.
  Duration Quantile(double aQuantile) const;

  /// Counts of all buckets in ascending order, with underflow first and overflow last.
  std::vector<std::uint64_t> Buckets() const;
  /// Upper bounds of the buckets that Buckets() returns, without the overflow bucket.
  static std::vector<Duration> UpperBounds();
  /// Adds counts that Buckets() of another histogram returned. Ignored if the number differs.
  void MergeBuckets(std::span<const std::uint64_t> aCounts);

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace oleanderledge
