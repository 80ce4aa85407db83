#include "oleanderledge/control/LeaseTable.hpp"

#include <algorithm>

namespace oleanderledge {

void LeaseTable::Reset(Instant aNow)
{
  this->leases.clear();
  this->earlierLeasesEnd = aNow + this->timings.LeaseUpperBound();
}

std::optional<LeaseGrant> LeaseTable::Grant(std::string_view aDatabase,
                                            std::uint64_t aEpoch,
                                            std::uint64_t aTerm,
                                            Instant aNow)
{
  Lease& lease = this->leases[std::string(aDatabase)];
  if (aEpoch <= lease.releasedEpoch) {
    return std::nullopt;
  }
  const bool isSame = lease.epoch == aEpoch && lease.term == aTerm;
  const bool isLaterTerm = lease.isTermReleased && lease.epoch == aEpoch && lease.term < aTerm;
  if (!isSame && !isLaterTerm && lease.end > aNow && lease.epoch > lease.releasedEpoch) {
    return std::nullopt;
  }
  lease.isTermReleased = false;
  lease.epoch = aEpoch;
  lease.term = aTerm;
  lease.end = std::max(lease.end, aNow + this->timings.LeaseUpperBound());
  return LeaseGrant{ std::string(aDatabase), aEpoch, aTerm, this->timings.leaseLength.count() };
}

void LeaseTable::Release(std::string_view aDatabase, std::uint64_t aEpoch, Instant aNow)
{
  Lease& lease = this->leases[std::string(aDatabase)];
  lease.releasedEpoch = std::max(lease.releasedEpoch, aEpoch);
  if (lease.epoch <= aEpoch) {
    lease.end = std::min(lease.end, aNow);
  }
}

void LeaseTable::ReleaseTerm(std::string_view aDatabase, std::uint64_t aEpoch, std::uint64_t aTerm)
{
  Lease& lease = this->leases[std::string(aDatabase)];
  if (lease.epoch == aEpoch && lease.term <= aTerm) {
    lease.isTermReleased = true;
  }
}

bool LeaseTable::IsReleased(std::string_view aDatabase, std::uint64_t aEpoch) const
{
  const auto found = this->leases.find(aDatabase);
  return found != this->leases.end() && found->second.releasedEpoch >= aEpoch && aEpoch > 0;
}

bool LeaseTable::IsFenced(std::string_view aDatabase, std::uint64_t aEpoch, Instant aNow) const
{
  if (aEpoch == 0 || this->IsReleased(aDatabase, aEpoch)) {
    return true;
  }
  const auto found = this->leases.find(aDatabase);
  const Instant end = found == this->leases.end() ? Instant{} : found->second.end;
  return aNow >= std::max(end, this->earlierLeasesEnd);
}

} // namespace oleanderledge
