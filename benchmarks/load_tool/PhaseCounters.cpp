#include "PhaseCounters.hpp"

#include <cstdio>

namespace oleanderledge::load {

namespace {

void PrintLine(const std::string& aName, double aValue, const char* aUnit)
{
  std::printf("%s\t%.4g\t%s\n", aName.c_str(), aValue, aUnit);
}

} // namespace

void PhaseCounters::Print(const std::string& aPrefix, double aSeconds) const
{
  if (aSeconds <= 0) {
    return;
  }
  const auto perSecond = [&](std::uint64_t aCount) {
    return static_cast<double>(aCount) / aSeconds;
  };
  PrintLine(aPrefix + ".offered", perSecond(this->offered), "1/s");
  PrintLine(aPrefix + ".in_target",
            this->offered == 0
              ? 0
              : 100 * static_cast<double>(this->inTarget) / static_cast<double>(this->offered),
            "%");
  PrintLine(aPrefix + ".goodput", perSecond(this->inTarget), "1/s");
  PrintLine(aPrefix + ".served", perSecond(this->served), "1/s");
  PrintLine(aPrefix + ".p50", this->latency.QuantileMs(0.5), "ms");
  PrintLine(aPrefix + ".p99", this->latency.QuantileMs(0.99), "ms");
  const std::string refused = aPrefix + ".refused.";
  for (const auto& [sqlstate, count] : this->refusals) {
    PrintLine(refused + sqlstate, static_cast<double>(count), "requests");
  }
}

} // namespace oleanderledge::load
