/// Places orders with request ids through proxies and reports the longest gap between
/// confirmations.
#include "benchmarks/order_probe/OrderProbe.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <sstream>

DEFINE_string(targets, "", "comma-separated HOST:PORT of proxies' callers ports");
DEFINE_string(database, "orders-1", "database to place orders in");
DEFINE_string(prefix, "probe", "start of the order numbers, unique for each run");
DEFINE_double(length_s, 8, "time in which orders are placed");
DEFINE_int32(interval_ms, 10, "pause between two orders");
DEFINE_double(give_up_s, 20, "ends the probe after this time without a confirmation");
DEFINE_string(confirmed, "", "file to which confirmed order numbers are appended");

using namespace oleanderledge;

namespace {

std::vector<std::string> SplitTargets(const std::string& aText)
{
  std::vector<std::string> targets;
  std::istringstream list(aText);
  for (std::string target; std::getline(list, target, ',');) {
    targets.push_back(target);
  }
  return targets;
}

Duration FromSeconds(double aSeconds)
{
  return Duration{ static_cast<std::int64_t>(aSeconds * 1e6) };
}

void PrintLine(const char* aName, double aValue, const char* aUnit)
{
  std::printf("%s\t%.1f\t%s\n", aName, aValue, aUnit);
}

} // namespace

int main(int aCount, char** aValues)
{
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  const std::vector<std::string> targets = SplitTargets(FLAGS_targets);
  if (targets.empty()) {
    std::fputs("order_probe: --targets is missing\n", stderr);
    return 2;
  }
  benchmark::OrderProbe probe(targets, FLAGS_database, FLAGS_prefix);
  const benchmark::ProbeResult result = probe.Run(FromSeconds(FLAGS_length_s),
                                                  std::chrono::milliseconds(FLAGS_interval_ms),
                                                  FromSeconds(FLAGS_give_up_s));
  if (!FLAGS_confirmed.empty()) {
    std::ofstream file(FLAGS_confirmed, std::ios::app);
    for (const std::string& order : result.confirmed) {
      file << order << '\n';
    }
  }
  PrintLine("confirmed", static_cast<double>(result.confirmed.size()), "orders");
  PrintLine("longest_gap", static_cast<double>(result.longestGap.count()) / 1e3, "ms");
  PrintLine("resends", static_cast<double>(result.resends), "units");
  PrintLine("refused", static_cast<double>(result.refused), "units");
  PrintLine("unknown", static_cast<double>(result.unknown), "units");
  PrintLine("longest_read", static_cast<double>(result.longestRead.count()) / 1e3, "ms");
  PrintLine("failed_reads", static_cast<double>(result.failedReads), "reads");
  return 0;
}
