#include "oleanderledge/consensus/SnapshotPolicy.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// A snapshot that is due waits for a transfer of the previous one until the log after that has
/// this many times the usual size.
constexpr std::uint64_t kMaxPostponement = 4;

} // namespace

void SnapshotPolicy::OnApplied(const LogEntry& aEntry)
{
  ++this->entriesSince;
  this->bytesSince += aEntry.command.size();
}

void SnapshotPolicy::OnSnapshot()
{
  this->entriesSince = 0;
  this->bytesSince = 0;
}

bool SnapshotPolicy::IsDue(const RaftNode& aNode) const
{
  const auto& newest = aNode.Log().Snapshot();
  const std::uint64_t newestBytes = newest ? newest->content->size() : 0;
  // A new snapshot ends the transfer of the previous one, which would start again from 0.
  const std::uint64_t factor = aNode.IsSendingSnapshot() ? kMaxPostponement : 1;
  return this->entriesSince >= factor * this->settings.afterEntries ||
         this->bytesSince >= factor * std::max(this->settings.afterBytes, newestBytes);
}

} // namespace oleanderledge
