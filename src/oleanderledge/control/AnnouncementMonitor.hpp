#pragma once

#include "oleanderledge/control/Announcement.hpp"
#include "oleanderledge/control/IncarnationTracker.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Last announcement and reachability of one slot.
struct SlotView
{
  Announcement last;
  Instant announcedAt{};
  Instant firstAnnouncedAt{};
  /// Last time that the slot announced itself as primary of `primaryTerm`, its highest term as
  /// primary.
  Instant primaryAt{};
  std::uint64_t primaryTerm = 0;
  /// Last time that the slot answered a call of this member or its owner reached it.
  Instant reachedAt{};
  LogPosition received; ///< Highest position that it is known to have received.
  IncarnationTracker incarnations;
};

/// Announcements and call results of backend servers. Kept in memory by every control member:
/// backend servers announce themselves to all of them, so a new leader knows the slots at once.
class AnnouncementMonitor
{
public:
  using SlotViews = std::map<std::string, SlotView, std::less<>>;

  /// Called when this member becomes leader: slots count as silent from `aNow` at the earliest.
  void ResetSilence(Instant aNow) { this->since = aNow; }

  /// Records an announcement, unless it is late or comes from a retired incarnation. Returns how it
  /// relates to the earlier ones of the slot.
  IncarnationVerdict Observe(const Announcement& aAnnouncement, Instant aNow);
  /// Records the answer of a slot to a status or promotion call.
  void RecordStatus(std::string_view aDatabase,
                    std::string_view aSlot,
                    const PlatformStatus& aStatus,
                    Instant aNow);
  /// Records what an owner reported about a slot.
  void RecordObservation(std::string_view aDatabase,
                         const SlotObservation& aObservation,
                         Instant aNow);
  void Forget(std::string_view aDatabase, std::string_view aSlot);

  const SlotView* Find(std::string_view aDatabase, std::string_view aSlot) const;
  /// Slots of a database by name, or null.
  const SlotViews* FindDatabase(std::string_view aDatabase) const;
  const std::map<std::string, SlotViews, std::less<>>& Databases() const { return this->databases; }

  /// Time since the last announcement of the slot, or since ResetSilence() if that is later.
  Duration AnnouncementSilence(std::string_view aDatabase,
                               std::string_view aSlot,
                               Instant aNow) const;
  /// Time since the slot last announced itself as primary of `aTerm`, or since ResetSilence() if
  /// that is later.
  Duration PrimarySilence(std::string_view aDatabase,
                          std::string_view aSlot,
                          std::uint64_t aTerm,
                          Instant aNow) const;
  /// True if the slot announced itself, answered a call, or was reached by its owner within the
  /// last `aWithin`.
  bool IsReachable(std::string_view aDatabase,
                   std::string_view aSlot,
                   Duration aWithin,
                   Instant aNow) const;
  /// Highest position that the slot is known to have received.
  LogPosition ReceivedPosition(std::string_view aDatabase, std::string_view aSlot) const;

private:
  Instant since{}; ///< Time of the last ResetSilence().
  std::map<std::string, SlotViews, std::less<>> databases;
};

} // namespace oleanderledge
