#include "oleanderledge/report/TextReport.hpp"

#include <cstdio>

namespace oleanderledge {

namespace {

template<class... Arguments>
std::string Format(const char* aFormat, Arguments... aArguments)
{
  char line[256];
  std::snprintf(line, sizeof line, aFormat, aArguments...);
  return line;
}

std::string FormatClass(const std::string& aName, const ClassBurn& aBurn)
{
  std::string text = Format("%-20s %9s", aName.c_str(), FormatMilliseconds(aBurn.targetMs).c_str());
  text += Format(" %10s", FormatShare(aBurn.windows.back().ShareInTarget()).c_str());
  for (const WindowCounts& window : aBurn.windows) {
    text += Format(" %8.2f", window.Burn());
  }
  return text + "\n";
}

std::string FormatFailovers(const BurnSummary& aSummary)
{
  std::string text =
    Format("\nFailovers: %zu\n", static_cast<std::size_t>(aSummary.failovers.size()));
  for (const FailoverRecord& record : aSummary.failovers) {
    text += Format("  %-20s gap %lld ms (detection %lld, lease %lld, promotion %lld, "
                   "publication %lld)\n",
                   record.database.c_str(),
                   static_cast<long long>(record.GapMs()),
                   static_cast<long long>(record.detectMs),
                   static_cast<long long>(record.leaseMs),
                   static_cast<long long>(record.promoteMs),
                   static_cast<long long>(record.publishMs));
  }
  return text;
}

} // namespace

std::string FormatMilliseconds(std::int64_t aMilliseconds)
{
  const bool wholeSeconds = aMilliseconds >= 1000 && aMilliseconds % 1000 == 0;
  return wholeSeconds ? std::to_string(aMilliseconds / 1000) + " s"
                      : std::to_string(aMilliseconds) + " ms";
}

std::string FormatShare(double aShare)
{
  return Format("%.2f%%", aShare * 100.0);
}

std::string FormatTextReport(const BurnSummary& aSummary)
{
  std::string text = Format("Service levels of %zu instances, objective %s in target\n\n",
                            aSummary.instances,
                            FormatShare(kServiceObjective).c_str());
  text += Format("%-20s %9s %10s", "CLASS", "TARGET", "IN TARGET");
  for (const BurnWindow& window : kBurnWindows) {
    text += Format(" %8s", (std::string("BURN ") + window.name).c_str());
  }
  text += "\n";
  for (const auto& [name, burn] : aSummary.classes) {
    text += FormatClass(name, burn);
  }
  const std::uint64_t reads = aSummary.replicaReads + aSummary.primaryReads;
  const double share =
    reads == 0 ? 0.0 : static_cast<double>(aSummary.replicaReads) / static_cast<double>(reads);
  text += Format("\nReads on replicas: %s of %llu\n",
                 FormatShare(share).c_str(),
                 static_cast<unsigned long long>(reads));
  text += "\nRefusals\n";
  for (const auto& [code, count] : aSummary.refusals) {
    const auto& info = InfoOf(static_cast<ResultCode>(code));
    text += Format("  %u %-28s %llu\n",
                   static_cast<unsigned>(code),
                   std::string(info.name).c_str(),
                   static_cast<unsigned long long>(count));
  }
  return text + FormatFailovers(aSummary);
}

} // namespace oleanderledge
