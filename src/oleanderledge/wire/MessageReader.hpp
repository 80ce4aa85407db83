#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Splits a byte stream into whole protocol messages. The start-up packet of a caller, which has no
/// type byte, is taken with NextUntyped().
class MessageReader
{
public:
  /// Messages over `aMaxMessageBytes` fail with MessageTooLarge before their body is buffered.
  explicit MessageReader(std::size_t aMaxMessageBytes)
    : maxMessageBytes(aMaxMessageBytes)
  {
  }

  /// Changes the limit for messages not yet taken: a start-up packet has a lower one.
  void SetMaxMessageBytes(std::size_t aMaxMessageBytes)
  {
    this->maxMessageBytes = aMaxMessageBytes;
  }

  void Feed(std::string_view aBytes);

  /// Takes the next whole message, with type byte and length, or nothing if bytes are missing.
  /// Fails with MessageTooLarge or ProtocolViolation; the stream cannot be read any further then.
  Result<std::optional<std::string>> NextTyped() { return this->Next(1); }

  /// Takes the next whole packet without a type byte, with its length.
  Result<std::optional<std::string>> NextUntyped() { return this->Next(0); }

  std::size_t BufferedBytes() const { return this->buffer.size() - this->consumed; }

private:
  Result<std::optional<std::string>> Next(std::size_t aTypeBytes);

  std::size_t maxMessageBytes;
  std::string buffer;
  std::size_t consumed = 0;
};

} // namespace oleanderledge
