#pragma once

#include "oleanderledge/base/base.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Splits a byte stream into frame bodies.
class FrameReader
{
public:
  /// Appends received bytes.
  void Feed(std::string_view aBytes);

  /// Takes the next whole body, or nothing if more bytes are needed. Fails with FrameTooLarge.
  Result<std::optional<std::string>> Next();

private:
  std::string buffer;
  std::size_t consumed = 0;
};

} // namespace oleanderledge
