#pragma once

#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Ends of the write leases that this leader granted, or that an earlier leader may have granted.
class LeaseTable
{
public:
  explicit LeaseTable(const ControlTimings& aTimings)
    : timings(aTimings)
  {
  }

  /// A new leader: leases of earlier leaders may last until lease length plus drift from now.
  void Reset(Instant aNow);

  /// Grants or renews the lease of a recorded owner for `aLength`, in answer to a heartbeat that is
  /// being processed now. Nothing if the epoch was released, or if a lease of another epoch or term
  /// may still be in use.
  std::optional<LeaseGrant> Grant(std::string_view aDatabase,
                                  std::uint64_t aEpoch,
                                  std::uint64_t aTerm,
                                  Instant aNow);

  /// The owner confirmed that it acknowledges nothing any more under the epoch.
  void Release(std::string_view aDatabase, std::uint64_t aEpoch, Instant aNow);
  /// The owner confirmed that it acknowledges nothing any more in the term, but keeps the epoch.
  void ReleaseTerm(std::string_view aDatabase,
                   std::uint64_t aEpoch,
                   std::uint64_t aTerm,
                   Instant aNow);

  bool IsReleased(std::string_view aDatabase, std::uint64_t aEpoch) const;
  /// True if no lease of the epoch or an earlier one can be in use.
  bool IsFenced(std::string_view aDatabase, std::uint64_t aEpoch, Instant aNow) const;

private:
  struct Lease
  {
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    Instant end{};
    std::uint64_t releasedEpoch = 0;
  };

  ControlTimings timings;
  Instant earlierLeasesEnd{};
  std::map<std::string, Lease, std::less<>> leases;
};

} // namespace oleanderledge
