#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// One database as the control group records it: the published row and what only control needs.
struct DatabaseRecord
{
  DatabaseRow row;
  FencingReason fencingReason = FencingReason::PrimaryLost;
  /// Primary before the decided promotion; leaves the in-sync set when the promotion completes.
  std::string replacedPrimary;
  /// Epoch that was assigned because the previous owner alone could not reach the primary. If this
  /// owner cannot reach it either, the primary is replaced.
  std::uint64_t cutOffEpoch = 0;
  /// True if the promotion follows a planned change.
  bool planned = false;
  /// Log index of the last change of `row.phase`. A report of an owner counts for a phase only if
  /// the owner had this version in force.
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
/// Apply() checks every precondition of a step itself, because a command may have been decided by a
/// leader that was replaced before it was committed.
class DatabaseTable
{
public:
  // Each returns true if the row changed.
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
  Result<void> Restore(std::string_view aBytes);

private:
  /// The record if its version is the expected one, or null.
  DatabaseRecord* FindExpected(std::string_view aName, std::uint64_t aVersion);
  static void SetPhase(DatabaseRecord& aRecord, FailoverPhase aPhase, std::uint64_t aIndex);
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
