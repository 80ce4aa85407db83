#include "oleanderledge/metrics/LatencyHistogram.hpp"

#include <boost/histogram.hpp>

#include <cmath>

namespace oleanderledge {

namespace {

namespace bh = boost::histogram;

constexpr double kMinLatencyUs = 10.0;
constexpr double kMaxLatencyUs = 100e6;
constexpr unsigned kBucketCount = 140;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<std::uint64_t>;

Axis MakeAxis()
{
  return { kBucketCount, kMinLatencyUs, kMaxLatencyUs };
}

} // namespace

struct LatencyHistogram::Implementation
{
  bh::histogram<std::tuple<Axis>, Storage> histogram =
    bh::make_histogram_with(Storage(), MakeAxis());
};

LatencyHistogram::LatencyHistogram()
  : implementation(std::make_unique<Implementation>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&& aOther) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&& aOther) noexcept = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram& aOther)
  : implementation(std::make_unique<Implementation>(*aOther.implementation))
{
}

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& aOther)
{
  *this->implementation = *aOther.implementation;
  return *this;
}

void LatencyHistogram::Record(Duration aLatency)
{
  this->implementation->histogram(static_cast<double>(aLatency.count()));
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  this->implementation->histogram += aOther.implementation->histogram;
}

std::vector<std::uint64_t> LatencyHistogram::Buckets() const
{
  std::vector<std::uint64_t> counts;
  for (const auto& cell : bh::indexed(this->implementation->histogram, bh::coverage::all)) {
    counts.push_back(*cell);
  }
  return counts;
}

std::vector<Duration> LatencyHistogram::UpperBounds()
{
  const Axis axis = MakeAxis();
  std::vector<Duration> bounds;
  for (int bucket = 0; bucket <= axis.size(); ++bucket) {
    bounds.emplace_back(std::llround(axis.value(bucket)));
  }
  return bounds;
}

void LatencyHistogram::MergeBuckets(std::span<const std::uint64_t> aCounts)
{
  if (aCounts.size() != kBucketCount + 2) {
    return;
  }
  for (unsigned bucket = 0; bucket < aCounts.size(); ++bucket) {
    this->implementation->histogram.at(static_cast<int>(bucket) - 1) += aCounts[bucket];
  }
}

std::uint64_t LatencyHistogram::Count() const
{
  std::uint64_t total = 0;
  for (const std::uint64_t count : this->Buckets()) {
    total += count;
  }
  return total;
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  const std::vector<std::uint64_t> counts = this->Buckets();
  const auto total = static_cast<double>(this->Count());
  if (total == 0.0) {
    return Duration{ 0 };
  }
  const std::vector<Duration> bounds = UpperBounds();
  double cumulative = 0.0;
  for (std::size_t bucket = 0; bucket < bounds.size(); ++bucket) {
    cumulative += static_cast<double>(counts[bucket]);
    if (cumulative >= aQuantile * total) {
      return bounds[bucket];
    }
  }
  return bounds.back();
}

} // namespace oleanderledge
