#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Splits a byte stream into whole protocol messages. Use NextUntyped() for the packets before the
/// session starts, which have no type byte, and NextTyped() from then on.
class MessageReader
{
public:
  /// A message longer than `aMaxMessageBytes`, with type byte and length, fails with
  /// MessageTooLarge as soon as its length has arrived.
  explicit MessageReader(std::size_t aMaxMessageBytes)
    : maxMessageBytes(aMaxMessageBytes)
  {
  }

  /// Changes the limit for messages that were not yet returned. A start-up packet has a lower
  /// limit.
  void SetMaxMessageBytes(std::size_t aMaxMessageBytes)
  {
    this->maxMessageBytes = aMaxMessageBytes;
  }

  /// Appends received bytes.
  void Feed(std::string_view aBytes);

  /// Removes and returns the next whole message, with type byte and length, or nothing if more
  /// bytes are needed. Fails with MessageTooLarge or ProtocolViolation; the stream cannot be read
  /// any further then.
  Result<std::optional<std::string>> NextTyped() { return this->Next(1); }

  /// Like NextTyped() for a packet without a type byte; its length is included.
  Result<std::optional<std::string>> NextUntyped() { return this->Next(0); }

  /// Bytes that were fed but not yet returned.
  std::size_t BufferedBytes() const { return this->buffer.size() - this->consumed; }

private:
  Result<std::optional<std::string>> Next(std::size_t aTypeBytes);

  std::size_t maxMessageBytes;
  std::string buffer;
  std::size_t consumed = 0; ///< Bytes at the front of `buffer` that were already returned.
};

} // namespace oleanderledge
