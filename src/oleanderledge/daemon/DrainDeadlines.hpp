#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/statements/statements.hpp"

#include <cstdint>
#include <map>

namespace oleanderledge {

/// Decides until when this proxy may give new statements to draining backend servers. Does no I/O
/// and reads no clock.
///
/// The drain time counts from the moment at which the control plane acknowledged the drain. A proxy
/// does not know that moment, but it knows heartbeats that the leader answered before the drain was
/// committed. The drain time counts from the sending of the newest of them, so a deadline is never
/// too late, however late the proxy learns of the drain. Without such a heartbeat, as in a proxy
/// that started during the drain, there is no deadline, and the server gets nothing.
class DrainDeadlines
{
public:
  /// `aUsableTime` is the part of the drain time during which statements may be sent.
  explicit DrainDeadlines(Duration aUsableTime);

  /// Records a reply that the leader accepted.
  void RecordReply(const HeartbeatReply& aReply);

  /// Sending time of the newest heartbeat that the leader answered while it had nothing newer than
  /// the directory; the epoch if there is none.
  Instant DirectoryCurrentAt(const Directory& aDirectory) const
  {
    return this->LastSentBefore(aDirectory.Version() + 1);
  }

  /// Returns the deadlines of the draining servers in the directory, by name.
  const DrainDeadlineMap& Update(const Directory& aDirectory);

private:
  /// Sending time of the newest heartbeat that was answered with a version below `aVersion`.
  Instant LastSentBefore(std::uint64_t aVersion) const;

  Duration usableTime;
  /// Sending time of the newest heartbeat that the leader answered with each committed version.
  std::map<std::uint64_t, Instant> sentAtByVersion;
  DrainDeadlineMap deadlines;
};

} // namespace oleanderledge
