#pragma once

#include "oleanderledge/base/base.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge::platform::internal {

/// Splits a byte stream into lines that are terminated by CR LF.
class LineReader
{
public:
  void Append(std::string_view aBytes);
  /// Bytes that do not belong to a line that Next() returned.
  std::size_t BufferedBytes() const { return this->buffer.size() - this->lineStart; }

  /// Returns the next complete line without its terminator, or nothing if more bytes are needed.
  /// The view is valid until the next call. Fails with MessageTooLarge if a line is too long,
  /// and with ProtocolViolation if it is not terminated by CR LF or contains NUL or CR.
  std::optional<Result<std::string_view>> Next();

private:
  /// Removes the lines that Next() returned from the buffer.
  void DiscardLines();

  std::string buffer;
  std::size_t lineStart = 0;  ///< Offset of the next line in the buffer.
  std::size_t scannedEnd = 0; ///< The line has no terminator before this offset.
};

} // namespace oleanderledge::platform::internal
