#include "oleanderledge/platform/internal/LineReader.hpp"

#include "oleanderledge/platform/WireProtocol.hpp"

#include <algorithm>

namespace oleanderledge::platform::internal {

namespace {

/// Capacity up to which a buffer is kept for later lines.
constexpr std::size_t kLargeBufferBytes = std::size_t{ 32 } * 1024;

} // namespace

void LineReader::Append(std::string_view aBytes)
{
  this->DiscardLines();
  const std::size_t size = this->buffer.size() + aBytes.size();
  if (size > kLargeBufferBytes && size > this->buffer.capacity()) {
    // Doubling the capacity again and again would use twice the memory of a long line.
    this->buffer.reserve(std::max(size, kMaxLineBytes + kLargeBufferBytes));
  }
  this->buffer.append(aBytes);
}

void LineReader::DiscardLines()
{
  if (this->lineStart == this->buffer.size() && this->buffer.capacity() > kLargeBufferBytes) {
    // Connections that are idle after a long line do not keep its memory.
    this->buffer = {};
  } else {
    this->buffer.erase(0, this->lineStart);
  }
  this->scannedEnd -= this->lineStart;
  this->lineStart = 0;
}

std::optional<Result<std::string_view>> LineReader::Next()
{
  if (this->lineStart == this->buffer.size()) {
    this->DiscardLines();
  }
  const std::size_t end = this->buffer.find('\n', this->scannedEnd);
  const std::size_t length =
    (end == std::string::npos ? this->buffer.size() : end + 1) - this->lineStart;
  if (length > kMaxLineBytes) {
    return Result<std::string_view>(
      Fail(ResultCode::MessageTooLarge, "a message exceeds its limit"));
  }
  if (end == std::string::npos) {
    this->scannedEnd = this->buffer.size();
    return std::nullopt;
  }
  if (end == this->lineStart || this->buffer[end - 1] != '\r') {
    return Result<std::string_view>(
      Fail(ResultCode::ProtocolViolation, "a message does not end with CR LF"));
  }
  const std::string_view line =
    std::string_view(this->buffer).substr(this->lineStart, end - 1 - this->lineStart);
  this->lineStart = end + 1;
  this->scannedEnd = this->lineStart;
  if (line.find('\0') != std::string_view::npos || line.find('\r') != std::string_view::npos) {
    return Result<std::string_view>(
      Fail(ResultCode::ProtocolViolation, "a message contains a control character"));
  }
  return Result<std::string_view>(line);
}

} // namespace oleanderledge::platform::internal
