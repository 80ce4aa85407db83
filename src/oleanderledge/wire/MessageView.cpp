#include "oleanderledge/wire/MessageView.hpp"

namespace oleanderledge {

namespace {

constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kLengthBytes = 4;

} // namespace

std::vector<MessageView> SplitMessages(std::string_view aMessages)
{
  std::vector<MessageView> views;
  while (aMessages.size() >= kTypeBytes + kLengthBytes) {
    FieldReader header(aMessages.substr(kTypeBytes, kLengthBytes));
    const std::int32_t length = header.ReadInt32();
    if (length < static_cast<std::int32_t>(kLengthBytes)) {
      break;
    }
    const std::size_t total = kTypeBytes + static_cast<std::size_t>(length);
    if (aMessages.size() < total) {
      break;
    }
    const std::string_view whole = aMessages.substr(0, total);
    views.push_back({ whole.front(), whole.substr(kTypeBytes + kLengthBytes), whole });
    aMessages.remove_prefix(total);
  }
  return views;
}

std::string_view FieldReader::ReadBytes(std::size_t aLength)
{
  if (aLength > this->rest.size()) {
    this->valid = false;
    this->rest = {};
    return {};
  }
  const std::string_view bytes = this->rest.substr(0, aLength);
  this->rest.remove_prefix(aLength);
  return bytes;
}

std::uint8_t FieldReader::ReadByte()
{
  const std::string_view bytes = this->ReadBytes(1);
  return bytes.empty() ? 0 : static_cast<std::uint8_t>(bytes.front());
}

std::int16_t FieldReader::ReadInt16()
{
  std::uint16_t value = 0;
  for (const char byte : this->ReadBytes(2)) {
    value = static_cast<std::uint16_t>((value << 8U) | static_cast<std::uint8_t>(byte));
  }
  return static_cast<std::int16_t>(value);
}

std::int32_t FieldReader::ReadInt32()
{
  std::uint32_t value = 0;
  for (const char byte : this->ReadBytes(4)) {
    value = (value << 8U) | static_cast<std::uint8_t>(byte);
  }
  return static_cast<std::int32_t>(value);
}

std::string_view FieldReader::ReadString()
{
  const std::size_t end = this->rest.find('\0');
  if (end == std::string_view::npos) {
    this->valid = false;
    this->rest = {};
    return {};
  }
  const std::string_view text = this->rest.substr(0, end);
  this->rest.remove_prefix(end + 1);
  return text;
}

ErrorFields ReadErrorFields(std::string_view aBody)
{
  ErrorFields fields;
  FieldReader reader(aBody);
  while (reader.IsValid() && !reader.IsAtEnd()) {
    const char kind = static_cast<char>(reader.ReadByte());
    if (kind == 0) {
      break;
    }
    const std::string_view value = reader.ReadString();
    switch (kind) {
      case 'V':
        fields.severity = value;
        break;
      case 'C':
        fields.sqlstate = value;
        break;
      case 'M':
        fields.message = value;
        break;
      default:
        break;
    }
  }
  return fields;
}

std::vector<std::optional<std::string>> ReadDataRow(std::string_view aBody)
{
  FieldReader reader(aBody);
  const std::int16_t count = reader.ReadInt16();
  std::vector<std::optional<std::string>> columns;
  for (std::int16_t column = 0; column < count && reader.IsValid(); ++column) {
    const std::int32_t length = reader.ReadInt32();
    if (length < 0) {
      columns.emplace_back(std::nullopt);
      continue;
    }
    columns.emplace_back(std::string(reader.ReadBytes(static_cast<std::size_t>(length))));
  }
  if (!reader.IsValid()) {
    columns.clear();
  }
  return columns;
}

} // namespace oleanderledge
