#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/control/ControlLimits.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/ServiceCoordinator.hpp"
#include "oleanderledge/limits/limits.hpp"
#include "oleanderledge/link/Messages.hpp"
#include "oleanderledge/transport/HttpLimits.hpp"
#include "oleanderledge/transport/LinkLimits.hpp"

#include <string>
#include <vector>

namespace oleanderledge {

/// Settings of a control process.
struct ControlSettings
{
  /// Identity, zone and addresses of this process. The role is `Control`.
  InstanceInfo instance;
  /// Link addresses ("ip:port") of the other control processes.
  std::vector<std::string> peers;
  /// Instances that create the control group at its first start; the list is the same on all of
  /// them. Their member ids are not known yet and ignored. Later the list is used to find the
  /// group.
  std::vector<ControlMember> initialMembers;
  std::string dataFolder;
  /// Name of this instance in the platform.
  std::string nodeName;
  /// Number of voters to maintain; 0 means the number of initial members.
  std::size_t voterGoal = 0;
  /// If false, the group exists already and this instance only joins it.
  bool mayFoundGroup = true;
  /// A voter that was silent for this time is replaced by a learner that has caught up.
  Duration voterLostAfter = std::chrono::seconds(10);
  /// Longest time for which a planned stop waits until another member votes in place of this one.
  Duration leaveLimit = std::chrono::seconds(1);

  ControlTimings timings;
  ControlLimits limits;
  LinkLimits linkLimits;
  HttpLimits httpLimits;
  /// Directory updates of some MB may be queued for many proxies at once.
  BudgetLimits budgetLimits{ .bytes = std::uint64_t{ 96 } * 1024 * 1024 };
  ServiceTimings serviceTimings;
  /// Interval of the heartbeats between control members.
  Duration memberHeartbeat = std::chrono::milliseconds(50);
  /// Election timeouts are drawn at random from this range.
  Duration electionTimeoutMin = std::chrono::milliseconds(300);
  Duration electionTimeoutMax = std::chrono::milliseconds(600);
  /// Timeout of one promotion or status call to a backend server, including connecting.
  Duration backendCallTimeout = std::chrono::milliseconds(500);
  /// User name for connections to backend servers.
  std::string backendUser = "oleanderledge";

  /// Simulated one-way delays, added to links and, by zone, to calls to backend servers. Zero in
  /// production.
  Duration latencyBetweenZones{ 0 };
  Duration latencyBetweenRegions{ 0 };
};

} // namespace oleanderledge
