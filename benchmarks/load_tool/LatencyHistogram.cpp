#include "LatencyHistogram.hpp"

namespace oleanderledge::load {

namespace {

constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 100'000;
/// Seven decades in steps of 2 %.
constexpr unsigned kBins = 814;

} // namespace

LatencyHistogram::LatencyHistogram()
  : histogram(boost::histogram::make_histogram(Axis(kBins, kLowestMs, kHighestMs)))
{
}

void LatencyHistogram::Add(Duration aLatency)
{
  this->histogram(static_cast<double>(aLatency.count()) / 1000);
  ++this->count;
}

double LatencyHistogram::QuantileMs(double aQuantile) const
{
  if (this->count == 0) {
    return 0;
  }
  const double wanted = aQuantile * static_cast<double>(this->count);
  // Index -1 is the underflow bin.
  double seen = this->histogram.at(-1);
  if (seen >= wanted) {
    return kLowestMs;
  }
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    seen += this->histogram.at(bin);
    if (seen >= wanted) {
      return this->histogram.axis().bin(bin).upper();
    }
  }
  return kHighestMs;
}

} // namespace oleanderledge::load
