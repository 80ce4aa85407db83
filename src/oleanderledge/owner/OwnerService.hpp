#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace oleanderledge {

/// Identifies the link (entry process) that a unit came from, unique within this process.
using LinkId = std::uint64_t;

/// Receives the replies of an owner. Implemented by the daemon, which sends them over the link.
class ReplySink
{
public:
  virtual ~ReplySink() = default;
  virtual void Deliver(LinkId aLink, StatementReply&& aReply) = 0;
  /// Bytes queued on the link, so that the owner can pause reading from a backend server.
  virtual std::int64_t QueuedBytes(LinkId aLink) const = 0;
};

/// The owner role of a proxy: all databases that this process owns. Called in the traffic thread.
class OwnerService
{
public:
  virtual ~OwnerService() = default;

  virtual void Submit(LinkId aLink, StatementRequest&& aRequest) = 0;
  virtual void Cancel(LinkId aLink, const CancelStatement& aCancel) = 0;
  virtual void CloseChannel(LinkId aLink, std::uint64_t aChannel) = 0;
  /// The entry process is gone: its open transactions are rolled back.
  virtual void CloseLink(LinkId aLink) = 0;
  /// Remembers the ping time that replies on this link echo.
  virtual void NotePing(LinkId aLink, const LinkPing& aPing) = 0;

  /// Puts a newer directory into force.
  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;
  /// Leases from the answer to a heartbeat that was sent at `aHeartbeatSent`.
  virtual void ApplyLeases(std::span<const LeaseGrant> aLeases, Instant aHeartbeatSent) = 0;
  /// The owner's part of the next heartbeat.
  virtual std::vector<OwnerReport> Reports(Instant aNow) = 0;
  /// Service by class since the process started.
  virtual std::vector<ClassService> Service() const = 0;

  /// Starts a graceful stop: drains and releases every owned database.
  virtual void BeginRelease() = 0;
  /// True once nothing is owned and no unit runs.
  virtual bool IsIdle() const = 0;
};

} // namespace oleanderledge
