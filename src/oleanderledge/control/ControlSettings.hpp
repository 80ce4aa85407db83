#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/ServiceCoordinator.hpp"
#include "oleanderledge/link/Messages.hpp"

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
  /// Instances that found the group at its first start, the same list on all of them. Their member
  /// ids are not known yet and ignored. Later the list serves to find the group.
  std::vector<ControlMember> initialMembers;
  std::string dataFolder;
  /// Name by which the platform knows this instance.
  std::string nodeName;
  /// Voters to keep; 0: as many as there are initial members.
  std::size_t voterGoal = 0;
  /// False: the group exists already, so that this instance only joins it.
  bool mayFoundGroup = true;
  /// A silent voter is replaced after this time if a learner has caught up.
  Duration voterLostAfter = std::chrono::seconds(10);

  ControlTimings timings;
  ServiceTimings serviceTimings;
  /// Interval of the heartbeats between control members.
  Duration memberHeartbeat = std::chrono::milliseconds(50);
  /// Election time-outs are drawn from this range.
  Duration electionTimeoutMin = std::chrono::milliseconds(300);
  Duration electionTimeoutMax = std::chrono::milliseconds(600);
  /// Limit of one promotion or status call to a backend server, with its connection set-up.
  Duration backendCallTimeout = std::chrono::milliseconds(500);
  /// User name for connections to backend servers.
  std::string backendUser = "oleanderledge";

  /// One-way delays added to links, and to backend calls by zone. Zero in production.
  Duration latencyBetweenZones{ 0 };
  Duration latencyBetweenRegions{ 0 };
};

} // namespace oleanderledge
