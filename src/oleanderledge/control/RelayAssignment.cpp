#include "oleanderledge/control/RelayAssignment.hpp"

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/control/MaxMinAllocation.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace oleanderledge {

namespace {

/// Number of connections from which a zone gets two relays, so that it keeps some connections if
/// one relay is lost.
constexpr std::uint32_t kMinConnectionsForTwoRelays = 4;
/// Connections added to the demand of each zone, so that not every increase of the demand causes a
/// new allocation.
constexpr std::uint32_t kGrowthHeadroom = 2;

struct ZoneDemand
{
  std::uint32_t demand = 0;
  std::vector<const RelayCandidate*> candidates;
};

using ZoneDemands = std::map<std::string, ZoneDemand, std::less<>>;

/// Order of equal candidates: spreads the relays of several backend servers over the proxies, in
/// the same way at each leader.
std::size_t TieBreakHash(std::string_view aBackend, std::string_view aId)
{
  return std::hash<std::string>{}(std::string(aBackend) + "/" + std::string(aId));
}

bool IsPlanValid(const RelayPlan& aPlan, const ZoneDemands& aViews, std::uint32_t aLimit)
{
  std::uint32_t total = 0;
  for (const auto& [name, zone] : aPlan.zones) {
    const auto view = aViews.find(name);
    if (view == aViews.end()) {
      return false;
    }
    // A zone without connections uses the relays of other zones, so its demand does not count.
    if (zone.connections > 0 && view->second.demand > zone.connections) {
      return false;
    }
    total += zone.connections;
  }
  return total == aLimit && aPlan.zones.size() == aViews.size();
}

std::vector<std::string> ChooseRelays(std::string_view aBackend,
                                      std::uint32_t aConnections,
                                      const ZoneDemand& aView,
                                      const std::vector<std::string>& aPrevious)
{
  const std::size_t wanted = std::min<std::size_t>(
    aConnections >= kMinConnectionsForTwoRelays ? 2 : std::min(aConnections, 1U),
    aView.candidates.size());
  std::vector<const RelayCandidate*> ranked = aView.candidates;
  const auto rank = [aBackend, &aPrevious](const RelayCandidate* aEach) {
    const bool isKept = std::ranges::find(aPrevious, aEach->id) != aPrevious.end();
    return std::tuple(
      !isKept, isKept ? 0 : aEach->relayedBackends, TieBreakHash(aBackend, aEach->id));
  };
  std::ranges::sort(ranked, {}, rank);
  std::vector<std::string> chosen;
  for (std::size_t index = 0; index < wanted; ++index) {
    chosen.emplace_back(ranked[index]->id);
  }
  return chosen;
}

} // namespace

std::uint32_t RelayPlan::ConnectionsOf(std::string_view aId, std::string_view aZone) const
{
  const auto found = this->zones.find(aZone);
  if (found == this->zones.end()) {
    return 0;
  }
  const Zone& zone = found->second;
  const auto position = std::ranges::find(zone.relays, aId);
  if (position == zone.relays.end()) {
    return 0;
  }
  const auto count = static_cast<std::uint32_t>(zone.relays.size());
  const auto index = static_cast<std::uint32_t>(position - zone.relays.begin());
  return zone.connections / count + (index < zone.connections % count ? 1 : 0);
}

const std::vector<std::string>& RelayPlan::RelaysFor(std::string_view aZone) const
{
  static const std::vector<std::string> kNone;
  const Zone* nearest = nullptr;
  ZoneDistance distance = ZoneDistance::OtherRegion;
  for (const auto& [name, zone] : this->zones) {
    const ZoneDistance each = DistanceBetween(name, aZone);
    if (!zone.relays.empty() && (nearest == nullptr || each < distance)) {
      nearest = &zone;
      distance = each;
    }
  }
  return nearest == nullptr ? kNone : nearest->relays;
}

RelayPlan AssignRelays(std::string_view aBackend,
                       std::uint32_t aLimit,
                       std::span<const RelayCandidate> aCandidates,
                       const RelayPlan& aPrevious)
{
  ZoneDemands views;
  for (const RelayCandidate& candidate : aCandidates) {
    ZoneDemand& view = views[std::string(candidate.zone)];
    view.demand += candidate.demand;
    view.candidates.push_back(&candidate);
  }
  RelayPlan plan;
  std::vector<std::uint32_t> shares;
  const bool isKept = IsPlanValid(aPrevious, views, aLimit);
  if (!isKept) {
    std::vector<std::uint32_t> demands;
    for (const auto& [name, view] : views) {
      demands.push_back(view.demand + kGrowthHeadroom);
    }
    shares = AllocateMaxMin(aLimit, demands);
  }
  std::size_t index = 0;
  for (const auto& [name, view] : views) {
    const auto previous = aPrevious.zones.find(name);
    const bool isKnown = previous != aPrevious.zones.end();
    RelayPlan::Zone& zone = plan.zones[name];
    zone.connections = isKept ? previous->second.connections : shares[index++];
    zone.relays = ChooseRelays(aBackend,
                               zone.connections,
                               view,
                               isKnown ? previous->second.relays : std::vector<std::string>{});
  }
  return plan;
}

} // namespace oleanderledge
