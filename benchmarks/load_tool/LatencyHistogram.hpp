#pragma once

#include "oleanderledge/base/base.hpp"

#include <boost/histogram.hpp>

#include <cstdint>

namespace oleanderledge::load {

/// Latencies from 10 us to 100 s in bins that are 2 % wide. Latencies outside this range count as
/// its limits.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(Duration aLatency);

  /// The upper edge, in ms, of the bin in which the quantile lies; 0 if nothing was added.
  /// `aQuantile` is between 0 and 1.
  double QuantileMs(double aQuantile) const;

  std::uint64_t Count() const { return this->count; }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram;
  std::uint64_t count = 0;
};

} // namespace oleanderledge::load
