#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

/// A replicated log for tests, with one member and no storage. Commits each command at once.
class LocalLog : public ReplicatedLog
{
public:
  LocalLog(ControlMember aSelf, ReplicatedState& aState, LeadershipListener& aListener);

  /// Becomes leader of the next term.
  void Start();

  void Propose(std::string aCommand, ProposeCallback aCallback) override;
  bool HasLeaderLease(Instant aNow) const override;
  bool HasCurrentLeader(Instant aNow) const override;
  bool HasConfirmedState() const override { return this->term > 0; }
  ControlMember Leader() const override;
  std::uint64_t Term() const override { return this->term; }
  std::uint64_t AppliedIndex() const override { return this->appliedIndex; }
  std::vector<ControlMember> Members() const override { return { this->self }; }
  void ChangeMembers(std::vector<ControlMember> aMembers, ProposeCallback aCallback) override;

private:
  ControlMember self;
  ReplicatedState& state;
  LeadershipListener& listener;
  std::uint64_t term = 0;
  std::uint64_t appliedIndex = 0;
};

} // namespace oleanderledge
