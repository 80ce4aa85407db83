#include "oleanderledge/report/report.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;

namespace {

constexpr std::int64_t kNow = 1'000'000;

MetricsSample SampleAt(std::int64_t aTime, std::uint64_t aServed, std::uint64_t aInTarget)
{
  MetricsSample sample;
  sample.time = aTime;
  sample.instance = "mora-entry-1";
  sample.incarnation = 1;
  sample.classes["bookings"] = { 50, aServed, aInTarget, 0 };
  return sample;
}

} // namespace

TEST_CASE("Each window counts only requests within it")
{
  const std::vector<MetricsSample> samples = { SampleAt(kNow - 7200, 100, 50),
                                               SampleAt(kNow, 200, 149) };
  const BurnSummary summary = CalculateBurn(samples);
  const ClassBurn& burn = summary.classes.at("bookings");
  CHECK(burn.windows[0].served == 100);
  CHECK(burn.windows[0].Burn() == Approx(1.0));
  CHECK(burn.windows[1].served == 200);
  CHECK(burn.windows[1].Burn() == Approx(25.5));
}

// Guards against a counter reset at a restart that adds millions of requests (underflow) or hides
// all requests since the restart.
TEST_CASE("A restarted instance counts from zero")
{
  MetricsSample restarted = SampleAt(kNow, 300, 300);
  restarted.incarnation = 2;
  const std::vector<MetricsSample> samples = { SampleAt(kNow - 60, 200, 200), restarted };
  CHECK(CalculateBurn(samples).classes.at("bookings").windows[0].served == 500);
}

TEST_CASE("Refused requests spend the error budget")
{
  MetricsSample sample = SampleAt(kNow, 99, 99);
  sample.classes["bookings"].refused = 1;
  const std::vector<MetricsSample> samples = { sample };
  CHECK(CalculateBurn(samples).classes.at("bookings").windows[0].Burn() == Approx(1.0));
}

// Guards against class names that inject markup into the page.
TEST_CASE("Names are escaped in the HTML report")
{
  MetricsSample sample = SampleAt(kNow, 1, 1);
  sample.classes["<b>"] = { 50, 1, 1, 0 };
  const std::vector<MetricsSample> samples = { sample };
  const std::string html = FormatHtmlReport(CalculateBurn(samples));
  CHECK(html.find("<b>") == std::string::npos);
  CHECK(html.find("&lt;b&gt;") != std::string::npos);
}
