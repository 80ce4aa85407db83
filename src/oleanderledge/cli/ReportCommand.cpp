#include "oleanderledge/cli/Commands.hpp"
#include "oleanderledge/cli/internal/CommandLine.hpp"
#include "oleanderledge/report/report.hpp"

#include <cstdio>
#include <fstream>

namespace oleanderledge {

namespace {

/// Appends the samples of a file; returns false if it cannot be opened. Damaged lines are skipped
/// and counted: the last line of a log is truncated when its daemon is killed.
bool ReadSamples(const std::string& aPath,
                 std::vector<MetricsSample>& aSamples,
                 std::size_t& aDamaged)
{
  std::ifstream file(aPath);
  if (!file) {
    return false;
  }
  for (std::string line; std::getline(file, line);) {
    auto sample = DecodeSample(line);
    if (!sample) {
      ++aDamaged;
      continue;
    }
    aSamples.push_back(std::move(sample.value()));
  }
  return true;
}

} // namespace

ExitCode RunReport(Arguments aArguments)
{
  if (aArguments.empty()) {
    return ReportFailure(
      ExitCode::Usage, "report needs metrics logs", "See oleanderledge report --help.");
  }
  std::vector<MetricsSample> samples;
  std::size_t damaged = 0;
  for (const std::string& path : aArguments) {
    if (!ReadSamples(path, samples, damaged)) {
      return ReportFailure(ExitCode::Usage,
                           path + " cannot be read",
                           "Give files that daemons wrote with --metrics_log.");
    }
  }
  const BurnSummary summary = CalculateBurn(samples);
  std::fputs(FormatTextReport(summary).c_str(), stdout);
  if (damaged > 0) {
    std::fprintf(stderr, "oleanderledge: %zu damaged lines were left out\n", damaged);
  }
  if (!FLAGS_html.empty()) {
    std::ofstream page(FLAGS_html, std::ios::trunc);
    page << FormatHtmlReport(summary);
    if (!page.flush()) {
      return ReportFailure(ExitCode::Failed, FLAGS_html + " cannot be written", "");
    }
  }
  return ExitCode::Ok;
}

} // namespace oleanderledge
