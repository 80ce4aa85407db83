#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/quotas/ShareAllocator.hpp"
#include "oleanderledge/quotas/TokenBucketLevel.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Grants tokens for operations of organisations, on demand and as standing shares; runs at the
/// control leader.
///
/// The state is kept in memory only: a new leader does not know what its predecessor granted and
/// starts with nearly empty buckets.
class TokenAllocator
{
public:
  void OnLeadershipGained(std::uint64_t aTerm, Instant aNow);

  /// Answers a request of a proxy. The caller holds the leader lease.
  TokenReply Answer(const TokenRequest& aRequest,
                    const OrganisationMap& aOrganisations,
                    Instant aNow);

  /// Handles the part of a heartbeat about quotas and returns the shares for the reply. The caller
  /// holds the leader lease and sends the reply with its term.
  std::vector<QuotaShare> OnHeartbeat(const Heartbeat& aHeartbeat,
                                      const OrganisationMap& aOrganisations,
                                      Instant aNow);

  std::uint64_t GrantedCount() const { return this->granted; }
  std::uint64_t DeniedCount() const { return this->denied; }

private:
  struct Account
  {
    TokenBucketLevel bucket;
    /// Time up to which denied requests have been told when to retry.
    Instant promisedUntil{};
  };

  TokenGrant Grant(const TokenDemand& aDemand, const OrganisationRow* aRow, Instant aNow);
  Account& AccountOf(const OrganisationRow& aRow, Instant aNow);

  std::map<std::string, Account, std::less<>> accounts; ///< By organisation.
  ShareAllocator shares;
  Instant leaderSince{};
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
};

} // namespace oleanderledge
