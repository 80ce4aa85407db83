#pragma once

#include "oleanderledge/base/base.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge::platform::internal {

/// Splits a stream of bytes into lines that end with CR LF.
class LineReader
{
public:
  void Append(std::string_view aBytes);

  /// The next whole line without its end, valid until the next call; nothing if more bytes are
  /// needed; MessageTooLarge or ProtocolViolation for a stream that is no sequence of lines.
  std::optional<Result<std::string_view>> Next();

private:
  std::string buffer;
  std::size_t start = 0;   ///< Begin of the next line.
  std::size_t scanned = 0; ///< Bytes before this hold no end of that line.
};

} // namespace oleanderledge::platform::internal
