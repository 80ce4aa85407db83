#include "tests/control/LocalLog.hpp"

namespace oleanderledge {

LocalLog::LocalLog(ControlMember aSelf, ReplicatedState& aState, LeadershipListener& aListener)
  : self(std::move(aSelf))
  , state(aState)
  , listener(aListener)
{
}

void LocalLog::Start()
{
  ++this->term;
  // The first entry of a term is empty.
  this->state.Apply(++this->appliedIndex, {});
  this->listener.OnLeadershipGained(this->term);
}

void LocalLog::Propose(std::string aCommand, ProposeCallback aCallback)
{
  if (this->term == 0) {
    aCallback(Fail(ResultCode::NotLeader, "the log has not been started"));
    return;
  }
  this->state.Apply(++this->appliedIndex, aCommand);
  aCallback(this->appliedIndex);
}

bool LocalLog::HasLeaderLease(Instant /*aNow*/) const
{
  return this->term != 0;
}

bool LocalLog::HasCurrentLeader(Instant /*aNow*/) const
{
  return this->term != 0;
}

ControlMember LocalLog::Leader() const
{
  return this->term != 0 ? this->self : ControlMember{};
}

void LocalLog::ChangeMembers(std::vector<ControlMember> /*aMembers*/, ProposeCallback aCallback)
{
  aCallback(Fail(ResultCode::UsageError, "a local log has one member"));
}

} // namespace oleanderledge
