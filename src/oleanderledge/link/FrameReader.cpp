#include "oleanderledge/link/FrameReader.hpp"

namespace oleanderledge {

namespace {

constexpr std::size_t kLengthBytes = 4;
/// Memory that is kept for the next frames.
constexpr std::size_t kKeptBytes = std::size_t{ 8 } * 1024;

std::size_t ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (const char byte : aBytes.substr(0, kLengthBytes)) {
    length = (length << 8U) | static_cast<unsigned char>(byte);
  }
  return length;
}

} // namespace

void FrameReader::Feed(std::string_view aBytes)
{
  if (this->consumed == this->buffer.size()) {
    // A string keeps its memory when it is cleared.
    if (this->buffer.capacity() > kKeptBytes) {
      this->buffer = std::string();
    }
    this->buffer.clear();
    this->consumed = 0;
  }
  this->buffer.append(aBytes);
}

Result<std::optional<std::string>> FrameReader::Next()
{
  const std::string_view rest = std::string_view(this->buffer).substr(this->consumed);
  if (rest.size() < kLengthBytes) {
    return std::optional<std::string>{};
  }
  const std::size_t length = ReadLength(rest);
  if (length > this->maxBody) {
    return Fail(ResultCode::FrameTooLarge, "frame of " + std::to_string(length) + " bytes");
  }
  if (rest.size() < kLengthBytes + length) {
    if (this->consumed > 0) {
      this->buffer.erase(0, this->consumed);
      this->consumed = 0;
    }
    return std::optional<std::string>{};
  }
  this->consumed += kLengthBytes + length;
  return std::optional<std::string>(rest.substr(kLengthBytes, length));
}

} // namespace oleanderledge
