#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <deque>
#include <optional>

namespace oleanderledge {

/// Converts instants between this process and the control leader so that each result is no later
/// than the true one, whatever the delays on the way. Pure.
///
/// A sample says that all commits acknowledged before a time are covered, so a time that is too
/// early only makes it weaker.
class LeaderClock
{
public:
  /// An accepted answer arrived at `aNow`.
  void OnReply(const HeartbeatReply& aReply, Instant aNow);

  /// Term of the leader that the conversions refer to; 0 before the first answer.
  std::uint64_t Term() const { return this->term; }
  /// An instant of this process on the leader's clock; nothing if it precedes all known answers.
  std::optional<std::int64_t> ToLeader(Instant aOwn) const;
  /// A time on the clock of the leader that sent the answer, as an instant of this process.
  static Instant FromLeader(const HeartbeatReply& aReply, std::int64_t aLeaderUs);

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
