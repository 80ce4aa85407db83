#include "oleanderledge/control/SlotReconciler.hpp"

namespace oleanderledge {

namespace {

bool IsSame(const SlotRow& aLeft, const SlotRow& aRight)
{
  return aLeft.zone == aRight.zone && aLeft.address == aRight.address &&
         aLeft.departing == aRight.departing && aLeft.silent == aRight.silent;
}

/// The command that marks a slot without announcements as silent or removes it, or nothing.
std::optional<ControlCommand> ChangeOfSilentSlot(const DatabaseRow& aRow,
                                                 const SlotRow& aSlot,
                                                 Duration aSilence,
                                                 const ControlTimings& aTimings)
{
  if (aSilence < aTimings.slotSilentAfter) {
    return std::nullopt;
  }
  if (!aSlot.silent) {
    SlotRow changed = aSlot;
    changed.silent = true;
    return UpdateSlot{ aRow.name, aRow.version, aRow.service, aRow.connectionLimit, changed };
  }
  const bool isNeeded = aSlot.name == aRow.primary || IsInSync(aRow, aSlot.name);
  if (aSlot.departing && !isNeeded && aSilence >= aTimings.slotRemovedAfter) {
    return RemoveSlot{ aRow.name, aRow.version, aSlot.name };
  }
  return std::nullopt;
}

} // namespace

std::optional<ControlCommand> SlotReconciler::NextChange(std::string_view aDatabase,
                                                         const DatabaseRecord* aRecord,
                                                         const AnnouncementMonitor& aSlots,
                                                         const ControlTimings& aTimings,
                                                         Instant aNow)
{
  const std::uint64_t version = aRecord == nullptr ? 0 : aRecord->row.version;
  const auto* views = aSlots.FindDatabase(aDatabase);
  if (views != nullptr) {
    for (const auto& [name, view] : *views) {
      if (view.announcedAt == Instant{} || aNow - view.announcedAt >= aTimings.slotSilentAfter) {
        continue;
      }
      const Announcement& last = view.last;
      const SlotRow wanted{ name, last.zone, last.address, last.departing, false };
      const SlotRow* present = aRecord == nullptr ? nullptr : FindSlot(aRecord->row, name);
      const bool isLimitChanged = aRecord != nullptr && last.isPrimary &&
                                  aRecord->row.primary == name && last.connectionLimit != 0 &&
                                  aRecord->row.connectionLimit != last.connectionLimit;
      if (present != nullptr && IsSame(*present, wanted) && !isLimitChanged) {
        continue;
      }
      // The connection limit of a database is that of its primary. Replicas may announce another.
      const std::uint32_t limit =
        aRecord == nullptr || isLimitChanged ? last.connectionLimit : aRecord->row.connectionLimit;
      return UpdateSlot{ std::string(aDatabase), version, last.service, limit, wanted };
    }
  }
  if (aRecord == nullptr) {
    return std::nullopt;
  }
  for (const SlotRow& slot : aRecord->row.slots) {
    const Duration silence = aSlots.AnnouncementSilence(aDatabase, slot.name, aNow);
    if (auto change = ChangeOfSilentSlot(aRecord->row, slot, silence, aTimings)) {
      return change;
    }
  }
  return std::nullopt;
}

} // namespace oleanderledge
