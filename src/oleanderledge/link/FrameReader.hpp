#pragma once

#include "oleanderledge/base/base.hpp"

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

  /// Removes and returns the next whole body, or nothing if more bytes are needed. Fails with
  /// FrameTooLarge as soon as the length has arrived; the stream cannot be read any further then.
  Result<std::optional<std::string>> Next();

private:
  std::string buffer;
  std::size_t consumed = 0; ///< Bytes at the front of `buffer` that were already returned.
};

} // namespace oleanderledge
