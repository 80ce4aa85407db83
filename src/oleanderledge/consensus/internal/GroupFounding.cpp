#include "oleanderledge/consensus/internal/GroupFounding.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Every other initial instance must have requested to join for this long. Longer than a message of
/// an existing group can take to reach an instance that requests to join.
constexpr Duration kMinRequestDuration = std::chrono::seconds(1);
/// An instance that does not repeat its request within this time may have stopped or received a
/// log.
constexpr Duration kJoinRequestLifetime = std::chrono::seconds(1);

} // namespace

GroupFounding::GroupFounding(std::string aSelfInstance, std::vector<InitialMember> aInitialMembers)
  : selfInstance(std::move(aSelfInstance))
  , initialMembers(std::move(aInitialMembers))
{
  std::ranges::sort(this->initialMembers, {}, &InitialMember::instance);
}

void GroupFounding::OnJoinRequest(const JoinRequest& aRequest, Instant aNow)
{
  if (aRequest.hasLog) {
    this->candidates.erase(aRequest.instance.id);
    return;
  }
  const bool isInitial = std::ranges::any_of(this->initialMembers, [&](const auto& aMember) {
    return aMember.instance == aRequest.instance.id;
  });
  if (!isInitial) {
    return;
  }
  Candidate& candidate = this->candidates[aRequest.instance.id];
  const bool isContinuous = candidate.memberId == aRequest.memberId &&
                            aNow - candidate.lastRequestAt <= kJoinRequestLifetime;
  if (!isContinuous) {
    candidate = { aRequest.memberId, aNow, aNow };
  }
  candidate.lastRequestAt = aNow;
}

std::optional<std::vector<ControlMember>> GroupFounding::FoundingMembers(
  const std::string& aSelfMember,
  Instant aNow) const
{
  if (this->initialMembers.empty() || this->initialMembers.front().instance != this->selfInstance) {
    return std::nullopt;
  }
  std::vector<ControlMember> members;
  for (const InitialMember& initial : this->initialMembers) {
    if (initial.instance == this->selfInstance) {
      members.push_back({ aSelfMember, initial.instance, initial.linkAddress, true });
      continue;
    }
    const auto found = this->candidates.find(initial.instance);
    if (found == this->candidates.end() ||
        aNow - found->second.lastRequestAt > kJoinRequestLifetime ||
        aNow - found->second.firstRequestAt < kMinRequestDuration) {
      return std::nullopt;
    }
    members.push_back({ found->second.memberId, initial.instance, initial.linkAddress, true });
  }
  return members;
}

} // namespace oleanderledge
