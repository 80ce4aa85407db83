#include "oleanderledge/control/AnnouncementMonitor.hpp"

#include <algorithm>

namespace oleanderledge {

IncarnationVerdict AnnouncementMonitor::Observe(const Announcement& aAnnouncement, Instant aNow)
{
  SlotView& view = this->databases[aAnnouncement.database][aAnnouncement.slot];
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

void AnnouncementMonitor::RecordStatus(std::string_view aDatabase,
                                       std::string_view aSlot,
                                       const PlatformStatus& aStatus,
                                       Instant aNow)
{
  SlotView& view = this->databases[std::string(aDatabase)][std::string(aSlot)];
  view.reachedAt = aNow;
  view.received = std::max(view.received, LogPosition{ aStatus.term, aStatus.received });
}

void AnnouncementMonitor::RecordObservation(std::string_view aDatabase,
                                            const SlotObservation& aObservation,
                                            Instant aNow)
{
  if (!aObservation.reachable) {
    return;
  }
  SlotView& view = this->databases[std::string(aDatabase)][aObservation.slot];
  view.reachedAt =
    std::max(view.reachedAt, aNow - std::chrono::milliseconds(aObservation.silentMs));
  view.received = std::max(view.received, LogPosition{ aObservation.term, aObservation.received });
}

void AnnouncementMonitor::Forget(std::string_view aDatabase, std::string_view aSlot)
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

const SlotView* AnnouncementMonitor::Find(std::string_view aDatabase, std::string_view aSlot) const
{
  const SlotViews* slots = this->FindDatabase(aDatabase);
  if (slots == nullptr) {
    return nullptr;
  }
  const auto found = slots->find(aSlot);
  return found == slots->end() ? nullptr : &found->second;
}

const AnnouncementMonitor::SlotViews* AnnouncementMonitor::FindDatabase(
  std::string_view aDatabase) const
{
  const auto found = this->databases.find(aDatabase);
  return found == this->databases.end() ? nullptr : &found->second;
}

Duration AnnouncementMonitor::AnnouncementSilence(std::string_view aDatabase,
                                                  std::string_view aSlot,
                                                  Instant aNow) const
{
  const SlotView* view = this->Find(aDatabase, aSlot);
  return aNow - std::max(this->since, view == nullptr ? Instant{} : view->announcedAt);
}

Duration AnnouncementMonitor::PrimarySilence(std::string_view aDatabase,
                                             std::string_view aSlot,
                                             std::uint64_t aTerm,
                                             Instant aNow) const
{
  const SlotView* view = this->Find(aDatabase, aSlot);
  const bool isKnown = view != nullptr && view->primaryTerm == aTerm;
  return aNow - std::max(this->since, isKnown ? view->primaryAt : Instant{});
}

bool AnnouncementMonitor::IsReachable(std::string_view aDatabase,
                                      std::string_view aSlot,
                                      Duration aWithin,
                                      Instant aNow) const
{
  const SlotView* view = this->Find(aDatabase, aSlot);
  return view != nullptr && aNow - std::max(view->announcedAt, view->reachedAt) < aWithin;
}

LogPosition AnnouncementMonitor::ReceivedPosition(std::string_view aDatabase,
                                                  std::string_view aSlot) const
{
  const SlotView* view = this->Find(aDatabase, aSlot);
  return view == nullptr ? LogPosition{} : view->received;
}

} // namespace oleanderledge
