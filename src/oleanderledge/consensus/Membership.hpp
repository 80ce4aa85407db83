#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderledge {

/// The member with the id `aId`, or null.
const ControlMember* FindMember(const std::vector<ControlMember>& aMembers, std::string_view aId);

/// True if the list contains a voter with the id `aId`.
bool IsVoter(const std::vector<ControlMember>& aMembers, std::string_view aId);

std::size_t CountVoters(const std::vector<ControlMember>& aMembers);

/// Encodes a list of members as the command of a membership entry.
std::string EncodeMembers(const std::vector<ControlMember>& aMembers);

/// Inverse of EncodeMembers(). Fails with MalformedFrame.
Result<std::vector<ControlMember>> DecodeMembers(std::string_view aBytes);

/// Encodes the content of a snapshot: the members, then the replicated state.
std::string EncodeSnapshotContent(const std::vector<ControlMember>& aMembers,
                                  std::string_view aState);

/// Decoded content of a snapshot.
struct SnapshotContent
{
  std::vector<ControlMember> members;
  std::string_view state; ///< Points into the decoded bytes.
};

/// Inverse of EncodeSnapshotContent(). Fails with MalformedFrame.
Result<SnapshotContent> DecodeSnapshotContent(std::string_view aBytes);

/// Checks that a change adds one learner, or promotes, demotes or removes one member or changes its
/// instance or address, and that at least one voter remains. As only one voter changes at a time,
/// every majority of the old list intersects every majority of the new one. Fails with
/// InvalidMembershipChange.
Result<void> CheckMembershipChange(const std::vector<ControlMember>& aOld,
                                   const std::vector<ControlMember>& aNew);

} // namespace oleanderledge
