#include "oleanderledge/daemon/DrainDeadlines.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

/// Versions for which a sending time is kept. Bounds the memory; older ones only matter to a proxy
/// that receives a drain after as many later changes.
constexpr std::size_t kMaxVersions = 64;

} // namespace

DrainDeadlines::DrainDeadlines(Duration aUsableTime)
  : usableTime(aUsableTime)
{
}

void DrainDeadlines::RecordReply(const HeartbeatReply& aReply)
{
  Instant& sentAt = this->sentAtByVersion[aReply.committedVersion];
  sentAt = std::max(sentAt, FromMicroseconds(aReply.sentUs));
  if (this->sentAtByVersion.size() > kMaxVersions) {
    this->sentAtByVersion.erase(this->sentAtByVersion.begin());
  }
}

const DrainDeadlineMap& DrainDeadlines::Update(const Directory& aDirectory)
{
  DrainDeadlineMap updated;
  for (const auto& [name, row] : aDirectory.Backends()) {
    if (!row.draining || row.deleted) {
      continue;
    }
    const Instant sentAt = this->LastSentBefore(row.drainingVersion);
    if (sentAt != Instant{}) {
      updated[name] = sentAt + this->usableTime;
      continue;
    }
    const auto known = this->deadlines.find(name);
    if (known != this->deadlines.end()) {
      updated.insert(*known);
    }
  }
  this->deadlines = std::move(updated);
  return this->deadlines;
}

Instant DrainDeadlines::LastSentBefore(std::uint64_t aVersion) const
{
  Instant latest{};
  for (const auto& [version, sentAt] : this->sentAtByVersion) {
    if (version >= aVersion) {
      break;
    }
    latest = std::max(latest, sentAt);
  }
  return latest;
}

} // namespace oleanderledge
