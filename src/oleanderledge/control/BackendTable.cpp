#include "oleanderledge/control/BackendTable.hpp"

#include "oleanderledge/control/Tombstones.hpp"
#include "oleanderledge/link/internal/StructCodec.hpp"

#include <algorithm>
#include <tuple>

namespace oleanderledge {

namespace {

/// Rows of servers that left which are kept. They reject delayed registrations of the same start,
/// and departures that are not settled yet are counted by them. A delayed registration arrives
/// within seconds, in which far fewer servers leave.
constexpr std::size_t kKeptTombstones = 64;

struct BackendTableSnapshot
{
  std::vector<BackendRow> backends;
  std::vector<PrimaryRow> primaries;
  std::uint64_t purgedVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->backends, this->primaries, this->purgedVersion);
  }
};

} // namespace

bool IsNewerRegistration(const BackendRow& aNew, const BackendRow& aKnown)
{
  return std::tie(aNew.startedUnixMs, aNew.sequence) >
         std::tie(aKnown.startedUnixMs, aKnown.sequence);
}

bool IsOutdatedRegistration(const BackendRow& aNew, const BackendRow& aKnown)
{
  // A server that has ended does not return in the same start, so the registration was delayed.
  return !IsNewerRegistration(aNew, aKnown) ||
         (aKnown.deleted && aKnown.startedUnixMs == aNew.startedUnixMs);
}

bool IsSameRegistration(const BackendRow& aLeft, const BackendRow& aRight)
{
  const auto content = [](const BackendRow& aRow) {
    return std::tie(aRow.service,
                    aRow.address,
                    aRow.zone,
                    aRow.slots,
                    aRow.claimsPrimary,
                    aRow.draining,
                    aRow.startedUnixMs,
                    aRow.deleted,
                    aRow.isSilent);
  };
  return content(aLeft) == content(aRight);
}

bool BackendTable::Apply(std::uint64_t aIndex, const UpdateBackend& aCommand)
{
  const auto known = this->backends.find(aCommand.backend.name);
  if (known != this->backends.end() && IsOutdatedRegistration(aCommand.backend, known->second)) {
    return false;
  }
  // If another server has started at the same address, the earlier one there has ended.
  this->Record(aIndex, aCommand.backend, EndedServers::EarlierStarts);
  return true;
}

bool BackendTable::Apply(std::uint64_t aIndex, const ReinstateBackend& aCommand)
{
  const auto known = this->backends.find(aCommand.backend.name);
  if (known == this->backends.end() || known->second.version != aCommand.expectedVersion) {
    return false;
  }
  // The server runs, so an entry that names the same address names no other one.
  this->Record(aIndex, aCommand.backend, EndedServers::All);
  return true;
}

void BackendTable::Record(std::uint64_t aIndex,
                          const BackendRow& aRegistration,
                          EndedServers aEnded)
{
  const auto [position, inserted] = this->backends.try_emplace(aRegistration.name, aRegistration);
  BackendRow& row = position->second;
  const bool keepsDraining =
    !inserted && row.draining && row.startedUnixMs == aRegistration.startedUnixMs;
  const std::uint64_t drainingVersion = keepsDraining ? row.drainingVersion : aIndex;
  row = aRegistration;
  row.deleted = false;
  row.version = aIndex;
  row.drainingVersion = row.draining ? drainingVersion : 0;
  for (auto& [name, other] : this->backends) {
    const bool hasEnded = aEnded == EndedServers::All || other.startedUnixMs <= row.startedUnixMs;
    if (&other == &row || other.deleted || other.address != row.address || !hasEnded) {
      continue;
    }
    other.deleted = true;
    other.version = aIndex;
  }
  this->PurgeDeleted();
}

bool BackendTable::Apply(std::uint64_t aIndex, const RemoveBackend& aCommand)
{
  const auto found = this->backends.find(aCommand.backend);
  if (found == this->backends.end() || found->second.deleted ||
      found->second.startedUnixMs != aCommand.startedUnixMs) {
    return false;
  }
  found->second.deleted = true;
  found->second.version = aIndex;
  this->PurgeDeleted();
  return true;
}

bool BackendTable::Apply(std::uint64_t aIndex, const SetBackendSilence& aCommand)
{
  const auto found = this->backends.find(aCommand.backend);
  if (found == this->backends.end() || found->second.deleted ||
      found->second.version != aCommand.expectedVersion) {
    return false;
  }
  found->second.isSilent = aCommand.isSilent;
  // The claim was made before the silence, and must not look like a new one in the new version.
  found->second.claimsPrimary = false;
  found->second.version = aIndex;
  return true;
}

void BackendTable::PurgeDeleted()
{
  this->purgedVersion =
    std::max(this->purgedVersion, PurgeTombstones(this->backends, kKeptTombstones));
}

bool BackendTable::Apply(std::uint64_t aIndex, const AdoptServicePrimary& aCommand)
{
  PrimaryRow& row = this->primaries[aCommand.service];
  if (row.version != aCommand.expectedVersion) {
    return false;
  }
  row = { aCommand.service, aCommand.backend,  PrimaryPhase::Steady, row.fence, {},
          aIndex,           row.settledVersion };
  return true;
}

bool BackendTable::Apply(std::uint64_t aIndex, const DecideServicePrimary& aCommand)
{
  PrimaryRow& row = this->primaries[aCommand.service];
  if (row.version != aCommand.expectedVersion) {
    return false;
  }
  // The log index serves as the fence, because it grows with every decision of any leader.
  row = { aCommand.service, aCommand.backend, PrimaryPhase::Promoting, aIndex,
          aCommand.holder,  aIndex,           row.settledVersion };
  return true;
}

bool BackendTable::Apply(std::uint64_t aIndex, const ConfirmServicePrimary& aCommand)
{
  const auto found = this->primaries.find(aCommand.service);
  if (found == this->primaries.end() || found->second.fence != aCommand.fence ||
      found->second.phase != PrimaryPhase::Promoting) {
    return false;
  }
  found->second.phase = PrimaryPhase::Steady;
  found->second.version = aIndex;
  return true;
}

bool BackendTable::Apply(std::uint64_t aIndex, const CloseServicePrimary& aCommand)
{
  const auto found = this->primaries.find(aCommand.service);
  if (found == this->primaries.end() || found->second.version != aCommand.expectedVersion ||
      found->second.phase != PrimaryPhase::Steady) {
    return false;
  }
  found->second.phase = PrimaryPhase::Closing;
  found->second.version = aIndex;
  return true;
}

bool BackendTable::Apply(std::uint64_t /*aIndex*/, const SettleDepartures& aCommand)
{
  const auto found = this->primaries.find(aCommand.service);
  if (found != this->primaries.end() && found->second.version == aCommand.expectedVersion) {
    found->second.settledVersion = std::max(found->second.settledVersion, aCommand.departedVersion);
  }
  return false;
}

const BackendRow* BackendTable::Find(std::string_view aBackend) const
{
  const auto found = this->backends.find(aBackend);
  return found == this->backends.end() || found->second.deleted ? nullptr : &found->second;
}

const PrimaryRow* BackendTable::FindPrimary(std::string_view aService) const
{
  const auto found = this->primaries.find(aService);
  return found == this->primaries.end() ? nullptr : &found->second;
}

std::string BackendTable::Serialize() const
{
  BackendTableSnapshot snapshot;
  for (const auto& [name, row] : this->backends) {
    snapshot.backends.push_back(row);
  }
  for (const auto& [name, row] : this->primaries) {
    snapshot.primaries.push_back(row);
  }
  snapshot.purgedVersion = this->purgedVersion;
  return EncodeStruct(snapshot);
}

Result<void> BackendTable::Restore(std::string_view aBytes)
{
  if (aBytes.empty()) {
    *this = BackendTable{};
    return boost::outcome_v2::success();
  }
  auto decoded = DecodeStruct<BackendTableSnapshot>(aBytes);
  if (!decoded) {
    return Fail(decoded.error().code, decoded.error().message);
  }
  BackendTable restored;
  for (const BackendRow& row : decoded.value().backends) {
    restored.backends[row.name] = row;
  }
  for (const PrimaryRow& row : decoded.value().primaries) {
    restored.primaries[row.name] = row;
  }
  restored.purgedVersion = decoded.value().purgedVersion;
  *this = std::move(restored);
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
