#include "oleanderledge/daemon/LeaderClock.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Answers to convert by: five heartbeats a second and samples of the last second.
constexpr std::size_t kMaxReplies = 8;

} // namespace

void LeaderClock::OnReply(const HeartbeatReply& aReply, Instant aNow)
{
  if (aReply.leaderTerm < this->term || aReply.leaderTerm == 0) {
    return;
  }
  if (aReply.leaderTerm > this->term) {
    this->term = aReply.leaderTerm;
    this->replies.clear();
  }
  this->replies.push_back({ aNow, aReply.leaderUs });
  if (this->replies.size() > kMaxReplies) {
    this->replies.pop_front();
  }
}

std::optional<std::int64_t> LeaderClock::ToLeader(Instant aOwn) const
{
  std::optional<std::int64_t> latest;
  for (const Reply& reply : this->replies) {
    if (reply.receivedAt > aOwn) {
      continue;
    }
    // The leader answered before the answer arrived.
    const std::int64_t converted = reply.leaderUs + (aOwn - reply.receivedAt).count();
    latest = std::max(latest.value_or(converted), converted);
  }
  return latest;
}

Instant LeaderClock::FromLeader(const HeartbeatReply& aReply, std::int64_t aLeaderUs)
{
  // The leader answered after the heartbeat was sent.
  return FromMicroseconds(aReply.sentUs) - Duration{ aReply.leaderUs - aLeaderUs };
}

} // namespace oleanderledge
