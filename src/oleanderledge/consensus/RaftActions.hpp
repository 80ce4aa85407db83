#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/consensus/PersistentState.hpp"
#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleanderledge {

/// Sends a message to a member if a link to it is open. Messages may be lost.
struct SendAction
{
  std::string to; ///< Member id.
  Message message;
};

/// Writes a batch durably and then calls RaftNode::OnPersisted() with its sequence. If the write
/// fails, the instance must stop, because the state in memory is then ahead of the disk.
struct PersistAction
{
  PersistBatch batch;
};

/// Applies a committed entry. Entries of kind Command go to the replicated state.
struct ApplyAction
{
  LogEntry entry;
};

/// Replaces the replicated state by a durable snapshot, stored or received from the leader.
struct RestoreAction
{
  RaftSnapshot snapshot;
};

/// The outcome of RaftNode::Propose() or ChangeMembers(). On success it follows the ApplyAction of
/// the entry.
struct ProposalResultAction
{
  std::uint64_t proposal = 0; ///< Id that was passed with the proposal.
  ResultCode code = ResultCode::Ok;
  std::uint64_t index = 0; ///< Valid if ok.
  std::string message;     ///< Detail if not ok.
};

/// This member leads and has emitted ApplyAction for all entries of earlier terms.
struct LeadershipGainedAction
{
  std::uint64_t term = 0;
};

struct LeadershipLostAction
{};

/// A list of members was committed, by a membership entry or as part of a snapshot.
struct MembersCommittedAction
{
  std::uint64_t index = 0;
  std::vector<ControlMember> members;
};

/// The leader sent entries that conflict with committed ones. This happens only if a member lost
/// durable state. The instance must stop.
struct FaultAction
{
  std::string reason;
};

using RaftAction = std::variant<SendAction,
                                PersistAction,
                                ApplyAction,
                                RestoreAction,
                                ProposalResultAction,
                                LeadershipGainedAction,
                                LeadershipLostAction,
                                MembersCommittedAction,
                                FaultAction>;

/// Actions, to be carried out in this order.
using RaftActions = std::vector<RaftAction>;

} // namespace oleanderledge
