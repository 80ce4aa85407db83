#include "oleanderledge/quotas/TokenAllocator.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderledge {

namespace {

/// Tokens with which a new leader starts a bucket. The predecessor may have granted the whole burst
/// just before; Q1 allows 20 operations above the limit, and two leader changes in its window.
constexpr double kTokensAtElection = 5;
/// A limit with a lower burst could never admit anything.
constexpr double kMinCapacity = 1;
/// Latest retry time that is given out in turn to denied requests. Callers that don't come back at
/// their time must not defer those that do.
constexpr Duration kLongestTurn = std::chrono::seconds(1);
/// Retry time of an organisation that this leader does not know (yet).
constexpr std::uint32_t kRetryUnknownMs = 100;

} // namespace

double PerSecond(const OperationRate& aRate)
{
  constexpr double kKilosecond = 1000;
  return static_cast<double>(aRate.perKilosecond) / kKilosecond;
}

void TokenAllocator::OnLeadershipGained(Instant aNow)
{
  this->accounts.clear();
  this->leaderSince = aNow;
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
  account.promisedUntil =
    retryAt + std::chrono::duration_cast<Duration>(
                std::min<std::chrono::duration<double>>(turn, kLongestTurn));
  const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(retryAt - aNow);
  grant.retryAfterMs = static_cast<std::uint32_t>(std::max<std::int64_t>(retryAfter.count(), 1));
  return grant;
}

TokenAllocator::Account& TokenAllocator::AccountOf(const OrganisationRow& aRow, Instant aNow)
{
  const double perSecond = PerSecond(aRow.rate);
  const double capacity = std::max(static_cast<double>(aRow.rate.burst), kMinCapacity);
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
