#include "oleanderledge/daemon/LeaderClock.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Replies that are kept for conversions. At five heartbeats a second they cover the samples of the
/// last second.
constexpr std::size_t kMaxReplies = 8;

} // namespace

void LeaderClock::RecordReply(const HeartbeatReply& aReply, Instant aNow)
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

std::optional<std::int64_t> LeaderClock::ToLeaderUs(Instant aLocal) const
{
  std::optional<std::int64_t> latest;
  for (const Reply& reply : this->replies) {
    if (reply.receivedAt > aLocal) {
      continue;
    }
    // The leader read its clock before the reply arrived, so the sum is not later than the true
    // time.
    const std::int64_t converted = reply.leaderUs + (aLocal - reply.receivedAt).count();
    latest = std::max(latest.value_or(converted), converted);
  }
  return latest;
}

Instant LeaderClock::FromLeaderUs(const HeartbeatReply& aReply, std::int64_t aLeaderUs)
{
  // The leader read its clock after the heartbeat was sent, so the result is not later than the
  // true time.
  return FromMicroseconds(aReply.sentUs) - Duration{ aReply.leaderUs - aLeaderUs };
}

} // namespace oleanderledge
