#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Part of a voter in the replacement of one voter by another. While a replacement is in progress,
/// decisions need a majority of the voters before it and a majority of the voters after it.
enum class ReplacementPart : std::uint8_t
{
  None = 0,
  Incoming = 1, ///< Counts only among the voters after the replacement.
  Outgoing = 2, ///< Counts only among the voters before the replacement.
};

/// A member of the control group: its identity, where it runs and whether it votes.
struct ControlMember
{
  std::string id;          ///< Member id, from the identity file of its data folder.
  std::string instance;    ///< Instance id.
  std::string linkAddress; ///< "ip:port".
  bool voter = false;      ///< False: learner.
  ReplacementPart replacement = ReplacementPart::None; ///< Of learners: None.

  bool operator==(const ControlMember&) const = default;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->id, this->instance, this->linkAddress, this->voter, this->replacement);
  }
};

/// The state machine that the log replicates. Implemented by the control state.
class ReplicatedState
{
public:
  virtual ~ReplicatedState() = default;
  /// Applies the committed command at `aIndex`. Must be deterministic, because every member applies
  /// the same commands in the same order.
  virtual void Apply(std::uint64_t aIndex, std::string_view aCommand) = 0;
  /// Encodes the whole state for a snapshot.
  virtual std::string Serialize() const = 0;
  /// Replaces the state by that of a snapshot taken at `aIndex`. Fails, with any code, if the
  /// snapshot is malformed; the log then stops with StorageCorrupt.
  virtual Result<void> Restore(std::uint64_t aIndex, std::string_view aSnapshot) = 0;
};

/// Receives changes of leadership.
class LeadershipListener
{
public:
  virtual ~LeadershipListener() = default;
  /// This member leads and has applied all entries of earlier terms.
  virtual void OnLeadershipGained(std::uint64_t aTerm) = 0;
  virtual void OnLeadershipLost() = 0;
};

/// Interface of the replicated log for the control logic. All calls must come from the control
/// thread.
class ReplicatedLog
{
public:
  /// Receives the index of the command once it is applied, or an error. After OutcomeUnknown the
  /// command may still be committed later; after any other error it is not.
  using ProposeCallback = std::function<void(Result<std::uint64_t>)>;

  virtual ~ReplicatedLog() = default;

  /// Replicates a command. Fails at once with NotLeader if this member does not lead, or with
  /// MessageTooLarge; fails with OutcomeUnknown if leadership is lost, or the log stops, before the
  /// command is applied.
  virtual void Propose(std::string aCommand, ProposeCallback aCallback) = 0;
  /// True while this member leads and a quorum has confirmed it within the leader lease, which is
  /// shorter than the minimum election timeout.
  virtual bool HasLeaderLease(Instant aNow) const = 0;
  /// True while this member holds the leader lease, or received a request of the leader within the
  /// minimum election timeout.
  virtual bool HasCurrentLeader(Instant aNow) const = 0;
  /// True if the applied state was confirmed by a leader since the start of this process. Before
  /// that, it may lack commands that were committed long ago.
  virtual bool HasConfirmedState() const = 0;
  /// The leader of the current term, or a member with an empty id if it is unknown.
  virtual ControlMember Leader() const = 0;
  virtual std::uint64_t Term() const = 0;
  /// Index of the last applied entry.
  virtual std::uint64_t AppliedIndex() const = 0;
  /// The latest committed list of members.
  virtual std::vector<ControlMember> Members() const = 0;
  /// Replaces the list of members; the lists may differ in one member only. Fails with NotLeader,
  /// MembershipChangePending, InvalidMembershipChange or OutcomeUnknown.
  virtual void ChangeMembers(std::vector<ControlMember> aMembers, ProposeCallback aCallback) = 0;
};

} // namespace oleanderledge
