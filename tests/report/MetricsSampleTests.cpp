#include "oleanderledge/report/report.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

TEST_CASE("A sample is unchanged after encoding and decoding")
{
  MetricsSample sample;
  sample.time = 5;
  sample.instance = "control-1";
  sample.incarnation = 0xFFFF'FFFF'FFFF'FFFFU;
  sample.classes["lookups"] = { 500, 10, 9, 1 };
  sample.refusals[1101] = 3;
  sample.replicaReads = 95;
  sample.failovers = { { "orders-1", 4, 600, 20, 30, 5 } };
  const auto decoded = DecodeSample(EncodeSample(sample));
  REQUIRE(decoded);
  CHECK(decoded.value().incarnation == sample.incarnation);
  CHECK(decoded.value().classes.at("lookups").servedInTarget == 9);
  CHECK(decoded.value().refusals.at(1101) == 3);
  CHECK(decoded.value().failovers.at(0).GapMs() == 655);
}

// Guards against a crash of the report on a metrics log that ends in the middle of a line.
TEST_CASE("Damaged lines are refused without a crash")
{
  CHECK_FALSE(DecodeSample("{\"time\": 5, \"inst"));
  rc::prop("random lines", [](const std::string& aLine) { (void)DecodeSample(aLine); });
}
