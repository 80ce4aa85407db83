#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/PositionSample.hpp"

#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// The newest positions of primaries that proxies reported to the leader, passed on to all proxies.
/// Pure. Volatile: a new leader starts empty, as its clock is another one.
///
/// Answers the load of many proxies that each see few answers of a primary: without recent
/// positions their reads would go to the primary.
class PositionDistributor
{
public:
  void Clear();
  /// Takes the samples of a proxy. Those from the future of this leader's clock are ignored.
  void Add(const std::vector<PositionSample>& aSamples, Instant aNow);
  /// Samples that are well newer than what was last returned for the proxy.
  std::vector<PositionSample> TakeUpdatesFor(const std::string& aProxy);
  void RemoveProxy(const std::string& aProxy);

private:
  using TimeByService = std::map<std::string, std::int64_t, std::less<>>;

  std::map<std::string, PositionSample, std::less<>> newest; ///< By service.
  std::map<std::string, TimeByService, std::less<>> sent;    ///< By proxy.
};

} // namespace oleanderledge
