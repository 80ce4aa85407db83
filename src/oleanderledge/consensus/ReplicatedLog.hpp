#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// A member of the control group as the others address it.
struct ControlMember
{
  std::string id;          ///< From the identity file of its data folder.
  std::string instance;    ///< Instance id.
  std::string linkAddress; ///< "ip:port".
  bool voter = false;      ///< False: learner.

  bool operator==(const ControlMember&) const = default;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->id, this->instance, this->linkAddress, this->voter);
  }
};

/// The state that the log replicates. Implemented by the control state.
class ReplicatedState
{
public:
  virtual ~ReplicatedState() = default;
  /// Applies a committed command. Deterministic; the same on every member.
  virtual void Apply(std::uint64_t aIndex, std::string_view aCommand) = 0;
  /// The whole state for a snapshot.
  virtual std::string Serialize() const = 0;
  /// Replaces the state by that of a snapshot taken at `aIndex`.
  virtual Result<void> Restore(std::uint64_t aIndex, std::string_view aSnapshot) = 0;
};

/// Told of changes of leadership.
class LeadershipListener
{
public:
  virtual ~LeadershipListener() = default;
  /// This member leads and has applied all entries of earlier terms.
  virtual void OnLeadershipGained(std::uint64_t aTerm) = 0;
  virtual void OnLeadershipLost() = 0;
};

/// The replicated log as the control logic sees it. Called in the control thread only.
class ReplicatedLog
{
public:
  /// Called with ok and the index after the command was applied, or with an error. An error
  /// `OutcomeUnknown` means that the command may still be committed later.
  using ProposeCallback = std::function<void(Result<std::uint64_t>)>;

  virtual ~ReplicatedLog() = default;

  /// Replicates a command. Fails at once with NotLeader if this member does not lead.
  virtual void Propose(std::string aCommand, ProposeCallback aCallback) = 0;
  /// True while this member leads and a quorum answered within the shortest election timeout.
  virtual bool HasLeaderLease(Instant aNow) const = 0;
  /// True while this member knows a leader that it heard from within the election timeout.
  virtual bool HasCurrentLeader(Instant aNow) const = 0;
  /// The known leader, or a member with an empty id.
  virtual ControlMember Leader() const = 0;
  virtual std::uint64_t Term() const = 0;
  /// Index of the last applied entry.
  virtual std::uint64_t AppliedIndex() const = 0;
  virtual std::vector<ControlMember> Members() const = 0;
  /// Adds a learner, or promotes or removes a member: one change at a time. Leader only.
  virtual void ChangeMembers(std::vector<ControlMember> aMembers, ProposeCallback aCallback) = 0;
};

} // namespace oleanderledge
