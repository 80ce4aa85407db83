#include "oleanderledge/control/internal/ConsensusControlGroup.hpp"

namespace oleanderledge {

namespace {

ConsensusDriverSettings ToDriverSettings(const ControlSettings& aSettings)
{
  ConsensusDriverSettings driver;
  driver.dataFolder = aSettings.dataFolder;
  driver.peerAddresses = aSettings.peers;
  for (const ControlMember& member : aSettings.initialMembers) {
    if (aSettings.mayFoundGroup) {
      driver.initialMembers.push_back({ member.instance, member.linkAddress });
    } else {
      driver.peerAddresses.push_back(member.linkAddress);
    }
  }
  driver.maintenance.targetVoterCount =
    aSettings.voterGoal == 0 ? aSettings.initialMembers.size() : aSettings.voterGoal;
  driver.maintenance.lostVoterTimeout = aSettings.voterLostAfter;
  driver.raft.heartbeatInterval = aSettings.memberHeartbeat;
  driver.raft.electionTimeoutMin = aSettings.electionTimeoutMin;
  driver.raft.electionTimeoutMax = aSettings.electionTimeoutMax;
  driver.latency = { aSettings.latencyBetweenZones,
                     aSettings.latencyBetweenRegions,
                     Duration{ 0 } };
  return driver;
}

} // namespace

ConsensusControlGroup::ConsensusControlGroup(const ControlSettings& aSettings,
                                             ReplicatedState& aState,
                                             LeadershipListener& aListener)
  : driver(aSettings.instance, ToDriverSettings(aSettings), this->files, aState, aListener, nullptr)
{
}

Result<void> ConsensusControlGroup::Start(MessageHandler aOnMessage, FailureHandler aOnFailure)
{
  QObject::connect(&this->driver,
                   &ConsensusDriver::NonConsensusMessageReceived,
                   &this->driver,
                   std::move(aOnMessage));
  QObject::connect(&this->driver, &ConsensusDriver::Failed, &this->driver, std::move(aOnFailure));
  return this->driver.Start();
}

} // namespace oleanderledge
