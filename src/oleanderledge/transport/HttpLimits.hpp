#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>

namespace oleanderledge {

/// Limits on the clients of HTTP servers.
struct HttpLimits
{
  std::uint32_t connections = 256; ///< At each server.
  std::uint32_t headBytes = 32U * 1024;
  std::uint32_t bodyBytes = 4U * 1024 * 1024;
  /// Longest time to complete a request that was begun, and without progress of a client that reads
  /// its answer.
  Duration requestTime = std::chrono::seconds(30);
  /// A connection without a request is closed after this time.
  Duration idleTime = std::chrono::seconds(60);
};

} // namespace oleanderledge
