#pragma once

#include "oleanderledge/control/Announcement.hpp"
#include "oleanderledge/control/IncarnationTracker.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// What this control member knows about one slot.
struct SlotView
{
  Announcement last;
  Instant announcedAt{};
  Instant firstAnnouncedAt{};
  /// Last time that the slot announced itself as primary, and under which term.
  Instant primaryAt{};
  std::uint64_t primaryTerm = 0;
  /// Last time that the slot answered a call or an owner reached it.
  Instant reachedAt{};
  LogPosition received;
  IncarnationTracker incarnations;
};

/// Announcements and call results of backend servers. Volatile. Every control member keeps it, as
/// backend servers announce themselves to all of them, so a new leader knows the slots at once.
class AnnouncementMonitor
{
public:
  using SlotViews = std::map<std::string, SlotView, std::less<>>;

  /// A new leader counts silence from `aNow` for slots that it has not heard.
  void ResetSilence(Instant aNow) { this->since = aNow; }

  IncarnationVerdict Observe(const Announcement& aAnnouncement, Instant aNow);
  /// Notes an answer of a slot to a call.
  void RecordStatus(std::string_view aDatabase,
                    std::string_view aSlot,
                    const PlatformStatus& aStatus,
                    Instant aNow);
  /// Notes what an owner observed.
  void RecordObservation(std::string_view aDatabase,
                         const SlotObservation& aObservation,
                         Instant aNow);
  void Forget(std::string_view aDatabase, std::string_view aSlot);

  const SlotView* Find(std::string_view aDatabase, std::string_view aSlot) const;
  /// Slots of a database, or null.
  const SlotViews* FindDatabase(std::string_view aDatabase) const;
  const std::map<std::string, SlotViews, std::less<>>& Databases() const { return this->databases; }

  /// Time since the slot was last announced at all.
  Duration AnnouncementSilence(std::string_view aDatabase,
                               std::string_view aSlot,
                               Instant aNow) const;
  /// Time since the slot was last announced as primary of a term.
  Duration PrimarySilence(std::string_view aDatabase,
                          std::string_view aSlot,
                          std::uint64_t aTerm,
                          Instant aNow) const;
  /// True if the slot announced itself, answered, or was reached by an owner within a time.
  bool IsReachable(std::string_view aDatabase,
                   std::string_view aSlot,
                   Duration aWithin,
                   Instant aNow) const;
  /// Highest position that the slot is known to have received.
  LogPosition ReceivedPosition(std::string_view aDatabase, std::string_view aSlot) const;

private:
  Instant since{};
  std::map<std::string, SlotViews, std::less<>> databases;
};

} // namespace oleanderledge
