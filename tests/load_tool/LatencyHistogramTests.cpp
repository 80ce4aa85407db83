#include "benchmarks/load_tool/LatencyHistogram.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace oleanderledge::load;

TEST_CASE("Quantiles are accurate to the width of a bin")
{
  LatencyHistogram histogram;
  CHECK(histogram.QuantileMs(0.5) == 0);
  for (int ms = 1; ms <= 1000; ++ms) {
    histogram.Add(std::chrono::milliseconds(ms));
  }
  CHECK(histogram.Count() == 1000);
  CHECK(histogram.QuantileMs(0.5) == Approx(500).epsilon(0.021));
  CHECK(histogram.QuantileMs(0.99) == Approx(990).epsilon(0.021));
}

TEST_CASE("Latencies outside the range count in the outermost bins")
{
  LatencyHistogram histogram;
  histogram.Add(Duration{ 1 });
  histogram.Add(std::chrono::seconds(1000));
  CHECK(histogram.QuantileMs(0.5) == 0.01);
  CHECK(histogram.QuantileMs(1) == 100'000);
}
