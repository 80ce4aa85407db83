#include "oleanderledge/metrics/metrics.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

// An unescaped quote in one label makes the scraper reject the whole page.
TEST_CASE("Label values are escaped in the Prometheus text")
{
  MetricsRegistry registry;
  registry.SetCounter("ol_units_total", { { "class", "a\"b\\c\nd" } }, 3);
  CHECK(registry.ToPrometheusText() ==
        "# TYPE ol_units_total counter\nol_units_total{class=\"a\\\"b\\\\c\\nd\"} 3\n");
}

TEST_CASE("A histogram is exported with cumulative buckets in seconds")
{
  LatencyHistogram histogram;
  histogram.Record(std::chrono::milliseconds(5));
  MetricsRegistry registry;
  registry.SetHistogram("ol_latency_seconds", {}, histogram);
  const std::string text = registry.ToPrometheusText();
  CHECK(text.find("ol_latency_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
  CHECK(text.find("ol_latency_seconds_bucket{le=\"0.001\"} 0\n") != std::string::npos);
  CHECK(text.find("ol_latency_seconds_count 1\n") != std::string::npos);
}
