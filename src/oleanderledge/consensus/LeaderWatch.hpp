#pragma once

#include "oleanderledge/consensus/MemberContacts.hpp"
#include "oleanderledge/consensus/RaftNode.hpp"

#include <functional>
#include <optional>
#include <string>

namespace oleanderledge {

/// Decides when a member logs that it has no confirmed leader, and describes what it lacks.
/// Performs no I/O.
class LeaderWatch
{
public:
  struct Status
  {
    LogEvent event;
    std::string detail;
  };
  using IsLinked = std::function<bool(const ControlMember&)>;

  /// Returns what to log at `aNow`: that the leader is missing or not confirmed, once it has been
  /// for 0.5 s and after each further second, and that there is a confirmed one again. Must be
  /// called at regular intervals.
  std::optional<Status> Observe(const RaftNode& aNode,
                                const MemberContacts& aContacts,
                                const IsLinked& aIsLinked,
                                Instant aNow);

private:
  std::optional<Instant> confirmedAt; ///< When there was a confirmed leader last.
  std::optional<Instant> loggedAt;    ///< Last line since then.
};

} // namespace oleanderledge
