#pragma once

#include "oleanderledge/consensus/GroupMaintenance.hpp"
#include "oleanderledge/consensus/LeaderWatch.hpp"
#include "oleanderledge/consensus/MemberContacts.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderledge {

/// The voters as their leader sees them.
struct VoterHealth
{
  /// Voters that answered under their member id within 1 s, with the leader itself.
  std::size_t answering = 0;
  /// Entries that the voter which is furthest behind does not store.
  std::uint64_t furthestLag = 0;
};

/// All 0 unless the member leads.
VoterHealth VoterHealthOf(const RaftNode& aNode, Instant aNow);

/// Decides what a leader logs of the members that it replicates to: learners that could take over a
/// vote but are not promoted, and voters that do not answer. Performs no I/O.
class ReplicationWatch
{
public:
  using Status = LeaderWatch::Status;

  /// Returns what to log at `aNow`. For each member a line when its state changes; while the state
  /// lasts, another one after each second of the first minute and after each 10 s from then on.
  /// Must be called at regular intervals, in every role, because it also records since when members
  /// are listed.
  std::vector<Status> Observe(const RaftNode& aNode,
                              const GroupMaintenance& aMaintenance,
                              const MemberContacts& aContacts,
                              Instant aNow);

private:
  struct Listing
  {
    Instant since{};
    std::optional<Instant> voterSince;
    /// Of the present leadership: the state of the last line, and since when it lasts.
    std::string state;
    Instant stateSince{};
    Instant loggedAt{};
  };

  void UpdateListings(const RaftNode& aNode, Instant aNow);
  std::optional<Status> ObserveLearner(const RaftNode& aNode,
                                       const GroupMaintenance& aMaintenance,
                                       const MemberContacts& aContacts,
                                       const ControlMember& aLearner,
                                       Instant aNow);
  std::optional<Status> ObserveVoter(const RaftNode& aNode,
                                     const MemberContacts& aContacts,
                                     const ControlMember& aVoter,
                                     Instant aNow);
  /// True if a line is due for a member in `aState`, which is then recorded.
  static bool IsDue(Listing& aListing, const std::string& aState, Instant aNow);

  std::map<std::string, Listing, std::less<>> listings; ///< By member id.
  std::optional<std::uint64_t> leadingTerm;
  Instant leadingSince{};
};

} // namespace oleanderledge
