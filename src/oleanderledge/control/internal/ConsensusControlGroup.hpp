#pragma once

#include "oleanderledge/consensus/internal/ConsensusDriver.hpp"
#include "oleanderledge/control/ControlSettings.hpp"
#include "oleanderledge/control/internal/ControlGroup.hpp"
#include "oleanderledge/storage/storage.hpp"

#include <memory>

namespace oleanderledge {

/// The control group on a ConsensusDriver, which keeps its log in the data folder of this instance.
class ConsensusControlGroup : public ControlGroup
{
public:
  ConsensusControlGroup(const ControlSettings& aSettings,
                        ReplicatedState& aState,
                        LeadershipListener& aListener);

  Result<void> Start(MessageHandler aOnMessage, FailureHandler aOnFailure) override;
  void BeginLeave() override { this->driver.BeginLeave(); }
  bool HasLeft() const override { return this->driver.HasLeft(); }
  void Stop() override { this->driver.Stop(); }
  ReplicatedLog& Log() override { return this->driver; }
  const ReplicatedLog& Log() const override { return this->driver; }
  VoterHealth Voters(Instant aNow) const override
  {
    const RaftNode* node = this->driver.Node();
    return node == nullptr ? VoterHealth{} : VoterHealthOf(*node, aNow);
  }
  void SetPeerAddresses(std::vector<std::string> aAddresses) override
  {
    this->driver.SetPeerAddresses(std::move(aAddresses));
  }
  void AddLink(LinkConnection* aLink) override { this->driver.AddLink(aLink); }
  bool SendToInstance(const std::string& aInstance, const Message& aMessage) override
  {
    return this->driver.SendToInstance(aInstance, aMessage);
  }

private:
  PosixFileSystem files;
  ConsensusDriver driver;
};

} // namespace oleanderledge
