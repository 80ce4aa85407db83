#include "oleanderledge/base/LogEvent.hpp"

#include "oleanderledge/base/LogLimiter.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <string>

namespace oleanderledge {

namespace {

using enum LogLevel;

constexpr std::array kLogEvents = {
  LogEventInfo{ LogEvent::SettingsRejected, "settings_rejected", Error },
  LogEventInfo{ LogEvent::SettingsReloaded, "settings_reloaded", Info },
  LogEventInfo{ LogEvent::LinkConnected, "link_connected", Info },
  LogEventInfo{ LogEvent::LinkClosed, "link_closed", Info },
  LogEventInfo{ LogEvent::LinkRejected, "link_rejected", Warning },
  LogEventInfo{ LogEvent::LeadershipGained, "leadership_gained", Info },
  LogEventInfo{ LogEvent::LeadershipLost, "leadership_lost", Warning },
  LogEventInfo{ LogEvent::MembersCommitted, "members_committed", Info },
  LogEventInfo{ LogEvent::GroupFounded, "group_founded", Info },
  LogEventInfo{ LogEvent::ConsensusStopped, "consensus_stopped", Error },
  LogEventInfo{ LogEvent::SnapshotRestored, "snapshot_restored", Info },
  LogEventInfo{ LogEvent::MembershipChangeStarted, "membership_change_started", Info },
  LogEventInfo{ LogEvent::LeaderMissing, "leader_missing", Warning },
  LogEventInfo{ LogEvent::LeaderUnconfirmed, "leader_unconfirmed", Warning },
  LogEventInfo{ LogEvent::LeaderFollowed, "leader_followed", Info },
  LogEventInfo{ LogEvent::LearnerWaiting, "learner_waiting", Info },
  LogEventInfo{ LogEvent::VoterContactLost, "voter_contact_lost", Warning },
  LogEventInfo{ LogEvent::VoterContactRestored, "voter_contact_restored", Info },
  LogEventInfo{ LogEvent::TornRecordCut, "torn_record_cut", Warning },
  LogEventInfo{ LogEvent::StorageFailed, "storage_failed", Error },
  LogEventInfo{ LogEvent::StorageOpened, "storage_opened", Info },
  LogEventInfo{ LogEvent::StorageFull, "storage_full", Error },
  LogEventInfo{ LogEvent::StorageRecovered, "storage_recovered", Info },
  LogEventInfo{ LogEvent::StorageSlow, "storage_slow", Warning },
  LogEventInfo{ LogEvent::ControlLeading, "control_leading", Info },
  LogEventInfo{ LogEvent::ControlNotLeading, "control_not_leading", Warning },
  LogEventInfo{ LogEvent::ControlCommandUnknown, "control_command_unknown", Error },
  LogEventInfo{ LogEvent::HeartbeatIrregular, "heartbeat_irregular", Warning },
  LogEventInfo{ LogEvent::AnnouncementIrregular, "announcement_irregular", Warning },
  LogEventInfo{ LogEvent::AnnouncementOldTerm, "announcement_old_term", Warning },
  LogEventInfo{ LogEvent::OwnerAssigned, "owner_assigned", Info },
  LogEventInfo{ LogEvent::DatabaseFencing, "database_fencing", Warning },
  LogEventInfo{ LogEvent::PromotionDecided, "promotion_decided", Info },
  LogEventInfo{ LogEvent::DatabaseWaiting, "database_waiting", Error },
  LogEventInfo{ LogEvent::FailoverCompleted, "failover_completed", Info },
  LogEventInfo{ LogEvent::PlannedChangeStarted, "planned_change_started", Info },
  LogEventInfo{ LogEvent::PlannedChangeAbandoned, "planned_change_abandoned", Warning },
  LogEventInfo{ LogEvent::InSyncChanged, "in_sync_changed", Info },
  LogEventInfo{ LogEvent::BackendCallFailed, "backend_call_failed", Warning },
  LogEventInfo{ LogEvent::OperatorChange, "operator_change", Info },
  LogEventInfo{ LogEvent::AnnouncementRejected, "announcement_rejected", Warning },
  LogEventInfo{ LogEvent::BackendRegistered, "backend_registered", Info },
  LogEventInfo{ LogEvent::BackendRemoved, "backend_removed", Info },
  LogEventInfo{ LogEvent::RoutesStored, "routes_stored", Info },
  LogEventInfo{ LogEvent::RoutesRejected, "routes_rejected", Warning },
  LogEventInfo{ LogEvent::ServicePrimaryDecided, "service_primary_decided", Info },
  LogEventInfo{ LogEvent::ServicePromotionAnswered, "service_promotion_answered", Info },
  LogEventInfo{ LogEvent::ServiceWithoutCandidate, "service_without_candidate", Warning },
  LogEventInfo{ LogEvent::ServicePrimaryClosing, "service_primary_closing", Info },
  LogEventInfo{ LogEvent::ServicePrimaryKept, "service_primary_kept", Info },
  LogEventInfo{ LogEvent::ServiceDeparturesSettled, "service_departures_settled", Info },
  LogEventInfo{ LogEvent::ServicePositionsMissing, "service_positions_missing", Warning },
  LogEventInfo{ LogEvent::RequestWithoutLeader, "request_without_leader", Warning },
  LogEventInfo{ LogEvent::BackendReinstated, "backend_reinstated", Warning },
  LogEventInfo{ LogEvent::BackendSilence, "backend_silence", Warning },
  LogEventInfo{ LogEvent::OwnershipChanged, "ownership_changed", Info },
  LogEventInfo{ LogEvent::OwnershipReleased, "ownership_released", Info },
  LogEventInfo{ LogEvent::OwnerLeaseExpired, "owner_lease_expired", Warning },
  LogEventInfo{ LogEvent::BackendConnectionLost, "backend_connection_lost", Warning },
  LogEventInfo{ LogEvent::BackendRefusedConnection, "backend_refused_connection", Warning },
  LogEventInfo{ LogEvent::CallerRejected, "caller_rejected", Warning },
  LogEventInfo{ LogEvent::CallerClosed, "caller_closed", Warning },
  LogEventInfo{ LogEvent::PeerLinkSilent, "peer_link_silent", Warning },
  LogEventInfo{ LogEvent::PeerLinkRejected, "peer_link_rejected", Warning },
  LogEventInfo{ LogEvent::EntryStopping, "entry_stopping", Info },
  LogEventInfo{ LogEvent::StatementFailed, "statement_failed", Warning },
  LogEventInfo{ LogEvent::StatementRetried, "statement_retried", Info },
  LogEventInfo{ LogEvent::BackendRowReceived, "backend_row_received", Info },
  LogEventInfo{ LogEvent::DrainingBackendUsed, "draining_backend_used", Warning },
  LogEventInfo{ LogEvent::OrganisationRefused, "organisation_refused", Warning },
  LogEventInfo{ LogEvent::ClientClosed, "client_closed", Warning },
  LogEventInfo{ LogEvent::BackendPaceEnded, "backend_pace_ended", Info },
  LogEventInfo{ LogEvent::DaemonStarted, "daemon_started", Info },
  LogEventInfo{ LogEvent::DaemonStopping, "daemon_stopping", Info },
  LogEventInfo{ LogEvent::DaemonStopped, "daemon_stopped", Info },
  LogEventInfo{ LogEvent::ListenFailed, "listen_failed", Error },
  LogEventInfo{ LogEvent::ControlAddressTried, "control_address_tried", Info },
};

/// Longer details are cut: they may contain names that a client chose, of up to 1 MiB.
constexpr std::size_t kMaxDetailBytes = 4096;

/// Guards `limiter`: the control thread and the traffic threads write log lines.
std::mutex limiterMutex;
LogLimiter limiter;

spdlog::level::level_enum ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

} // namespace

std::span<const LogEventInfo> AllLogEvents()
{
  return kLogEvents;
}

void WriteLog(LogEvent aEvent, std::string_view aDetail)
{
  const auto* found = std::lower_bound(
    kLogEvents.begin(), kLogEvents.end(), aEvent, [](const LogEventInfo& aEntry, LogEvent aWanted) {
      return aEntry.event < aWanted;
    });
  if (found == kLogEvents.end() || found->event != aEvent) {
    spdlog::error("E{} unregistered log event: {}", static_cast<unsigned>(aEvent), aDetail);
    return;
  }
  std::optional<std::uint64_t> droppedLines;
  {
    const std::lock_guard lock(limiterMutex);
    droppedLines = limiter.Admit(aEvent, MonotonicNow());
  }
  if (!droppedLines) {
    return;
  }
  const std::string suffix = *droppedLines == 0 ? "" : " left_out=" + std::to_string(*droppedLines);
  spdlog::log(ToLibraryLevel(found->level),
              "E{} {} {}{}",
              static_cast<unsigned>(aEvent),
              found->name,
              aDetail.substr(0, kMaxDetailBytes),
              suffix);
}

} // namespace oleanderledge
