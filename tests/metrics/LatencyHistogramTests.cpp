#include "oleanderledge/metrics/metrics.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

// Quantiles of a fleet are computed from merged histograms. They must not depend on which instance
// served a request.
TEST_CASE("Histograms of two instances merge without loss")
{
  rc::prop("merged counts equal one histogram of all values",
           [](const std::vector<std::uint32_t>& aLeft, const std::vector<std::uint32_t>& aRight) {
             LatencyHistogram left;
             LatencyHistogram right;
             LatencyHistogram all;
             for (const std::uint32_t value : aLeft) {
               left.Record(Duration{ value });
               all.Record(Duration{ value });
             }
             for (const std::uint32_t value : aRight) {
               right.Record(Duration{ value });
               all.Record(Duration{ value });
             }
             LatencyHistogram decoded = left;
             decoded.MergeBuckets(right.Buckets());
             left.Merge(right);
             RC_ASSERT(left.Buckets() == all.Buckets());
             RC_ASSERT(decoded.Buckets() == all.Buckets());
           });
}

TEST_CASE("A quantile is at most one bucket above the value")
{
  LatencyHistogram histogram;
  for (int millisecond = 1; millisecond <= 100; ++millisecond) {
    histogram.Record(std::chrono::milliseconds(millisecond));
  }
  const Duration median = histogram.Quantile(0.5);
  CHECK(median >= std::chrono::milliseconds(50));
  CHECK(median <= std::chrono::milliseconds(57));
  CHECK(LatencyHistogram().Quantile(0.5) == Duration{ 0 });
}
