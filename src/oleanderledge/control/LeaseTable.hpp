#pragma once

#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Expiry times of the write leases that this leader granted, or that an earlier leader may have
/// granted.
class LeaseTable
{
public:
  explicit LeaseTable(const ControlTimings& aTimings)
    : timings(aTimings)
  {
  }

  /// Called when this member becomes leader. Leases of earlier leaders are assumed to be in use for
  /// one lease length plus the allowance for clock drift from now.
  void Reset(Instant aNow);

  /// Grants or renews the lease of the recorded owner, in reply to a heartbeat that is processed at
  /// `aNow`. Returns nothing if the epoch was released, or if a lease of another epoch or term may
  /// still be in use.
  std::optional<LeaseGrant> Grant(std::string_view aDatabase,
                                  std::uint64_t aEpoch,
                                  std::uint64_t aTerm,
                                  Instant aNow);

  /// The owner confirmed that it acknowledges no more writes under the epoch.
  void Release(std::string_view aDatabase, std::uint64_t aEpoch, Instant aNow);
  /// The owner confirmed that it acknowledges no more writes in the term while its database drains.
  /// It keeps the epoch, and may be granted a later term at once. If the drain is abandoned, it
  /// resumes under the lease that it has, which therefore still bars other epochs.
  void ReleaseTerm(std::string_view aDatabase, std::uint64_t aEpoch, std::uint64_t aTerm);

  bool IsReleased(std::string_view aDatabase, std::uint64_t aEpoch) const;
  /// True if no lease of the epoch or of an earlier one can be in use any more.
  bool IsFenced(std::string_view aDatabase, std::uint64_t aEpoch, Instant aNow) const;

private:
  struct Lease
  {
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    Instant end{};                   ///< Latest time at which it may be in use.
    std::uint64_t releasedEpoch = 0; ///< Highest epoch that its owner released.
    bool isTermReleased = false;     ///< Its owner released the term since the last grant.
  };

  ControlTimings timings;
  Instant earlierLeasesEnd{}; ///< Latest time at which a lease of an earlier leader may be in use.
  std::map<std::string, Lease, std::less<>> leases;
};

} // namespace oleanderledge
