#include "oleanderledge/wire/MessageReader.hpp"

#include "oleanderledge/wire/MessageView.hpp"

namespace oleanderledge {

namespace {

constexpr std::size_t kLengthBytes = 4;

} // namespace

void MessageReader::Feed(std::string_view aBytes)
{
  if (this->consumed == this->buffer.size()) {
    this->buffer.clear();
    this->consumed = 0;
  }
  this->buffer.append(aBytes);
}

Result<std::optional<std::string>> MessageReader::Next(std::size_t aTypeBytes)
{
  const std::string_view rest = std::string_view(this->buffer).substr(this->consumed);
  if (rest.size() < aTypeBytes + kLengthBytes) {
    return std::optional<std::string>{};
  }
  FieldReader header(rest.substr(aTypeBytes, kLengthBytes));
  const std::int32_t length = header.ReadInt32();
  if (length < static_cast<std::int32_t>(kLengthBytes)) {
    return Fail(ResultCode::ProtocolViolation,
                "message length " + std::to_string(length) + " is less than 4");
  }
  const std::size_t total = aTypeBytes + static_cast<std::size_t>(length);
  if (total > this->maxMessageBytes) {
    return Fail(ResultCode::MessageTooLarge,
                "message of " + std::to_string(total) + " bytes exceeds the limit of " +
                  std::to_string(this->maxMessageBytes));
  }
  if (rest.size() < total) {
    if (this->consumed > 0) {
      this->buffer.erase(0, this->consumed);
      this->consumed = 0;
    }
    return std::optional<std::string>{};
  }
  std::string message(rest.substr(0, total));
  this->consumed += total;
  return std::optional<std::string>(std::move(message));
}

} // namespace oleanderledge
