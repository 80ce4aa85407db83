#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oleanderledge {

/// Bounds of the entry role. The defaults suit a small instance.
struct EntryLimits
{
  /// Largest message of a caller, in bytes.
  std::size_t maxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t maxSessions = 10'000;
  /// Units of one session that wait behind the running one before its socket is no longer read.
  std::size_t maxQueuedUnits = 1'000;
  /// Bytes of one session in waiting units before its socket is no longer read.
  std::size_t maxQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
  /// Prepared statements that one session may keep, in bytes of their Parse messages.
  std::size_t maxPreparedBytes = std::size_t{ 8 } * 1024 * 1024;
  /// Answers not yet read by a caller, in bytes, before its socket is no longer read.
  std::size_t pauseOutputBytes = std::size_t{ 1024 } * 1024;
  /// Answers not yet read by a caller, in bytes, before its session is closed: pieces of an answer
  /// share the link with other callers, so the link cannot wait for one of them.
  std::size_t maxOutputBytes = std::size_t{ 64 } * 1024 * 1024;
  /// Units of all sessions that wait for an owner or a link.
  std::size_t maxWaitingUnits = 10'000;
  /// Bytes in units of all sessions that wait for an owner or a link or are kept for a resend.
  std::size_t maxBufferedBytes = std::size_t{ 256 } * 1024 * 1024;
  Duration startupTimeout = std::chrono::seconds(10);
  /// How long a unit may wait for an owner, a link or a retry. Longer than an unplanned failover
  /// takes in the worst case (5 s at today's size, 7 s at full size).
  Duration waitLimit = std::chrono::seconds(8);
  /// Sessions still open after this time in a graceful stop are closed.
  Duration stopLimit = std::chrono::seconds(10);
};

/// What the entry role of one proxy process needs to start.
struct EntrySettings
{
  InstanceInfo self;
  std::string callersAddress; ///< "ip:port" for callers.
  EntryLimits limits;
  Duration emulatedCallerDelay{ 0 }; ///< Emulated one-way delay to callers; 0 in production.
  std::uint64_t seed = 0;            ///< For the jitter of retries.
};

} // namespace oleanderledge
