#include "oleanderledge/control/ControlLeader.hpp"

#include "oleanderledge/control/SlotReconciler.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr std::string_view kSlotKeyPrefix = "slot:";
constexpr std::string_view kInstanceKeyPrefix = "instance:";
/// Each steady database gets a step once in this number of ticks, that is every 100 ms.
constexpr std::uint64_t kTicksPerSteadyStep = 5;
/// Minimum time between two log lines with the same verdict on one sender.
constexpr Duration kVerdictLogInterval = std::chrono::seconds(10);
/// Senders whose last log line is remembered. Only some lines are repeated if they are forgotten.
constexpr std::size_t kMaxLoggedVerdicts = 8192;

std::string_view NameOf(IncarnationVerdict aVerdict)
{
  switch (aVerdict) {
    case IncarnationVerdict::First:
      return "first";
    case IncarnationVerdict::Current:
      return "current";
    case IncarnationVerdict::Restarted:
      return "restarted";
    case IncarnationVerdict::Duplicate:
      return "duplicate";
    case IncarnationVerdict::OldSequence:
      return "old_sequence";
    case IncarnationVerdict::OldIncarnation:
      return "old_incarnation";
    case IncarnationVerdict::Clone:
      break;
  }
  return "clone";
}

bool IsSame(const InstanceInfo& aLeft, const InstanceInfo& aRight)
{
  return aLeft.incarnation == aRight.incarnation && aLeft.role == aRight.role &&
         aLeft.zone == aRight.zone && aLeft.linkAddress == aRight.linkAddress &&
         aLeft.httpAddress == aRight.httpAddress && aLeft.leaving == aRight.leaving;
}

std::string InstanceKey(std::string_view aId)
{
  return std::string(kInstanceKeyPrefix) + std::string(aId);
}

} // namespace

ControlLeader::ControlLeader(const ControlState& aState,
                             const ControlTimings& aTimings,
                             const ControlLimits& aLimits)
  : state(aState)
  , timings(aTimings)
  , limits(aLimits)
  , heartbeats(aTimings)
  , leases(aTimings)
  , coordinator(this->state,
                this->heartbeats,
                this->slots,
                this->ownership,
                this->leases,
                this->timings)
{
}

void ControlLeader::OnLeadershipGained(Instant aNow, ControlActions& aActions)
{
  this->isLeading = true;
  this->pendingKeys.clear();
  this->heartbeats.Reset(aNow);
  this->slots.ResetSilence(aNow);
  this->leases.Reset(aNow);
  this->coordinator.Reset(aNow);
  aActions.emplace_back(
    LogAction{ LogEvent::ControlLeading,
               "directory_version=" + std::to_string(this->state.DirectoryVersion()) });
}

void ControlLeader::OnLeadershipLost()
{
  this->isLeading = false;
  this->pendingKeys.clear();
}

HeartbeatReply ControlLeader::OnHeartbeat(const Heartbeat& aHeartbeat,
                                          bool aHasLeaderLease,
                                          Instant aNow,
                                          ControlActions& aActions)
{
  HeartbeatReply reply;
  reply.instance = aHeartbeat.instance.id;
  reply.incarnation = aHeartbeat.instance.incarnation;
  reply.sequence = aHeartbeat.sequence;
  reply.sentUs = aHeartbeat.sentUs;
  reply.committedVersion = this->state.DirectoryVersion();
  if (!this->isLeading || !aHasLeaderLease || aHeartbeat.instance.id.empty()) {
    return reply;
  }
  if (!this->HasRoomFor(reply.instance)) {
    aActions.emplace_back(LogAction{
      LogEvent::HeartbeatIrregular, "instance=" + reply.instance + " verdict=too_many_instances" });
    return reply;
  }
  const IncarnationVerdict verdict = this->heartbeats.Observe(aHeartbeat, aNow);
  this->LogVerdict(
    LogEvent::HeartbeatIrregular, "instance=" + reply.instance, verdict, aNow, aActions);
  if (verdict == IncarnationVerdict::OldIncarnation || verdict == IncarnationVerdict::Clone) {
    return reply;
  }
  reply.accepted = true;
  this->ownership.Refresh(this->state.Databases(), this->state.DirectoryVersion());
  if (IsAccepted(verdict)) {
    this->ProcessOwnerReports(aHeartbeat, aNow);
    this->StepInstance(*this->heartbeats.Find(reply.instance), aActions);
    const std::set<std::string> owned = this->ownership.DatabasesOf(reply.instance);
    for (const std::string& name : owned) {
      this->StepDatabase(name, aNow, aActions);
    }
  }
  this->GrantLeases(aHeartbeat, aNow, reply);
  return reply;
}

bool ControlLeader::HasRoomFor(std::string_view aInstance) const
{
  const auto& recorded = this->state.Instances();
  if (this->heartbeats.Find(aInstance) != nullptr || recorded.contains(aInstance)) {
    return true;
  }
  return this->heartbeats.Views().size() < this->limits.instances &&
         recorded.size() < this->limits.instances;
}

bool ControlLeader::HasRoomFor(const Announcement& aAnnouncement) const
{
  const AnnouncementMonitor::SlotViews* slots = this->slots.FindDatabase(aAnnouncement.database);
  if (slots == nullptr) {
    return this->slots.Databases().size() < this->limits.databases;
  }
  return slots->contains(aAnnouncement.slot) || slots->size() < this->limits.slotsPerDatabase;
}

ControlLeader::LoggedVerdict& ControlLeader::LoggedVerdictOf(const std::string& aName)
{
  if (this->loggedVerdicts.size() >= kMaxLoggedVerdicts && !this->loggedVerdicts.contains(aName)) {
    this->loggedVerdicts.clear();
  }
  return this->loggedVerdicts[aName];
}

void ControlLeader::ProcessOwnerReports(const Heartbeat& aHeartbeat, Instant aNow)
{
  for (const OwnerReport& report : aHeartbeat.owned) {
    const DatabaseRecord* record = this->state.Databases().Find(report.database);
    if (record == nullptr || record->row.owner != aHeartbeat.instance.id ||
        record->row.ownerIncarnation != aHeartbeat.instance.incarnation ||
        record->row.ownerEpoch != report.epoch) {
      continue;
    }
    if (report.released) {
      this->leases.Release(report.database, report.epoch, aNow);
    }
    for (const SlotObservation& observation : report.slots) {
      this->slots.RecordObservation(report.database, observation, aNow);
    }
  }
}

void ControlLeader::GrantLeases(const Heartbeat& aHeartbeat, Instant aNow, HeartbeatReply& aReply)
{
  for (const std::string& name : this->ownership.DatabasesOf(aReply.instance)) {
    const DatabaseRecord* record = this->state.Databases().Find(name);
    if (record == nullptr || record->row.ownerIncarnation != aHeartbeat.instance.incarnation ||
        this->leases.IsReleased(name, record->row.ownerEpoch)) {
      continue;
    }
    const DatabaseRow& row = record->row;
    if (row.phase == FailoverPhase::Fencing) {
      // A lease length of 0 orders the owner to release the lease.
      aReply.leases.push_back({ name, row.ownerEpoch, row.term, 0 });
      continue;
    }
    if (!this->coordinator.CanGrantLease(*record)) {
      continue;
    }
    if (auto grant = this->leases.Grant(name, row.ownerEpoch, row.term, aNow)) {
      aReply.leases.push_back(std::move(*grant));
    }
  }
}

IncarnationVerdict ControlLeader::OnAnnouncement(const Announcement& aAnnouncement,
                                                 Instant aNow,
                                                 ControlActions& aActions)
{
  if (!this->HasRoomFor(aAnnouncement)) {
    aActions.emplace_back(
      LogAction{ LogEvent::AnnouncementRejected,
                 "database=" + aAnnouncement.database + " reason=too_many_databases_or_slots" });
    return IncarnationVerdict::Duplicate;
  }
  const IncarnationVerdict verdict = this->slots.Observe(aAnnouncement, aNow);
  const std::string name = "database=" + aAnnouncement.database + " slot=" + aAnnouncement.slot;
  this->LogVerdict(LogEvent::AnnouncementIrregular, name, verdict, aNow, aActions);
  if (!IsAccepted(verdict)) {
    return verdict;
  }
  const DatabaseRecord* record = this->state.Databases().Find(aAnnouncement.database);
  if (record != nullptr && aAnnouncement.isPrimary && aAnnouncement.term < record->row.term) {
    LoggedVerdict& logged = this->LoggedVerdictOf("old term " + name);
    if (logged.loggedAt == Instant{} || aNow - logged.loggedAt >= kVerdictLogInterval) {
      logged.loggedAt = aNow;
      aActions.emplace_back(LogAction{ LogEvent::AnnouncementOldTerm,
                                       name + " term=" + std::to_string(aAnnouncement.term) +
                                         " present_term=" + std::to_string(record->row.term) });
    }
  }
  if (this->isLeading) {
    // Most announcements change nothing, so only those that may need a step cause one. Silent slots
    // are detected in OnTick().
    const SlotRow* slot = record == nullptr ? nullptr : FindSlot(record->row, aAnnouncement.slot);
    const bool isRelevant =
      slot == nullptr || slot->silent || slot->departing != aAnnouncement.departing ||
      slot->address != aAnnouncement.address || record->row.phase != FailoverPhase::Steady;
    if (isRelevant) {
      this->StepDatabase(aAnnouncement.database, aNow, aActions);
    }
  }
  return verdict;
}

void ControlLeader::OnTick(Instant aNow, ControlActions& aActions)
{
  if (!this->isLeading) {
    if (this->tickCount++ % kTicksPerSteadyStep != 0) {
      return;
    }
    for (const auto& [name, record] : this->state.Databases().Records()) {
      this->coordinator.UpdateProgress(record, aNow);
    }
    return;
  }
  this->ownership.Refresh(this->state.Databases(), this->state.DirectoryVersion());
  // Spreads the steps of steady databases over several ticks: in the largest deployment, a step of
  // all 2,500 databases in each tick would use a large part of a core. Heartbeats and announcements
  // that report a change cause a step of their database at once.
  const std::uint64_t turn = this->tickCount++ % kTicksPerSteadyStep;
  std::uint64_t position = 0;
  for (const auto& [name, record] : this->state.Databases().Records()) {
    const bool isSteady = record.row.phase == FailoverPhase::Steady;
    if (!isSteady || position++ % kTicksPerSteadyStep == turn) {
      this->StepDatabase(name, aNow, aActions);
    }
  }
  if (turn != 0) {
    return;
  }
  for (const auto& [name, views] : this->slots.Databases()) {
    if (this->state.Databases().Find(name) == nullptr) {
      this->StepDatabase(name, aNow, aActions);
    }
  }
  this->ForgetDeadInstances(aNow, aActions);
}

void ControlLeader::StepDatabase(std::string_view aName, Instant aNow, ControlActions& aActions)
{
  const DatabaseRecord* record = this->state.Databases().Find(aName);
  if (record != nullptr) {
    this->coordinator.Step(*record, aNow, aActions);
    if (this->coordinator.IsProposalPending(aName)) {
      return;
    }
  }
  const std::string key = std::string(kSlotKeyPrefix) + std::string(aName);
  if (this->pendingKeys.contains(key)) {
    return;
  }
  if (auto change = SlotReconciler::NextChange(aName, record, this->slots, this->timings, aNow)) {
    this->pendingKeys.insert(key);
    aActions.emplace_back(ProposeAction{ key, std::move(*change) });
  }
}

void ControlLeader::StepInstance(const InstanceView& aView, ControlActions& aActions)
{
  const InstanceInfo& instance = aView.last.instance;
  const auto found = this->state.Instances().find(instance.id);
  const std::string key = InstanceKey(instance.id);
  if ((found != this->state.Instances().end() && IsSame(found->second, instance)) ||
      this->pendingKeys.contains(key)) {
    return;
  }
  this->pendingKeys.insert(key);
  aActions.emplace_back(ProposeAction{ key, RegisterInstance{ instance } });
}

void ControlLeader::ForgetDeadInstances(Instant aNow, ControlActions& aActions)
{
  // At the limit, processes that are dead make room for new ones at once.
  const bool isFull = this->heartbeats.Views().size() >= this->limits.instances ||
                      this->state.Instances().size() >= this->limits.instances;
  const Duration forgottenAfter =
    isFull ? this->timings.proxyDeadAfter : this->timings.instanceForgottenAfter;
  for (const auto& [id, instance] : this->state.Instances()) {
    const InstanceView* view = this->heartbeats.Find(id);
    const Instant lastHeartbeatAt = std::max(this->heartbeats.ObservingSince(),
                                             view == nullptr ? Instant{} : view->lastHeartbeatAt);
    const std::string key = InstanceKey(id);
    if (aNow - lastHeartbeatAt < forgottenAfter || this->pendingKeys.contains(key) ||
        !this->ownership.DatabasesOf(id).empty()) {
      continue;
    }
    this->heartbeats.Forget(id);
    this->pendingKeys.insert(key);
    aActions.emplace_back(ProposeAction{ key, ForgetInstance{ id, instance.incarnation } });
  }
}

void ControlLeader::OnProposalDone(const std::string& aKey,
                                   bool aIsDefinite,
                                   Instant aNow,
                                   ControlActions& aActions)
{
  this->pendingKeys.erase(aKey);
  std::string_view name = aKey;
  if (name.starts_with(kSlotKeyPrefix)) {
    name.remove_prefix(kSlotKeyPrefix.size());
  } else if (name.starts_with(kInstanceKeyPrefix)) {
    return;
  } else {
    this->coordinator.OnProposalDone(name, aIsDefinite);
  }
  if (this->isLeading) {
    this->ownership.Refresh(this->state.Databases(), this->state.DirectoryVersion());
    this->StepDatabase(name, aNow, aActions);
  }
}

void ControlLeader::OnBackendAnswer(const std::string& aDatabase,
                                    const std::string& aSlot,
                                    const Result<PlatformStatus>& aAnswer,
                                    Instant aNow,
                                    ControlActions& aActions)
{
  this->coordinator.OnCallDone(aDatabase, aSlot);
  if (!aAnswer) {
    return;
  }
  this->slots.RecordStatus(aDatabase, aSlot, aAnswer.value(), aNow);
  if (aAnswer.value().isPrimary) {
    this->coordinator.OnPromoted(aDatabase, aSlot, aAnswer.value().term);
  }
  if (this->isLeading) {
    this->StepDatabase(aDatabase, aNow, aActions);
  }
}

std::vector<std::string> ControlLeader::ProxiesBehind(std::uint64_t aVersion, Instant aNow) const
{
  std::vector<std::string> behind;
  for (const auto& [id, instance] : this->state.Instances()) {
    if (instance.role != InstanceRole::Proxy ||
        this->heartbeats.HealthOf(id, instance.incarnation, aNow) == InstanceHealth::Dead) {
      continue;
    }
    const InstanceView* view = this->heartbeats.Find(id);
    if (view == nullptr || view->last.directoryVersion < aVersion) {
      behind.push_back(id);
    }
  }
  return behind;
}

std::uint32_t ControlLeader::CountProxies(Instant aNow) const
{
  std::uint32_t count = 0;
  for (const auto& [id, view] : this->heartbeats.Views()) {
    const InstanceInfo& instance = view.last.instance;
    const bool isUsable = this->heartbeats.IsUsable(id, instance.incarnation, aNow);
    count += instance.role == InstanceRole::Proxy && isUsable ? 1 : 0;
  }
  for (const auto& [id, instance] : this->state.Instances()) {
    const bool isUnknown =
      this->heartbeats.HealthOf(id, instance.incarnation, aNow) == InstanceHealth::Unknown;
    count += instance.role == InstanceRole::Proxy && !instance.leaving && isUnknown ? 1 : 0;
  }
  return count;
}

void ControlLeader::LogVerdict(LogEvent aEvent,
                               const std::string& aName,
                               IncarnationVerdict aVerdict,
                               Instant aNow,
                               ControlActions& aActions)
{
  if (aVerdict == IncarnationVerdict::First || aVerdict == IncarnationVerdict::Current) {
    return;
  }
  LoggedVerdict& logged = this->LoggedVerdictOf(aName);
  if (logged.loggedAt != Instant{} && logged.verdict == aVerdict &&
      aNow - logged.loggedAt < kVerdictLogInterval) {
    return;
  }
  logged = { aVerdict, aNow };
  aActions.emplace_back(LogAction{ aEvent, aName + " verdict=" + std::string(NameOf(aVerdict)) });
}

} // namespace oleanderledge
