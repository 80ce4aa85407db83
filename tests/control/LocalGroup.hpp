#pragma once

#include "oleanderledge/control/internal/ControlGroup.hpp"
#include "tests/control/LocalLog.hpp"

namespace oleanderledge {

/// A control group with one member and no storage, for tests.
class LocalGroup : public ControlGroup
{
public:
  LocalGroup(ControlMember aSelf, ReplicatedState& aState, LeadershipListener& aListener)
    : log(std::move(aSelf), aState, aListener)
  {
  }

  Result<void> Start(MessageHandler /*aOnMessage*/, FailureHandler /*aOnFailure*/) override
  {
    this->log.Start();
    return boost::outcome_v2::success();
  }
  void BeginLeave() override {}
  bool HasLeft() const override { return true; }
  void Stop() override {}
  ReplicatedLog& Log() override { return this->log; }
  const ReplicatedLog& Log() const override { return this->log; }
  void SetPeerAddresses(std::vector<std::string> /*aAddresses*/) override {}
  void AddLink(LinkConnection* /*aLink*/) override {}
  bool SendToInstance(const std::string& /*aInstance*/, const Message& /*aMessage*/) override
  {
    return false;
  }

private:
  LocalLog log;
};

} // namespace oleanderledge
