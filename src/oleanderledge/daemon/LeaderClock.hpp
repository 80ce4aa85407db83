#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <deque>
#include <optional>

namespace oleanderledge {

/// Converts instants between the clocks of this process and of the control leader. A result is
/// never later than the true instant, whatever the network delays are. Does no I/O and reads no
/// clock.
///
/// A position sample states that it covers all commits that were acknowledged before a time. A time
/// that is too early makes the sample weaker; one that is too late would make it wrong.
class LeaderClock
{
public:
  /// Records an accepted reply that arrived at `aNow`. Replies of earlier terms are ignored.
  void RecordReply(const HeartbeatReply& aReply, Instant aNow);

  /// Term of the leader that the conversions refer to; 0 before the first reply.
  std::uint64_t Term() const { return this->term; }
  /// Converts an instant of this process to the leader's clock, in microseconds; nothing if it
  /// precedes all recorded replies.
  std::optional<std::int64_t> ToLeaderUs(Instant aLocal) const;
  /// Converts a time in microseconds on the clock of the leader that sent `aReply` to an instant of
  /// this process.
  static Instant FromLeaderUs(const HeartbeatReply& aReply, std::int64_t aLeaderUs);

private:
  struct Reply
  {
    Instant receivedAt;
    std::int64_t leaderUs;
  };

  std::uint64_t term = 0;
  std::deque<Reply> replies; ///< In order of arrival.
};

} // namespace oleanderledge
