#include "oleanderledge/platform/internal/LineReader.hpp"

#include "oleanderledge/platform/WireProtocol.hpp"

namespace oleanderledge::platform::internal {

void LineReader::Append(std::string_view aBytes)
{
  this->buffer.erase(0, this->lineStart);
  this->scannedEnd -= this->lineStart;
  this->lineStart = 0;
  this->buffer.append(aBytes);
}

std::optional<Result<std::string_view>> LineReader::Next()
{
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
