#include "oleanderledge/daemon/internal/FailoverLog.hpp"

#include "oleanderledge/report/report.hpp"

#include <chrono>

namespace oleanderledge {

FailoverLog::FailoverLog(InstanceInfo aSelf, const std::string& aPath)
  : self(std::move(aSelf))
{
  if (!aPath.empty()) {
    this->log.open(aPath, std::ios::app);
  }
}

void FailoverLog::Append(const FailoverDurations& aDurations)
{
  if (!this->log.is_open()) {
    return;
  }
  MetricsSample sample;
  sample.time = std::chrono::duration_cast<std::chrono::seconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  sample.instance = this->self.id;
  sample.incarnation = this->self.incarnation;
  sample.failovers.push_back({ aDurations.database,
                               sample.time,
                               aDurations.detectionMs,
                               aDurations.leaseMs,
                               aDurations.promotionMs,
                               aDurations.publicationMs });
  this->log << EncodeSample(sample) << '\n' << std::flush;
}

} // namespace oleanderledge
