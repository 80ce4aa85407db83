#pragma once

#include "oleanderledge/control/AnnouncementMonitor.hpp"
#include "oleanderledge/control/ControlAction.hpp"
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

/// All decisions of a control member. Pure: events and the time go in, actions come out.
///
/// A member that does not lead follows announcements and the log, so that it can take over, and
/// returns no actions but log lines.
class ControlLeader
{
public:
  ControlLeader(const ControlState& aState, const ControlTimings& aTimings);

  ControlLeader(const ControlLeader&) = delete;
  ControlLeader& operator=(const ControlLeader&) = delete;

  void OnLeadershipGained(Instant aNow, ControlActions& aActions);
  void OnLeadershipLost();
  bool IsLeading() const { return this->isLeading; }

  /// A heartbeat, direct or relayed. `aHasLeaderLease` is ReplicatedLog::HasLeaderLease(): without
  /// it the reply is not accepted and grants nothing.
  HeartbeatReply OnHeartbeat(const Heartbeat& aHeartbeat,
                             bool aHasLeaderLease,
                             Instant aNow,
                             ControlActions& aActions);

  /// An announcement. Returns how it relates to the earlier ones of the slot.
  IncarnationVerdict OnAnnouncement(const Announcement& aAnnouncement,
                                    Instant aNow,
                                    ControlActions& aActions);

  /// Called every 20 ms.
  void OnTick(Instant aNow, ControlActions& aActions);

  /// A proposal ended. `aIsDefinite` is false if it may still be committed later.
  void OnProposalDone(const std::string& aKey,
                      bool aIsDefinite,
                      Instant aNow,
                      ControlActions& aActions);

  /// A promotion or status call ended.
  void OnBackendAnswer(const std::string& aDatabase,
                       const std::string& aSlot,
                       const Result<PlatformStatus>& aAnswer,
                       Instant aNow,
                       ControlActions& aActions);

  const HeartbeatMonitor& Heartbeats() const { return this->heartbeats; }
  const AnnouncementMonitor& Slots() const { return this->slots; }

  /// Proxies that do not have a directory version in force: live ones that reported an older one,
  /// and registered ones that this leader has not heard yet.
  std::vector<std::string> ProxiesBehind(std::uint64_t aVersion, Instant aNow) const;

private:
  /// Last verdict on the messages of a name and when it was logged, to log changes only.
  struct LoggedVerdict
  {
    IncarnationVerdict verdict = IncarnationVerdict::Current;
    Instant loggedAt{};
  };

  void StepDatabase(std::string_view aName, Instant aNow, ControlActions& aActions);
  void StepInstance(const InstanceView& aView, ControlActions& aActions);
  void ForgetDeadInstances(Instant aNow, ControlActions& aActions);
  void ProcessOwnerReports(const Heartbeat& aHeartbeat, Instant aNow);
  void GrantLeases(const Heartbeat& aHeartbeat, Instant aNow, HeartbeatReply& aReply);
  void LogVerdict(LogEvent aEvent,
                  const std::string& aName,
                  IncarnationVerdict aVerdict,
                  Instant aNow,
                  ControlActions& aActions);

  const ControlState& state;
  ControlTimings timings;
  HeartbeatMonitor heartbeats;
  AnnouncementMonitor slots;
  LeaseTable leases;
  OwnershipIndex ownership;
  FailoverCoordinator coordinator;
  bool isLeading = false;
  std::uint64_t tickCount = 0;
  std::set<std::string> pendingKeys; ///< Proposals about slots and instances.
  std::map<std::string, LoggedVerdict> loggedVerdicts;
};

} // namespace oleanderledge
