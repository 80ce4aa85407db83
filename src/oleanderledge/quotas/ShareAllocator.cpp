#include "oleanderledge/quotas/ShareAllocator.hpp"

#include "oleanderledge/quotas/QuotaTimings.hpp"
#include "oleanderledge/quotas/ShareLedger.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderledge {

namespace {

/// Part of a rate that is given out as shares. The rest, 1.12 times what an organisation sends at
/// 1/1.6 of its limit, is enough if the shares are at proxies that don't need them.
constexpr double kSharedRatePart = 0.3;
/// Part of a burst that is given out as shares. They have to last for 1 s without a leader.
constexpr double kSharedBurstPart = 0.4;
/// Burst tokens of shares beyond that part, so that a small burst gives some proxies a share.
constexpr std::uint32_t kExtraBurst = 8;
/// Interval at which the shares of a proxy are computed.
constexpr Duration kAllocationInterval = std::chrono::seconds(1);
/// Time constant of the smoothed demand. A proxy serves a small organisation once in some seconds.
constexpr std::chrono::duration<double> kDemandTime = std::chrono::seconds(10);
/// A share is changed if it differs from the computed one by more than this part.
constexpr double kLeastChange = 0.25;
/// Demand below this counts as none: one operation in 100 s.
constexpr double kLeastDemand = 0.01;
/// Added to the validity of shares, as the clocks of instances may run at slightly different rates.
constexpr Duration kClockMargin = std::chrono::milliseconds(100);
constexpr Duration kSilentCheckInterval = std::chrono::milliseconds(100);

std::uint32_t SharedBurst(const OperationRate& aLimit)
{
  return static_cast<std::uint32_t>(kSharedBurstPart * aLimit.burst) + kExtraBurst;
}

OperationRate Larger(const OperationRate& aOne, const OperationRate& aOther)
{
  return { true,
           std::max(aOne.perKilosecond, aOther.perKilosecond),
           std::max(aOne.burst, aOther.burst) };
}

bool IsNear(double aOne, double aOther)
{
  return std::abs(aOne - aOther) <= kLeastChange * aOther;
}

} // namespace

void ShareAllocator::OnLeadershipGained(std::uint64_t aTerm, Instant aNow)
{
  this->proxies.clear();
  this->totals.clear();
  this->term = aTerm;
  this->lastCount = 0;
  this->leaderSince = aNow;
}

std::vector<QuotaShare> ShareAllocator::OnHeartbeat(const Heartbeat& aHeartbeat,
                                                    const OrganisationMap& aOrganisations,
                                                    Instant aNow)
{
  this->RemoveSilent(aNow);
  Proxy& proxy = this->proxies[{ aHeartbeat.instance.id, aHeartbeat.instance.incarnation }];
  proxy.heardAt = aNow;
  for (const OperationCount& count : aHeartbeat.operationCounts) {
    proxy.counts[count.organisation] += count.operations;
  }
  this->Confirm(proxy, aHeartbeat.quotaNumber);
  if (aNow - proxy.allocatedAt >= kAllocationInterval) {
    this->Allocate(proxy, aOrganisations, aNow);
  }
  std::vector<QuotaShare> changed;
  for (const auto& [organisation, holding] : proxy.holdings) {
    if (holding.granted.number > aHeartbeat.quotaNumber) {
      changed.push_back(holding.granted);
    }
  }
  return changed;
}

void ShareAllocator::Confirm(Proxy& aProxy, std::uint64_t aNumber)
{
  for (auto& [organisation, holding] : aProxy.holdings) {
    if (holding.isConfirmed || holding.granted.number > aNumber) {
      continue;
    }
    this->AddToTotal(organisation, holding, -1);
    holding.held = holding.granted.rate;
    holding.isConfirmed = true;
    this->AddToTotal(organisation, holding, 1);
  }
}

void ShareAllocator::AddToTotal(const std::string& aOrganisation,
                                const Holding& aHolding,
                                int aSign)
{
  Total& total = this->totals[aOrganisation];
  total.demand += aSign * aHolding.demand;
  total.perKilosecond += aSign * static_cast<std::int64_t>(aHolding.held.perKilosecond);
  total.burst += aSign * static_cast<std::int64_t>(aHolding.held.burst);
}

void ShareAllocator::Allocate(Proxy& aProxy, const OrganisationMap& aOrganisations, Instant aNow)
{
  const bool isFirst = aProxy.allocatedAt == Instant{};
  const std::chrono::duration<double> elapsed = aNow - aProxy.allocatedAt;
  aProxy.allocatedAt = aNow;
  if (isFirst) {
    aProxy.counts.clear();
    return;
  }
  for (const auto& [organisation, count] : aProxy.counts) {
    aProxy.holdings[organisation];
  }
  const double weight = 1 - std::exp(-elapsed / kDemandTime);
  for (auto& [organisation, holding] : aProxy.holdings) {
    const auto counted = aProxy.counts.find(organisation);
    const double sample = counted == aProxy.counts.end() ? 0 : counted->second / elapsed.count();
    this->AddToTotal(organisation, holding, -1);
    holding.demand += weight * (sample - holding.demand);
    this->AddToTotal(organisation, holding, 1);
    const auto row = aOrganisations.find(organisation);
    const bool isLimited =
      row != aOrganisations.end() && !row->second.deleted && row->second.rate.isLimited;
    this->UpdateShare(organisation, holding, isLimited ? row->second.rate : OperationRate{}, aNow);
  }
  aProxy.counts.clear();
  std::erase_if(aProxy.holdings, [this](const auto& aEach) {
    const Holding& holding = aEach.second;
    const bool isEmpty = holding.isConfirmed && holding.held.burst == 0 &&
                         holding.held.perKilosecond == 0 && holding.demand < kLeastDemand;
    if (isEmpty) {
      this->AddToTotal(aEach.first, holding, -1);
    }
    return isEmpty;
  });
}

void ShareAllocator::UpdateShare(const std::string& aOrganisation,
                                 Holding& aHolding,
                                 const OperationRate& aLimit,
                                 Instant aNow)
{
  // The shares that a predecessor granted may be in use until then.
  if (aNow - this->leaderSince < kShareValidity + kClockMargin) {
    return;
  }
  const Total& total = this->totals[aOrganisation];
  const double part =
    aHolding.demand < kLeastDemand ? 0 : aHolding.demand / std::max(total.demand, kLeastDemand);
  const double sharedRate = kSharedRatePart * static_cast<double>(aLimit.perKilosecond);
  const std::int64_t sharedBurst = aLimit.isLimited ? SharedBurst(aLimit) : 0;
  const auto heldRate = static_cast<std::int64_t>(aHolding.held.perKilosecond);
  const auto heldBurst = static_cast<std::int64_t>(aHolding.held.burst);
  // A larger share only as far as the others leave room for it.
  const std::int64_t rateRoom =
    std::max(static_cast<std::int64_t>(sharedRate) - total.perKilosecond + heldRate, heldRate);
  const std::int64_t burstRoom = std::max(sharedBurst - total.burst + heldBurst, heldBurst);
  const auto rate = std::min(static_cast<std::int64_t>(part * sharedRate), rateRoom);
  const auto burst =
    std::min(std::max<std::int64_t>(
               static_cast<std::int64_t>(part * kSharedBurstPart * aLimit.burst), part > 0 ? 1 : 0),
             burstRoom);
  OperationRate share;
  share.isLimited = true;
  if (rate > 0 && burst > 0) {
    share.perKilosecond = static_cast<std::uint64_t>(rate);
    share.burst = static_cast<std::uint32_t>(burst);
  }
  const OperationRate& granted = aHolding.granted.rate;
  const bool isSame =
    (share.burst == 0) == (granted.burst == 0) &&
    IsNear(static_cast<double>(share.perKilosecond), static_cast<double>(granted.perKilosecond)) &&
    IsNear(share.burst, granted.burst);
  if (isSame) {
    return;
  }
  this->AddToTotal(aOrganisation, aHolding, -1);
  aHolding.held = Larger(aHolding.held, share);
  aHolding.granted = { aOrganisation, share, ShareNumber(this->term, ++this->lastCount) };
  aHolding.isConfirmed = false;
  this->AddToTotal(aOrganisation, aHolding, 1);
}

RatePart ShareAllocator::HeldOf(const OrganisationRow& aRow, Instant aNow)
{
  this->RemoveSilent(aNow);
  constexpr double kKilosecond = 1000;
  if (aNow - this->leaderSince < kShareValidity + kClockMargin) {
    return { kSharedRatePart * static_cast<double>(aRow.rate.perKilosecond) / kKilosecond,
             SharedBurst(aRow.rate) };
  }
  const auto found = this->totals.find(aRow.name);
  if (found == this->totals.end()) {
    return {};
  }
  return { static_cast<double>(found->second.perKilosecond) / kKilosecond,
           static_cast<std::uint32_t>(found->second.burst) };
}

void ShareAllocator::RemoveSilent(Instant aNow)
{
  if (aNow - this->silentRemovedAt < kSilentCheckInterval) {
    return;
  }
  this->silentRemovedAt = aNow;
  std::erase_if(this->proxies, [this, aNow](const auto& aEach) {
    const bool isSilent = aNow - aEach.second.heardAt > kShareValidity + kClockMargin;
    if (isSilent) {
      for (const auto& [organisation, holding] : aEach.second.holdings) {
        this->AddToTotal(organisation, holding, -1);
      }
    }
    return isSilent;
  });
}

} // namespace oleanderledge
