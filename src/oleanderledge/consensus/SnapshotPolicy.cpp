#include "oleanderledge/consensus/SnapshotPolicy.hpp"

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

bool SnapshotPolicy::IsDue(const RaftNode& /*aNode*/) const
{
  return this->entriesSince >= this->settings.afterEntries ||
         this->bytesSince >= this->settings.afterBytes;
}

} // namespace oleanderledge
