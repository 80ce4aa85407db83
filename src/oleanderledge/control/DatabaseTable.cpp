#include "oleanderledge/control/DatabaseTable.hpp"

#include "oleanderledge/link/internal/StructCodec.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

struct DatabasesSnapshot
{
  std::vector<DatabaseRecord> records;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->records);
  }
};

} // namespace

const SlotRow* FindSlot(const DatabaseRow& aRow, std::string_view aSlot)
{
  const auto found = std::ranges::find(aRow.slots, aSlot, &SlotRow::name);
  return found == aRow.slots.end() ? nullptr : &*found;
}

bool IsInSync(const DatabaseRow& aRow, std::string_view aSlot)
{
  return std::ranges::find(aRow.inSync, aSlot) != aRow.inSync.end();
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const UpdateSlot& aCommand)
{
  auto found = this->records.find(aCommand.database);
  const std::uint64_t present = found == this->records.end() ? 0 : found->second.row.version;
  if (present != aCommand.expectedVersion) {
    return false;
  }
  DatabaseRow& row = this->records[aCommand.database].row;
  row.name = aCommand.database;
  row.service = aCommand.service;
  row.connectionLimit = aCommand.connectionLimit;
  const auto slot = std::ranges::find(row.slots, aCommand.slot.name, &SlotRow::name);
  if (slot == row.slots.end()) {
    row.slots.push_back(aCommand.slot);
  } else {
    *slot = aCommand.slot;
  }
  row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const RemoveSlot& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || record->row.primary == aCommand.slot ||
      IsInSync(record->row, aCommand.slot) ||
      std::erase_if(record->row.slots, [&aCommand](const SlotRow& aSlot) {
        return aSlot.name == aCommand.slot;
      }) == 0) {
    return false;
  }
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const AdoptPrimary& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || !record->row.primary.empty() ||
      FindSlot(record->row, aCommand.slot) == nullptr) {
    return false;
  }
  record->row.primary = aCommand.slot;
  record->row.term = aCommand.term;
  record->row.inSync = { aCommand.slot };
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const AssignOwner& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr) {
    return false;
  }
  SetOwner(*record, aCommand.owner, aCommand.incarnation, aCommand.address);
  if (record->row.phase == FailoverPhase::Fencing &&
      (record->fencingReason == FencingReason::OwnerCutOff ||
       record->fencingReason == FencingReason::OwnerLeaving)) {
    SetPhase(*record, FailoverPhase::Steady, aIndex);
    if (record->fencingReason == FencingReason::OwnerCutOff) {
      record->cutOffEpoch = record->row.ownerEpoch;
    }
  }
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const BeginFencing& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || record->row.primary.empty()) {
    return false;
  }
  const bool wasPromoting = record->row.phase == FailoverPhase::Promoting;
  if (wasPromoting != (aCommand.reason == FencingReason::PromotionFailed)) {
    return false;
  }
  // The reason of a database that is fenced already may only change to PrimaryLost.
  if (record->row.phase == FailoverPhase::Fencing &&
      (record->fencingReason == aCommand.reason || aCommand.reason != FencingReason::PrimaryLost)) {
    return false;
  }
  if (wasPromoting) {
    // The slot that did not confirm has every acknowledged write, so it stays in the in-sync set.
    // The primary to replace is still the one before it.
    record->row.primary = record->replacedPrimary;
  }
  SetPhase(*record, FailoverPhase::Fencing, aIndex);
  record->fencingReason = aCommand.reason;
  record->planned = false;
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const BeginWaiting& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || record->row.phase != FailoverPhase::Fencing) {
    return false;
  }
  SetPhase(*record, FailoverPhase::Waiting, aIndex);
  SetOwner(*record, aCommand.owner, aCommand.ownerIncarnation, aCommand.ownerAddress);
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const ChangeDraining& aCommand)
{
  const FailoverPhase from = aCommand.begin ? FailoverPhase::Steady : FailoverPhase::Draining;
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || record->row.phase != from) {
    return false;
  }
  SetPhase(*record, aCommand.begin ? FailoverPhase::Draining : FailoverPhase::Steady, aIndex);
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const DecidePromotion& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || aCommand.term <= record->row.term ||
      !IsInSync(record->row, aCommand.slot) || FindSlot(record->row, aCommand.slot) == nullptr) {
    return false;
  }
  const FailoverPhase phase = record->row.phase;
  if (phase != FailoverPhase::Fencing && phase != FailoverPhase::Draining) {
    return false;
  }
  record->planned = phase == FailoverPhase::Draining;
  record->replacedPrimary = record->row.primary;
  record->row.primary = aCommand.slot;
  record->row.term = aCommand.term;
  SetPhase(*record, FailoverPhase::Promoting, aIndex);
  if (!record->planned) {
    SetOwner(*record, aCommand.owner, aCommand.ownerIncarnation, aCommand.ownerAddress);
  }
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const CompletePromotion& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || record->row.phase != FailoverPhase::Promoting ||
      record->row.term != aCommand.term) {
    return false;
  }
  SetPhase(*record, FailoverPhase::Steady, aIndex);
  if (record->replacedPrimary != record->row.primary) {
    std::erase(record->row.inSync, record->replacedPrimary);
  }
  record->replacedPrimary.clear();
  record->planned = false;
  record->row.version = aIndex;
  return true;
}

bool DatabaseTable::Apply(std::uint64_t aIndex, const ChangeInSync& aCommand)
{
  DatabaseRecord* record = this->FindExpected(aCommand.database, aCommand.expectedVersion);
  if (record == nullptr || record->row.ownerEpoch != aCommand.epoch ||
      record->row.term != aCommand.term ||
      (record->row.phase != FailoverPhase::Steady &&
       record->row.phase != FailoverPhase::Draining)) {
    return false;
  }
  const std::set<std::string> members(aCommand.members.begin(), aCommand.members.end());
  if (!members.contains(record->row.primary) ||
      !std::ranges::all_of(members, [record](const std::string& aMember) {
        return FindSlot(record->row, aMember) != nullptr;
      })) {
    return false;
  }
  record->row.inSync.assign(members.begin(), members.end());
  record->row.version = aIndex;
  return true;
}

const DatabaseRecord* DatabaseTable::Find(std::string_view aName) const
{
  const auto found = this->records.find(aName);
  return found == this->records.end() ? nullptr : &found->second;
}

DatabaseRecord* DatabaseTable::FindExpected(std::string_view aName, std::uint64_t aVersion)
{
  const auto found = this->records.find(aName);
  return found != this->records.end() && found->second.row.version == aVersion ? &found->second
                                                                               : nullptr;
}

void DatabaseTable::SetPhase(DatabaseRecord& aRecord, FailoverPhase aPhase, std::uint64_t aIndex)
{
  aRecord.row.phase = aPhase;
  aRecord.phaseVersion = aIndex;
}

void DatabaseTable::SetOwner(DatabaseRecord& aRecord,
                             const std::string& aOwner,
                             std::uint64_t aIncarnation,
                             const std::string& aAddress)
{
  aRecord.row.owner = aOwner;
  aRecord.row.ownerIncarnation = aIncarnation;
  aRecord.row.ownerAddress = aAddress;
  ++aRecord.row.ownerEpoch;
}

std::string DatabaseTable::Serialize() const
{
  DatabasesSnapshot snapshot;
  snapshot.records.reserve(this->records.size());
  for (const auto& [name, record] : this->records) {
    snapshot.records.push_back(record);
  }
  return EncodeStruct(snapshot);
}

Result<void> DatabaseTable::Restore(std::string_view aBytes)
{
  auto decoded = DecodeStruct<DatabasesSnapshot>(aBytes);
  if (!decoded) {
    return Fail(decoded.error().code, decoded.error().message);
  }
  this->records.clear();
  for (DatabaseRecord& record : decoded.value().records) {
    const std::string name = record.row.name;
    this->records.emplace(name, std::move(record));
  }
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
