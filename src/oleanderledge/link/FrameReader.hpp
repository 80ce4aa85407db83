#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Codec.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Splits a byte stream into frame bodies (see EncodeFrame()).
class FrameReader
{
public:
  /// Appends received bytes.
  void Feed(std::string_view aBytes);

  /// Sets the largest body that is accepted; at first kMaxFrameBytes.
  void SetMaxBody(std::size_t aBytes) { this->maxBody = aBytes; }

  /// Memory that is held for bodies that are not complete.
  std::size_t HeldBytes() const { return this->buffer.capacity(); }
  /// True if a part of a frame has arrived.
  bool IsFrameBegun() const { return this->consumed < this->buffer.size(); }

  /// Removes and returns the next whole body, or nothing if more bytes are needed. Fails with
  /// FrameTooLarge as soon as the length has arrived; the stream cannot be read any further then.
  Result<std::optional<std::string>> Next();

private:
  std::size_t maxBody = kMaxFrameBytes;
  std::string buffer;
  std::size_t consumed = 0; ///< Bytes at the front of `buffer` that were already returned.
};

} // namespace oleanderledge
