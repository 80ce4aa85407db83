#pragma once

#include "oleanderledge/link/link.hpp"
#include "oleanderledge/quotas/OperationToken.hpp"
#include "oleanderledge/quotas/TokenBucketLevel.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Standing shares of a proxy: the parts of the limits of organisations that it may use without a
/// request. A share is a token bucket that starts empty, so that a share that moves to another
/// proxy brings no second burst.
class ShareLedger
{
public:
  /// Applies a reply of the leader with `aTerm` to a heartbeat of `aSentAt`: renews the shares that
  /// this leader granted and applies the changed ones.
  void OnHeartbeatReply(std::uint64_t aTerm,
                        const std::vector<QuotaShare>& aChanged,
                        Instant aSentAt,
                        Instant aNow);
  /// Takes a token of an organisation. Unless `aMayUseReserve` is set, only a full bucket gives
  /// one.
  std::optional<OperationToken> Take(std::string_view aOrganisation,
                                     bool aMayUseReserve,
                                     Instant aNow);
  void Return(const OperationToken& aToken, Instant aNow);
  /// Highest QuotaShare::number that is applied; 0 after a share has expired, so that the leader
  /// repeats those that it still counts as held.
  std::uint64_t Number(Instant aNow);

private:
  struct Share
  {
    OperationRate rate;
    std::uint64_t number = 0;
    Instant heldSince{};
    Instant validUntil{};
    TokenBucketLevel bucket;
  };

  /// The share of an organisation, refilled, or null. Discards it if it has expired.
  Share* Find(std::string_view aOrganisation, Instant aNow);
  void DiscardExpired(Instant aNow);

  std::map<std::string, Share, std::less<>> shares;
  std::uint64_t number = 0;  ///< See Number().
  std::uint64_t highest = 0; ///< Highest number that was ever applied.
  Instant resetAt{};         ///< Last time that shares expired.
};

/// Number of a share that the leader of a term grants. Those of a later leader are higher.
constexpr std::uint64_t ShareNumber(std::uint64_t aTerm, std::uint64_t aCount)
{
  constexpr unsigned kCountBits = 32;
  return (aTerm << kCountBits) + aCount;
}

/// Term of the leader that granted a share.
constexpr std::uint64_t TermOfShare(std::uint64_t aNumber)
{
  constexpr unsigned kCountBits = 32;
  return aNumber >> kCountBits;
}

} // namespace oleanderledge
