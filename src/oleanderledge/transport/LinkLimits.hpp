#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Codec.hpp"

#include <cstdint>

namespace oleanderledge {

/// Limits on the peers of accepted links.
struct LinkLimits
{
  std::uint32_t connections = 512;
  /// Largest frame of a peer that is not a control instance.
  std::size_t frameBytes = kMaxFrameBytes;
  /// Longest time to complete a frame that was begun.
  Duration frameTime = std::chrono::seconds(60);
  /// Bytes that are queued for a peer that does not read them.
  std::int64_t unreadBytes = std::int64_t{ 32 } * 1024 * 1024;
  /// A link on which nothing arrives for this time is closed. Proxies and control instances send
  /// something at least every 500 ms.
  Duration silence = std::chrono::seconds(10);
};

} // namespace oleanderledge
