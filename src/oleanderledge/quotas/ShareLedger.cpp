#include "oleanderledge/quotas/ShareLedger.hpp"

#include "oleanderledge/quotas/PerSecond.hpp"
#include "oleanderledge/quotas/QuotaTimings.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Tokens that are kept for denials and for times without a leader. Only what the rate adds to a
/// full bucket is used otherwise. With a reserve of half of the burst, an organisation at 1/1.6 of
/// its limit had operations refused in 1 s without a leader. A single token is always kept, as a
/// proxy that uses it has none for seconds.
double ReserveOf(const OperationRate& aRate)
{
  return std::max(static_cast<double>(aRate.burst) - 1, 1.0);
}

} // namespace

void ShareLedger::DiscardExpired(Instant aNow)
{
  const auto count = std::erase_if(
    this->shares, [aNow](const auto& aEach) { return aEach.second.validUntil <= aNow; });
  if (count > 0) {
    this->number = 0;
    this->resetAt = aNow;
  }
}

std::uint64_t ShareLedger::Number(Instant aNow)
{
  this->DiscardExpired(aNow);
  return this->number;
}

void ShareLedger::OnHeartbeatReply(std::uint64_t aTerm,
                                   const std::vector<QuotaShare>& aChanged,
                                   Instant aSentAt,
                                   Instant aNow)
{
  // First, as the leader may have given a share that has expired here to another proxy.
  this->DiscardExpired(aNow);
  const Instant validUntil = aSentAt + kShareValidity;
  for (auto& [organisation, share] : this->shares) {
    if (TermOfShare(share.number) == aTerm) {
      share.validUntil = std::max(share.validUntil, validUntil);
    }
  }
  if (validUntil <= aNow) {
    return;
  }
  for (const QuotaShare& changed : aChanged) {
    // Replies may arrive out of order.
    if (changed.number <= this->number ||
        (changed.number <= this->highest && aSentAt < this->resetAt)) {
      continue;
    }
    const double perSecond = PerSecond(changed.rate);
    const double capacity = changed.rate.burst;
    const auto found = this->shares.find(changed.organisation);
    if (found != this->shares.end()) {
      Share& share = found->second;
      share.bucket.Refill(perSecond, capacity, aNow);
      share.rate = changed.rate;
      share.number = changed.number;
      share.validUntil = validUntil;
    } else if (changed.rate.burst > 0) {
      this->shares.emplace(
        changed.organisation,
        Share{ changed.rate, changed.number, aNow, validUntil, { perSecond, capacity, 0, aNow } });
    }
    if (changed.rate.burst == 0) {
      this->shares.erase(changed.organisation);
    }
  }
  for (const QuotaShare& changed : aChanged) {
    this->number = std::max(this->number, changed.number);
    this->highest = std::max(this->highest, changed.number);
  }
}

ShareLedger::Share* ShareLedger::Find(std::string_view aOrganisation, Instant aNow)
{
  const auto found = this->shares.find(aOrganisation);
  if (found == this->shares.end()) {
    return nullptr;
  }
  Share& share = found->second;
  if (share.validUntil <= aNow) {
    this->DiscardExpired(aNow);
    return nullptr;
  }
  share.bucket.Refill(PerSecond(share.rate), share.rate.burst, aNow);
  return &share;
}

std::optional<OperationToken> ShareLedger::Take(std::string_view aOrganisation,
                                                bool aMayUseReserve,
                                                Instant aNow)
{
  Share* share = this->Find(aOrganisation, aNow);
  if (share == nullptr) {
    return std::nullopt;
  }
  const double kept = aMayUseReserve ? 0 : ReserveOf(share->rate);
  if (share->bucket.Tokens() < kept + 1) {
    return std::nullopt;
  }
  share->bucket.Take(1);
  return OperationToken{ std::string(aOrganisation), aNow + kTokenValidity, true };
}

void ShareLedger::Return(const OperationToken& aToken, Instant aNow)
{
  Share* share = this->Find(aToken.organisation, aNow);
  // A token of a share that has ended meanwhile may have been granted to another proxy.
  if (share != nullptr && share->heldSince <= aToken.expiresAt - kTokenValidity &&
      aToken.expiresAt > aNow) {
    share->bucket.Return(1);
  }
}

} // namespace oleanderledge
