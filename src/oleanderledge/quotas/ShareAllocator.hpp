#pragma once

#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge {

/// By name, tombstones included.
using OrganisationMap = std::map<std::string, OrganisationRow, std::less<>>;

/// A part of the limit of an organisation.
struct RatePart
{
  double perSecond = 0;
  std::uint32_t burst = 0;
};

/// Grants proxies standing shares of the limits of organisations, by the demand that they report;
/// part of the control leader. A share counts as held until its proxy has confirmed a smaller one,
/// or cannot be using it any more.
class ShareAllocator
{
public:
  void OnLeadershipGained(std::uint64_t aTerm, Instant aNow);

  /// Records the demand and the confirmation of a proxy, and returns its shares that it has not
  /// confirmed yet. The caller holds the leader lease and sends the reply to the heartbeat.
  std::vector<QuotaShare> OnHeartbeat(const Heartbeat& aHeartbeat,
                                      const OrganisationMap& aOrganisations,
                                      Instant aNow);
  /// Part of a limit that is not available on demand, because proxies hold it or may do so.
  RatePart HeldOf(const OrganisationRow& aRow, Instant aNow);

private:
  using ProxyId = std::pair<std::string, std::uint64_t>; ///< Instance and incarnation.
  struct Holding
  {
    double demand = 0;  ///< Operations per second that the proxy is asked for, smoothed.
    QuotaShare granted; ///< As last granted.
    /// The granted share, or, as long as it is not confirmed, the largest that the proxy may use.
    OperationRate held{ true, 0, 0 };
    bool isConfirmed = true;
  };
  struct Proxy
  {
    Instant heardAt{};     ///< The last reply was sent then.
    Instant allocatedAt{}; ///< The last time that its shares were computed.
    std::map<std::string, std::uint32_t, std::less<>> counts; ///< Since `allocatedAt`.
    std::map<std::string, Holding, std::less<>> holdings;     ///< By organisation.
  };
  /// Sums over all proxies.
  struct Total
  {
    double demand = 0;
    std::int64_t perKilosecond = 0;
    std::int64_t burst = 0;
  };

  void Confirm(Proxy& aProxy, std::uint64_t aNumber);
  void Allocate(Proxy& aProxy, const OrganisationMap& aOrganisations, Instant aNow);
  /// Grants another share if it differs enough from the present one. `aLimit` is not limited if no
  /// share is to be held.
  void UpdateShare(const std::string& aOrganisation,
                   Holding& aHolding,
                   const OperationRate& aLimit,
                   Instant aNow);
  void AddToTotal(const std::string& aOrganisation, const Holding& aHolding, int aSign);
  void RemoveSilent(Instant aNow);

  std::map<ProxyId, Proxy> proxies;
  std::map<std::string, Total, std::less<>> totals;
  std::uint64_t term = 0;
  std::uint64_t lastCount = 0;
  Instant leaderSince{};
  Instant silentRemovedAt{};
};

} // namespace oleanderledge
