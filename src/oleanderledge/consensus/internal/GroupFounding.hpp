#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// An instance that forms the group at its first start, from settings.
struct InitialMember
{
  std::string instance;    ///< Instance id.
  std::string linkAddress; ///< "ip:port".
};

/// Decides whether this instance founds a new group. Pure.
///
/// The initial instance with the lowest id founds the group, and only after every other initial
/// instance kept asking to join for a settling time while it had no log. If the group exists, its
/// members have a log, so an instance that lost its disk can never found a second group.
class GroupFounding
{
public:
  GroupFounding(std::string aSelfInstance, std::vector<InitialMember> aInitialMembers);

  void OnJoinRequest(const JoinRequest& aRequest, Instant aNow);

  /// The first list of members, once this instance is to found the group.
  std::optional<std::vector<ControlMember>> FoundingMembers(const std::string& aSelfMember,
                                                            Instant aNow) const;

private:
  struct Candidate
  {
    std::string memberId;
    Instant firstRequestAt;
    Instant lastRequestAt;
  };

  std::string selfInstance;
  std::vector<InitialMember> initialMembers;   ///< Ascending by instance.
  std::map<std::string, Candidate> candidates; ///< By instance.
};

} // namespace oleanderledge
