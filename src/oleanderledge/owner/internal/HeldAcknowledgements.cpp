#include "oleanderledge/owner/internal/HeldAcknowledgements.hpp"

#include <algorithm>

namespace oleanderledge {

std::vector<HeldAcknowledgement> HeldAcknowledgements::TakeIf(
  const std::function<bool(const HeldAcknowledgement&)>& aMatches)
{
  std::vector<HeldAcknowledgement> taken;
  std::deque<HeldAcknowledgement> kept;
  for (HeldAcknowledgement& entry : this->held) {
    if (aMatches(entry)) {
      taken.push_back(std::move(entry));
    } else {
      kept.push_back(std::move(entry));
    }
  }
  this->held = std::move(kept);
  return taken;
}

bool HeldAcknowledgements::HasChannel(ChannelKey aChannel) const
{
  return std::any_of(this->held.begin(), this->held.end(), [&](const HeldAcknowledgement& aEntry) {
    return aEntry.link == aChannel.link && aEntry.reply.channel == aChannel.channel;
  });
}

Instant HeldAcknowledgements::OldestHeldSince(Instant aNow) const
{
  return this->held.empty() ? aNow : this->held.front().heldSince;
}

LogPosition HeldAcknowledgements::NewestPosition() const
{
  LogPosition newest;
  for (const HeldAcknowledgement& entry : this->held) {
    newest = std::max(newest, entry.position);
  }
  return newest;
}

} // namespace oleanderledge
