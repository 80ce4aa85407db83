#include "oleanderledge/quotas/TokenAllocator.hpp"

#include "oleanderledge/quotas/PerSecond.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderledge {

namespace {

/// Tokens with which a new leader starts a bucket. The predecessor may have granted the whole burst
/// just before; Q1 allows 20 operations above the limit, and two leader changes in its window.
constexpr double kTokensAtElection = 5;
/// A limit with a lower burst could never admit anything.
constexpr double kMinCapacity = 1;
/// Burst tokens of standing shares that are given out beside the whole burst on demand, as a part
/// of the burst and a number: Q1 allows a tenth of the burst, and 20 operations, above the limit.
constexpr double kBurstOverage = 0.1;
constexpr double kBurstAllowance = 8;
/// Latest retry time that is given out in turn to denied requests. Callers that don't come back at
/// their time must not defer those that do.
constexpr Duration kLongestTurn = std::chrono::seconds(1);
/// Retry time of an organisation that this leader does not know (yet).
constexpr std::uint32_t kRetryUnknownMs = 100;

} // namespace

void TokenAllocator::OnLeadershipGained(std::uint64_t aTerm, Instant aNow)
{
  this->shares.OnLeadershipGained(aTerm, aNow);
  this->accounts.clear();
  this->leaderSince = aNow;
}

std::vector<QuotaShare> TokenAllocator::OnHeartbeat(const Heartbeat& aHeartbeat,
                                                    const OrganisationMap& aOrganisations,
                                                    Instant aNow)
{
  auto changed = this->shares.OnHeartbeat(aHeartbeat, aOrganisations, aNow);
  // What a proxy may use from now on is not available on demand from now on.
  for (const QuotaShare& share : changed) {
    const auto row = aOrganisations.find(share.organisation);
    if (row != aOrganisations.end() && this->accounts.contains(share.organisation)) {
      this->AccountOf(row->second, aNow);
    }
  }
  return changed;
}

TokenReply TokenAllocator::Answer(const TokenRequest& aRequest,
                                  const OrganisationMap& aOrganisations,
                                  Instant aNow)
{
  TokenReply reply;
  reply.instance = aRequest.instance;
  reply.incarnation = aRequest.incarnation;
  reply.sequence = aRequest.sequence;
  reply.sentUs = aRequest.sentUs;
  reply.accepted = true;
  for (const TokenDemand& demand : aRequest.demands) {
    const auto found = aOrganisations.find(demand.organisation);
    const bool isKnown = found != aOrganisations.end() && !found->second.deleted;
    reply.grants.push_back(this->Grant(demand, isKnown ? &found->second : nullptr, aNow));
  }
  return reply;
}

TokenGrant TokenAllocator::Grant(const TokenDemand& aDemand,
                                 const OrganisationRow* aRow,
                                 Instant aNow)
{
  TokenGrant grant{ aDemand.organisation, 0, 0 };
  if (aRow == nullptr) {
    grant.retryAfterMs = kRetryUnknownMs;
    this->denied += aDemand.tokens;
    return grant;
  }
  if (!aRow->rate.isLimited) {
    // The directory of the proxy is older than the removal of the limit.
    grant.tokens = aDemand.tokens;
    this->granted += grant.tokens;
    return grant;
  }
  Account& account = this->AccountOf(*aRow, aNow);
  const double available = std::floor(std::max(account.bucket.Tokens(), 0.0));
  grant.tokens =
    static_cast<std::uint32_t>(std::min(available, static_cast<double>(aDemand.tokens)));
  account.bucket.Take(grant.tokens);
  this->granted += grant.tokens;
  const std::uint32_t missing = aDemand.tokens - grant.tokens;
  if (missing == 0) {
    return grant;
  }
  this->denied += missing;
  // Each denied request is given a later time than the one before, so that callers that keep to it
  // find a token.
  const Instant soonest = aNow + account.bucket.TimeUntil(1);
  const Instant inTurn = std::min(account.promisedUntil, aNow + kLongestTurn);
  const Instant retryAt = std::max(soonest, inTurn);
  const double perSecond = std::max(PerSecond(aRow->rate), 1.0 / kLongestTurn.count());
  const auto turn = std::chrono::duration<double>(missing / perSecond);
  account.promisedUntil = retryAt + std::chrono::duration_cast<Duration>(
                                      std::min<std::chrono::duration<double>>(turn, kLongestTurn));
  const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(retryAt - aNow);
  grant.retryAfterMs = static_cast<std::uint32_t>(std::max<std::int64_t>(retryAfter.count(), 1));
  return grant;
}

TokenAllocator::Account& TokenAllocator::AccountOf(const OrganisationRow& aRow, Instant aNow)
{
  const RatePart held = this->shares.HeldOf(aRow, aNow);
  const double perSecond = std::max(PerSecond(aRow.rate) - held.perSecond, 0.0);
  const double burst = aRow.rate.burst;
  const double heldFromBurst = std::max(held.burst - kBurstOverage * burst - kBurstAllowance, 0.0);
  const double capacity = std::max(burst - heldFromBurst, kMinCapacity);
  auto found = this->accounts.find(aRow.name);
  if (found == this->accounts.end()) {
    TokenBucketLevel bucket(
      perSecond, capacity, std::min(capacity, kTokensAtElection), this->leaderSince);
    found = this->accounts.emplace(aRow.name, Account{ bucket, {} }).first;
  }
  found->second.bucket.Refill(perSecond, capacity, aNow);
  return found->second;
}

} // namespace oleanderledge
