#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/consensus/ReplicatedLog.hpp"

#include <algorithm>
#include <functional>
#include <optional>
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

/// The first 8 characters of a member id, as log lines show it.
std::string ShortMemberId(std::string_view aId);

/// Instance and short member id, "core-mora-a-1/3f0c9a12". An instance that lost its data folder
/// has a new member id.
std::string DescribeMember(const ControlMember& aMember);

/// True while one voter is being replaced by another.
bool IsReplacementInProgress(const std::vector<ControlMember>& aMembers);

/// The highest value that a majority of the voters has reached. While a voter is being replaced,
/// the lower of the values of both majorities. `aLowest` if there is no voter.
template<class Value, class ValueOf>
Value ValueAtMajority(const std::vector<ControlMember>& aMembers, ValueOf aValueOf, Value aLowest)
{
  std::optional<Value> reached;
  for (const ReplacementPart excluded : { ReplacementPart::Incoming, ReplacementPart::Outgoing }) {
    std::vector<Value> values;
    for (const ControlMember& member : aMembers) {
      if (member.voter && member.replacement != excluded) {
        values.push_back(aValueOf(member));
      }
    }
    std::ranges::sort(values, std::greater<>());
    const Value value = values.empty() ? aLowest : values[values.size() / 2];
    reached = reached ? std::min(*reached, value) : value;
  }
  return *reached;
}

/// True if the predicate holds for a majority of the voters; while a voter is being replaced, of
/// the voters before and of those after the replacement.
template<class Predicate>
bool HoldsForMajority(const std::vector<ControlMember>& aMembers, Predicate aPredicate)
{
  const auto toNumber = [&aPredicate](const ControlMember& aMember) {
    return aPredicate(aMember) ? 1 : 0;
  };
  return ValueAtMajority(aMembers, toNumber, 0) == 1;
}

/// The list after the start of the replacement of a voter by a learner, given by their ids.
std::vector<ControlMember> WithReplacementStarted(std::vector<ControlMember> aMembers,
                                                  std::string_view aOutgoing,
                                                  std::string_view aIncoming);

/// The list after the replacement in progress: the incoming voter stays. The outgoing one becomes a
/// learner, or is removed if `aKeepsOutgoing` is false.
std::vector<ControlMember> WithReplacementCompleted(std::vector<ControlMember> aMembers,
                                                    bool aKeepsOutgoing);

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

/// Checks that a change is one of the following, and that at least one voter remains:
/// - it adds one learner, or promotes, demotes or removes one member or changes its instance or
///   address. As only one voter changes at a time, every majority of the old list intersects every
///   majority of the new one.
/// - it starts the replacement of a voter by a learner, which become outgoing and incoming.
/// - it completes a replacement: the incoming voter stays, the outgoing one is demoted or removed.
///   No other change is allowed while a replacement is in progress.
/// Fails with InvalidMembershipChange.
Result<void> CheckMembershipChange(const std::vector<ControlMember>& aOld,
                                   const std::vector<ControlMember>& aNew);

} // namespace oleanderledge
