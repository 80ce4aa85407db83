#include "oleanderledge/control/PositionDistributor.hpp"

#include <tuple>

namespace oleanderledge {

namespace {

/// A proxy gets a sample only if it is newer than the previous one by this time. Limits the traffic
/// between regions; reads accept ages of 1.5 s and more.
constexpr std::int64_t kMinUpdateIntervalUs = 300'000;

} // namespace

void PositionDistributor::Clear()
{
  this->newest.clear();
  this->sent.clear();
}

void PositionDistributor::Add(const std::vector<PositionSample>& aSamples, Instant aNow)
{
  for (const PositionSample& sample : aSamples) {
    if (sample.leaderUs > ToMicroseconds(aNow)) {
      continue;
    }
    PositionSample& known = this->newest[sample.service];
    if (std::tie(sample.position.term, sample.leaderUs) >
        std::tie(known.position.term, known.leaderUs)) {
      known = sample;
    }
  }
}

std::vector<PositionSample> PositionDistributor::TakeUpdatesFor(const std::string& aProxy)
{
  TimeByService& known = this->sent[aProxy];
  std::vector<PositionSample> updates;
  for (const auto& [service, sample] : this->newest) {
    std::int64_t& last = known[service];
    if (sample.leaderUs - last < kMinUpdateIntervalUs) {
      continue;
    }
    last = sample.leaderUs;
    updates.push_back(sample);
  }
  return updates;
}

void PositionDistributor::RemoveProxy(const std::string& aProxy)
{
  this->sent.erase(aProxy);
}

} // namespace oleanderledge
