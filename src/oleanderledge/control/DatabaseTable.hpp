#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// One database as recorded by the control group: the row that is published to proxies, and the
/// fields that only control members use.
struct DatabaseRecord
{
  DatabaseRow row;
  FencingReason fencingReason = FencingReason::PrimaryLost;
  /// Primary before the decided promotion. It is removed from the in-sync set when the promotion
  /// completes.
  std::string replacedPrimary;
  /// Epoch that was assigned because the previous owner could not reach the primary, although the
  /// primary announced itself. If the new owner cannot reach it either, the primary is replaced.
  std::uint64_t cutOffEpoch = 0;
  /// True if the pending promotion belongs to a planned change.
  bool planned = false;
  /// Log index of the last change of `row.phase`. A report of an owner is used for a phase only if
  /// the owner had received this directory version.
  std::uint64_t phaseVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->row,
             this->fencingReason,
             this->replacedPrimary,
             this->cutOffEpoch,
             this->planned,
             this->phaseVersion);
  }
};

/// Databases with their slots, owners, terms, in-sync sets and failover phases.
///
/// Apply() checks every precondition of a command, because the leader that proposed it may have
/// been replaced before it was committed.
class DatabaseTable
{
public:
  // Apply a command at log index `aIndex`. Each returns true if the row changed.
  bool Apply(std::uint64_t aIndex, const UpdateSlot& aCommand);
  bool Apply(std::uint64_t aIndex, const RemoveSlot& aCommand);
  bool Apply(std::uint64_t aIndex, const AdoptPrimary& aCommand);
  bool Apply(std::uint64_t aIndex, const AssignOwner& aCommand);
  bool Apply(std::uint64_t aIndex, const BeginFencing& aCommand);
  bool Apply(std::uint64_t aIndex, const BeginWaiting& aCommand);
  bool Apply(std::uint64_t aIndex, const ChangeDraining& aCommand);
  bool Apply(std::uint64_t aIndex, const DecidePromotion& aCommand);
  bool Apply(std::uint64_t aIndex, const CompletePromotion& aCommand);
  bool Apply(std::uint64_t aIndex, const ChangeInSync& aCommand);

  /// The record of a database, or null.
  const DatabaseRecord* Find(std::string_view aName) const;
  const std::map<std::string, DatabaseRecord, std::less<>>& Records() const
  {
    return this->records;
  }

  std::string Serialize() const;
  /// Replaces all records by those of Serialize(). Fails with MalformedFrame.
  Result<void> Restore(std::string_view aBytes);

private:
  /// The record if its version is the expected one, or null.
  DatabaseRecord* FindExpected(std::string_view aName, std::uint64_t aVersion);
  static void SetPhase(DatabaseRecord& aRecord, FailoverPhase aPhase, std::uint64_t aIndex);
  /// Sets the owner under the next epoch.
  static void SetOwner(DatabaseRecord& aRecord,
                       const std::string& aOwner,
                       std::uint64_t aIncarnation,
                       const std::string& aAddress);

  std::map<std::string, DatabaseRecord, std::less<>> records;
};

/// The slot of a row, or null.
const SlotRow* FindSlot(const DatabaseRow& aRow, std::string_view aSlot);

/// True if the slot belongs to the in-sync set of the row.
bool IsInSync(const DatabaseRow& aRow, std::string_view aSlot);

} // namespace oleanderledge
