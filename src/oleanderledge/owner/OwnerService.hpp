#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace oleanderledge {

/// Identifies the link to an entry process that a unit came from. Unique within this process; 0 is
/// the in-process path from the entry in this process.
using LinkId = std::uint64_t;

/// Receives the replies of an owner and sends them over the link.
class ReplySink
{
public:
  virtual ~ReplySink() = default;
  virtual void Deliver(LinkId aLink, StatementReply&& aReply) = 0;
  /// Number of bytes queued on the link. The owner pauses reading from backend servers above a
  /// limit.
  virtual std::int64_t QueuedBytes(LinkId aLink) const = 0;
};

/// The owner role of a proxy: all databases that this process owns. Not thread-safe; called in the
/// traffic thread only.
class OwnerService
{
public:
  virtual ~OwnerService() = default;

  /// Runs a unit. The outcome is delivered to the sink, also if the unit is refused: NotOwner if
  /// this process does not own the database, UnknownDatabase if the directory does not contain it.
  virtual void Submit(LinkId aLink, StatementRequest&& aRequest) = 0;
  /// Cancels the unit in progress of a channel; ignored if the unit has another sequence number.
  virtual void Cancel(LinkId aLink, const CancelStatement& aCancel) = 0;
  /// The caller session has ended: its open transaction is rolled back and no reply follows.
  virtual void CloseChannel(LinkId aLink, std::uint64_t aChannel) = 0;
  /// The link to the entry process was lost: its channels are closed.
  virtual void CloseLink(LinkId aLink) = 0;
  /// Records the sending time of a ping, which later replies on this link echo.
  virtual void RecordPing(LinkId aLink, const LinkPing& aPing) = 0;

  /// Applies a newer directory: adds databases that this process now owns and drops others.
  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;
  /// Applies the leases in the reply to a heartbeat that was sent at `aHeartbeatSent`. A grant with
  /// length 0 requests the release of the database.
  virtual void ApplyLeases(std::span<const LeaseGrant> aLeases, Instant aHeartbeatSent) = 0;
  /// The reports on the owned databases for the next heartbeat.
  virtual std::vector<OwnerReport> Reports(Instant aNow) = 0;
  /// Numbers of served and refused units by class since the process started.
  virtual std::vector<ClassService> ServiceByClass() const = 0;

  /// Starts a graceful stop: dispatches nothing more and drains every owned database.
  virtual void BeginRelease() = 0;
  /// True if this process owns no database.
  virtual bool IsIdle() const = 0;
};

} // namespace oleanderledge
