#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// An instance that is to form the group at its first start, from settings.
struct InitialMember
{
  std::string instance;    ///< Instance id.
  std::string linkAddress; ///< "ip:port".
};

/// Decides whether this instance founds (bootstraps) a new group. Performs no I/O.
///
/// Only the initial instance with the lowest id (compared as text) founds the group, and only after
/// every other initial instance has requested to join, without a log, for 1 s without a gap of more
/// than 1 s. If a group exists, its members have a log, so an instance that lost its disk cannot
/// found a second group.
class GroupFounding
{
public:
  GroupFounding(std::string aSelfInstance, std::vector<InitialMember> aInitialMembers);

  /// Records a join request. A request from an instance that has a log withdraws its earlier ones.
  void OnJoinRequest(const JoinRequest& aRequest, Instant aNow);

  /// The first list of members, if this instance must found the group now. `aSelfMember` is its
  /// member id.
  std::optional<std::vector<ControlMember>> FoundingMembers(const std::string& aSelfMember,
                                                            Instant aNow) const;

private:
  /// An instance that requests to join and has no log.
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
