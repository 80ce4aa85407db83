#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oleanderledge {

/// Limits of the entry role. The defaults suit a small instance.
struct EntryLimits
{
  /// Largest message of a caller, in bytes.
  std::size_t maxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
  /// Sessions open at the same time.
  std::size_t maxSessions = 10'000;
  /// The socket of a session is not read while this many of its units are queued.
  std::size_t maxQueuedUnits = 1'000;
  /// The socket of a session is not read while its queued units have this many bytes.
  std::size_t maxQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
  /// Prepared statements of one session, in bytes of their Parse messages.
  std::size_t maxPreparedBytes = std::size_t{ 8 } * 1024 * 1024;
  /// The socket of a session is not read while the caller has more than this many bytes of answers
  /// still to read. Reading resumes at half of it.
  std::size_t pauseOutputBytes = std::size_t{ 1024 } * 1024;
  /// A session is closed when the caller has more than this many bytes of answers still to read.
  /// The link to the owner is shared by all callers, so it cannot be paused for a slow one.
  std::size_t maxOutputBytes = std::size_t{ 64 } * 1024 * 1024;
  /// Units of all sessions that wait for an owner, a link or a retry.
  std::size_t maxWaitingUnits = 10'000;
  /// Bytes of the unanswered units of all sessions, including sent ones, which are kept for a
  /// resend.
  std::size_t maxBufferedBytes = std::size_t{ 256 } * 1024 * 1024;
  /// A connection without a session is closed after this time.
  Duration startupTimeout = std::chrono::seconds(10);
  /// Longest wait of a unit for an owner, a link or a retry. Longer than the worst case of an
  /// unplanned failover: 5 s at the current size, 7 s at full size.
  Duration waitLimit = std::chrono::seconds(8);
  /// Sessions that are open this long after the start of a graceful stop are closed.
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
