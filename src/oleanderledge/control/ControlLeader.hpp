#pragma once

#include "oleanderledge/control/AnnouncementMonitor.hpp"
#include "oleanderledge/control/ControlAction.hpp"
#include "oleanderledge/control/ControlLimits.hpp"
#include "oleanderledge/control/ControlState.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/FailoverCoordinator.hpp"
#include "oleanderledge/control/HeartbeatMonitor.hpp"
#include "oleanderledge/control/LeaseTable.hpp"
#include "oleanderledge/control/OwnershipIndex.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Decisions of a control member about databases, slots and instances. Performs no I/O: takes
/// events and the time, returns actions.
///
/// A member that is not leader processes announcements and the log too, so that it can take over.
/// Its only actions are log lines.
class ControlLeader
{
public:
  ControlLeader(const ControlState& aState,
                const ControlTimings& aTimings,
                const ControlLimits& aLimits = {});

  ControlLeader(const ControlLeader&) = delete;
  ControlLeader& operator=(const ControlLeader&) = delete;

  void OnLeadershipGained(Instant aNow, ControlActions& aActions);
  void OnLeadershipLost();
  bool IsLeading() const { return this->isLeading; }

  /// Handles a heartbeat that was sent directly or relayed. `aHasLeaderLease` is the result of
  /// ReplicatedLog::HasLeaderLease(); if it is false, the reply has `accepted` unset and no leases.
  HeartbeatReply OnHeartbeat(const Heartbeat& aHeartbeat,
                             bool aHasLeaderLease,
                             Instant aNow,
                             ControlActions& aActions);

  /// Handles an announcement. Returns how it relates to the earlier ones of the slot.
  IncarnationVerdict OnAnnouncement(const Announcement& aAnnouncement,
                                    Instant aNow,
                                    ControlActions& aActions);

  /// Called every 20 ms.
  void OnTick(Instant aNow, ControlActions& aActions);

  /// A proposal ended. `aIsDefinite` is false if it may still be committed.
  void OnProposalDone(const std::string& aKey,
                      bool aIsDefinite,
                      Instant aNow,
                      ControlActions& aActions);

  /// A promotion or status call ended. `aAnswer` holds an error if the call failed.
  void OnBackendAnswer(const std::string& aDatabase,
                       const std::string& aSlot,
                       const Result<PlatformStatus>& aAnswer,
                       Instant aNow,
                       ControlActions& aActions);

  /// Number of proxies that are alive and not leaving. Until a new leader has heard from a
  /// registered proxy, or could have, the proxy counts as alive.
  std::uint32_t CountProxies(Instant aNow) const;
  const HeartbeatMonitor& Heartbeats() const { return this->heartbeats; }
  const AnnouncementMonitor& Slots() const { return this->slots; }

  /// Ids of the registered proxies that may not use version `aVersion` of the directory or of the
  /// class configuration yet; both are log indexes. These are the proxies that reported an older
  /// directory version or sent no heartbeat to this leader yet. Includes leaving proxies and those
  /// of unknown health, but not dead ones.
  std::vector<std::string> ProxiesBehind(std::uint64_t aVersion, Instant aNow) const;

private:
  /// Last logged verdict on the messages of one sender; avoids repeated log lines.
  struct LoggedVerdict
  {
    IncarnationVerdict verdict = IncarnationVerdict::Current;
    Instant loggedAt{};
  };

  void StepDatabase(std::string_view aName, Instant aNow, ControlActions& aActions);
  /// Proposes to register an instance that is new or has changed.
  void StepInstance(const InstanceView& aView, ControlActions& aActions);
  /// Proposes to remove instances that sent no heartbeat for `instanceForgottenAfter` and own no
  /// database.
  void ForgetDeadInstances(Instant aNow, ControlActions& aActions);
  /// Uses the reports of databases that the sender owns in its current epoch.
  void ProcessOwnerReports(const Heartbeat& aHeartbeat, Instant aNow);
  void GrantLeases(const Heartbeat& aHeartbeat, Instant aNow, HeartbeatReply& aReply);
  void LogVerdict(LogEvent aEvent,
                  const std::string& aName,
                  IncarnationVerdict aVerdict,
                  Instant aNow,
                  ControlActions& aActions);

  /// True if a process is known, or there is room for another one.
  bool HasRoomFor(std::string_view aInstance) const;
  /// The same for an announced slot.
  bool HasRoomFor(const Announcement& aAnnouncement) const;
  /// The entry of a sender in `loggedVerdicts`.
  LoggedVerdict& LoggedVerdictOf(const std::string& aName);

  const ControlState& state;
  ControlTimings timings;
  ControlLimits limits;
  HeartbeatMonitor heartbeats;
  AnnouncementMonitor slots;
  LeaseTable leases;
  OwnershipIndex ownership;
  FailoverCoordinator coordinator;
  bool isLeading = false;
  std::uint64_t tickCount = 0;
  std::set<std::string> pendingKeys; ///< Keys of pending proposals about slots and instances.
  /// By sender as written to the log. Announcements of an old term have entries of their own.
  std::map<std::string, LoggedVerdict> loggedVerdicts;
};

} // namespace oleanderledge
