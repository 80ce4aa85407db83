#include "oleanderledge/control/BackendMonitor.hpp"

#include <algorithm>

namespace oleanderledge {

IncarnationVerdict BackendMonitor::Observe(const Announcement& aAnnouncement, Instant aNow)
{
  BackendView& view = this->databases[aAnnouncement.database][aAnnouncement.slot];
  const IncarnationVerdict verdict =
    view.incarnations.Observe(aAnnouncement.incarnation, aAnnouncement.sequence);
  if (!IsAccepted(verdict)) {
    return verdict;
  }
  if (verdict == IncarnationVerdict::First) {
    view.firstAnnouncedAt = aNow;
  }
  view.last = aAnnouncement;
  view.announcedAt = aNow;
  if (aAnnouncement.isPrimary && aAnnouncement.term >= view.primaryTerm) {
    view.primaryAt = aNow;
    view.primaryTerm = aAnnouncement.term;
  }
  view.received =
    std::max(view.received, LogPosition{ aAnnouncement.term, aAnnouncement.received });
  return verdict;
}

void BackendMonitor::NoteStatus(std::string_view aDatabase,
                             std::string_view aSlot,
                             const PlatformStatus& aStatus,
                             Instant aNow)
{
  BackendView& view = this->databases[std::string(aDatabase)][std::string(aSlot)];
  view.reachedAt = aNow;
  view.received = std::max(view.received, LogPosition{ aStatus.term, aStatus.received });
}

void BackendMonitor::NoteObservation(std::string_view aDatabase,
                                  const SlotObservation& aObservation,
                                  Instant aNow)
{
  if (!aObservation.reachable) {
    return;
  }
  BackendView& view = this->databases[std::string(aDatabase)][aObservation.slot];
  view.reachedAt =
    std::max(view.reachedAt, aNow - std::chrono::milliseconds(aObservation.silentMs));
  view.received = std::max(view.received, LogPosition{ aObservation.term, aObservation.received });
}

void BackendMonitor::Forget(std::string_view aDatabase, std::string_view aSlot)
{
  const auto database = this->databases.find(aDatabase);
  if (database == this->databases.end()) {
    return;
  }
  const auto slot = database->second.find(aSlot);
  if (slot != database->second.end()) {
    database->second.erase(slot);
  }
}

const BackendView* BackendMonitor::Find(std::string_view aDatabase, std::string_view aSlot) const
{
  const BackendViews* slots = this->FindDatabase(aDatabase);
  if (slots == nullptr) {
    return nullptr;
  }
  const auto found = slots->find(aSlot);
  return found == slots->end() ? nullptr : &found->second;
}

const BackendMonitor::BackendViews* BackendMonitor::FindDatabase(std::string_view aDatabase) const
{
  const auto found = this->databases.find(aDatabase);
  return found == this->databases.end() ? nullptr : &found->second;
}

Duration BackendMonitor::Silence(std::string_view aDatabase,
                              std::string_view aSlot,
                              Instant aNow) const
{
  const BackendView* view = this->Find(aDatabase, aSlot);
  return aNow - std::max(this->since, view == nullptr ? Instant{} : view->announcedAt);
}

Duration BackendMonitor::PrimarySilence(std::string_view aDatabase,
                                     std::string_view aSlot,
                                     std::uint64_t aTerm,
                                     Instant aNow) const
{
  const BackendView* view = this->Find(aDatabase, aSlot);
  const bool isKnown = view != nullptr && view->primaryTerm == aTerm;
  return aNow - std::max(this->since, isKnown ? view->primaryAt : Instant{});
}

bool BackendMonitor::IsReachable(std::string_view aDatabase,
                              std::string_view aSlot,
                              Duration aWithin,
                              Instant aNow) const
{
  const BackendView* view = this->Find(aDatabase, aSlot);
  return view != nullptr && aNow - std::max(view->announcedAt, view->reachedAt) < aWithin;
}

LogPosition BackendMonitor::Received(std::string_view aDatabase, std::string_view aSlot) const
{
  const BackendView* view = this->Find(aDatabase, aSlot);
  return view == nullptr ? LogPosition{} : view->received;
}

} // namespace oleanderledge
