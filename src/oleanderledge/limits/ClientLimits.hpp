#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>

namespace oleanderledge {

/// Limits of each client. The defaults are above what a client reaches that sends one statement at
/// a time, messages of up to 1 MiB, and pauses between statements.
struct ClientLimits
{
  /// Bytes that are read from a connection while its last statement has not been answered. More
  /// stay in the kernel and at the client.
  std::uint32_t readAheadBytes = 16U * 1024U;
  /// No further statement of a client is started while so many bytes of responses to it are unread.
  std::uint32_t unreadResponseBytes = 256U * 1024U;
  /// Settings and prepared statements of a session.
  std::uint32_t sessionBytes = 2U * 1024U * 1024U;
  /// Statements that are prepared on one connection to a backend server. They are discarded before
  /// the next use of a connection that has more, and end a transaction that goes beyond this and
  /// `sessionBytes`.
  std::uint32_t preparedBytes = 256U * 1024U;
  /// Time from the connection to the start-up.
  Duration startUpTime = std::chrono::seconds(10);
  /// Time from the first to the last byte of a message. 1 MiB takes 6 s at 1.4 Mbit/s.
  Duration messageTime = std::chrono::seconds(30);
  /// Time within which a response must be read.
  Duration responseTime = std::chrono::seconds(60);
};

} // namespace oleanderledge
