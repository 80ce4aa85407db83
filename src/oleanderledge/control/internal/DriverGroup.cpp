#include "oleanderledge/control/internal/DriverGroup.hpp"

namespace oleanderledge {

namespace {

ConsensusDriverSettings ToDriverSettings(const ControlSettings& aSettings)
{
  ConsensusDriverSettings driver;
  driver.dataFolder = aSettings.dataFolder;
  for (const ControlMember& member : aSettings.initialMembers) {
    driver.initialMembers.push_back({ member.instance, member.linkAddress });
  }
  driver.peerAddresses = aSettings.peers;
  driver.raft.heartbeatInterval = aSettings.memberHeartbeat;
  driver.raft.electionTimeoutMin = aSettings.electionTimeoutMin;
  driver.raft.electionTimeoutMax = aSettings.electionTimeoutMax;
  driver.latency = { aSettings.latencyBetweenZones,
                     aSettings.latencyBetweenRegions,
                     Duration{ 0 } };
  return driver;
}

} // namespace

DriverGroup::DriverGroup(const ControlSettings& aSettings,
                         ReplicatedState& aState,
                         LeadershipListener& aListener)
  : driver(aSettings.instance, ToDriverSettings(aSettings), this->files, aState, aListener, nullptr)
{
}

Result<void> DriverGroup::Start(MessageHandler aOnMessage, FailureHandler aOnFailure)
{
  QObject::connect(
    &this->driver, &ConsensusDriver::OtherMessage, &this->driver, std::move(aOnMessage));
  QObject::connect(&this->driver, &ConsensusDriver::Failed, &this->driver, std::move(aOnFailure));
  return this->driver.Start();
}

} // namespace oleanderledge
