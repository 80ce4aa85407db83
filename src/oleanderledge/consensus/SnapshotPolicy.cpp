#include "oleanderledge/consensus/SnapshotPolicy.hpp"

#include <algorithm>

namespace oleanderledge {

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
  return this->entriesSince >= this->settings.afterEntries ||
         this->bytesSince >= std::max(this->settings.afterBytes, newestBytes);
}

} // namespace oleanderledge
