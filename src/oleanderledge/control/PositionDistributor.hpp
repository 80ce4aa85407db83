#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/PositionSample.hpp"

#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Distributes the newest positions of primaries, which proxies report to the leader, to all
/// proxies. Kept in memory only: a new leader starts empty, because samples carry the time of the
/// leader's clock. Performs no I/O.
///
/// Needed where many proxies each see few answers of a primary: without recent positions they would
/// have to send reads to the primary.
class PositionDistributor
{
public:
  void Clear();
  /// Adds the samples of a proxy. Samples that are later than `aNow` are ignored.
  void Add(const std::vector<PositionSample>& aSamples, Instant aNow);
  /// Samples that are newer than those last returned for the proxy by at least 300 ms. Marks them
  /// as sent.
  std::vector<PositionSample> TakeUpdatesFor(const std::string& aProxy);
  /// Discards the record of the samples that were sent to a proxy that is lost. If it returns, it
  /// gets all samples again.
  void RemoveProxy(const std::string& aProxy);

private:
  /// Time of the leader in microseconds.
  using TimeByService = std::map<std::string, std::int64_t, std::less<>>;

  std::map<std::string, PositionSample, std::less<>> newest; ///< By service.
  std::map<std::string, TimeByService, std::less<>> sent;    ///< By proxy.
};

} // namespace oleanderledge
