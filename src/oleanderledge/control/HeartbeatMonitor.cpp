#include "oleanderledge/control/HeartbeatMonitor.hpp"

#include <algorithm>

namespace oleanderledge {

void HeartbeatMonitor::Reset(Instant aNow)
{
  this->observingSince = aNow;
  this->views.clear();
  this->idByAddress.clear();
  this->displaced.clear();
}

IncarnationVerdict HeartbeatMonitor::Observe(const Heartbeat& aHeartbeat, Instant aNow)
{
  const InstanceInfo& instance = aHeartbeat.instance;
  InstanceView& view = this->views[instance.id];
  const IncarnationVerdict verdict =
    view.incarnations.Observe(instance.incarnation, aHeartbeat.sequence);
  if (!IsAccepted(verdict)) {
    return verdict;
  }
  // An address that the process does not use any more is not remembered.
  const auto earlier = this->idByAddress.find(view.last.instance.linkAddress);
  if (earlier != this->idByAddress.end() && earlier->second == instance.id &&
      earlier->first != instance.linkAddress) {
    this->idByAddress.erase(earlier);
  }
  view.last = aHeartbeat;
  view.lastHeartbeatAt = aNow;
  std::string& holder = this->idByAddress[instance.linkAddress];
  if (!holder.empty() && holder != instance.id) {
    const auto previous = this->views.find(holder);
    if (previous != this->views.end()) {
      this->displaced[holder] = previous->second.incarnations.Current();
    }
  }
  holder = instance.id;
  return verdict;
}

void HeartbeatMonitor::Forget(std::string_view aId)
{
  if (const auto found = this->views.find(aId); found != this->views.end()) {
    std::erase_if(this->idByAddress, [aId](const auto& aEntry) { return aEntry.second == aId; });
    this->views.erase(found);
  }
  if (const auto found = this->displaced.find(aId); found != this->displaced.end()) {
    this->displaced.erase(found);
  }
}

InstanceHealth HeartbeatMonitor::HealthOf(std::string_view aId,
                                          std::uint64_t aIncarnation,
                                          Instant aNow) const
{
  const InstanceView* view = this->Find(aId);
  if (view == nullptr) {
    return aNow - this->observingSince >= this->timings.proxyDeadAfter ? InstanceHealth::Dead
                                                                       : InstanceHealth::Unknown;
  }
  const auto taken = this->displaced.find(aId);
  const bool isDisplaced = taken != this->displaced.end() && taken->second == aIncarnation;
  if (view->incarnations.Current() != aIncarnation || isDisplaced ||
      aNow - view->lastHeartbeatAt >= this->timings.proxyDeadAfter) {
    return InstanceHealth::Dead;
  }
  return view->last.instance.leaving ? InstanceHealth::Leaving : InstanceHealth::Alive;
}

const InstanceView* HeartbeatMonitor::Find(std::string_view aId) const
{
  const auto found = this->views.find(aId);
  return found == this->views.end() ? nullptr : &found->second;
}

const OwnerReport* HeartbeatMonitor::FindReport(std::string_view aId,
                                                std::uint64_t aIncarnation,
                                                std::string_view aDatabase,
                                                std::uint64_t aEpoch) const
{
  const InstanceView* view = this->Find(aId);
  if (view == nullptr || view->last.instance.incarnation != aIncarnation) {
    return nullptr;
  }
  const auto& reports = view->last.owned;
  const auto found = std::ranges::find_if(reports, [&](const OwnerReport& aReport) {
    return aReport.database == aDatabase && aReport.epoch == aEpoch;
  });
  return found == reports.end() ? nullptr : &*found;
}

} // namespace oleanderledge
