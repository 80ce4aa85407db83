#include "oleanderledge/wire/StartupPacket.hpp"

#include "oleanderledge/wire/MessageView.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr std::uint32_t kGssEncryptionRequestCode = 80877104;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kMajorVersion = 3;

Result<StartupPacket> ParseCancelRequest(FieldReader& aReader)
{
  CancelRequest request;
  request.processId = static_cast<std::uint32_t>(aReader.ReadInt32());
  request.secret = static_cast<std::uint32_t>(aReader.ReadInt32());
  if (!aReader.IsValid()) {
    return Fail(ResultCode::ProtocolViolation, "the cancel request is truncated");
  }
  return StartupPacket(request);
}

Result<void> AddParameter(StartupMessage& aMessage, std::string_view aName, std::string_view aValue)
{
  if (aName == "user") {
    aMessage.user = aValue;
  } else if (aName == "database") {
    aMessage.database = aValue;
  } else if (aName == "replication" && aValue != "false" && aValue != "off" && aValue != "0") {
    return Fail(ResultCode::FeatureNotSupported, "replication connections are not supported");
  } else if (aName == "options") {
    auto settings = ParseOptions(aValue);
    if (!settings) {
      return settings.as_failure();
    }
    for (auto& setting : settings.value()) {
      aMessage.parameters.push_back(std::move(setting));
    }
  } else if (aName.starts_with("_pq_.")) {
    aMessage.unsupportedOptions.emplace_back(aName);
  } else {
    aMessage.parameters.emplace_back(aName, aValue);
  }
  return boost::outcome_v2::success();
}

Result<StartupPacket> ParseStartupMessage(FieldReader& aReader, std::uint16_t aMinorVersion)
{
  StartupMessage message;
  message.minorVersion = aMinorVersion;
  while (true) {
    const std::string_view name = aReader.ReadString();
    if (!aReader.IsValid()) {
      return Fail(ResultCode::ProtocolViolation, "the start-up message is truncated");
    }
    if (name.empty()) {
      break;
    }
    const std::string_view value = aReader.ReadString();
    if (!aReader.IsValid()) {
      return Fail(ResultCode::ProtocolViolation, "the start-up message is truncated");
    }
    auto added = AddParameter(message, name, value);
    if (!added) {
      return added.as_failure();
    }
  }
  if (message.user.empty()) {
    return Fail(ResultCode::StartupRejected, "the start-up message has no user");
  }
  if (message.database.empty()) {
    message.database = message.user;
  }
  return StartupPacket(std::move(message));
}

/// Splits at spaces and tabs; a backslash escapes the next character.
std::vector<std::string> SplitWords(std::string_view aText)
{
  std::vector<std::string> words;
  std::string word;
  bool inWord = false;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '\\' && index + 1 < aText.size()) {
      word.push_back(aText[++index]);
      inWord = true;
      continue;
    }
    if (aText[index] != ' ' && aText[index] != '\t') {
      word.push_back(aText[index]);
      inWord = true;
      continue;
    }
    if (inWord) {
      words.push_back(std::move(word));
      word.clear();
      inWord = false;
    }
  }
  if (inWord) {
    words.push_back(std::move(word));
  }
  return words;
}

} // namespace

Result<StartupPacket> ParseStartupPacket(std::string_view aPacket)
{
  FieldReader reader(aPacket);
  reader.ReadInt32();
  const auto code = static_cast<std::uint32_t>(reader.ReadInt32());
  if (!reader.IsValid()) {
    return Fail(ResultCode::ProtocolViolation, "the start-up packet is truncated");
  }
  switch (code) {
    case kSslRequestCode:
    case kGssEncryptionRequestCode:
      return StartupPacket(EncryptionRequest{});
    case kCancelRequestCode:
      return ParseCancelRequest(reader);
    default:
      break;
  }
  if (code >> 16U != kMajorVersion) {
    return Fail(ResultCode::FeatureNotSupported,
                "protocol version " + std::to_string(code >> 16U) + " is not supported");
  }
  return ParseStartupMessage(reader, static_cast<std::uint16_t>(code & 0xFFFFU));
}

Result<std::vector<std::pair<std::string, std::string>>> ParseOptions(std::string_view aOptions)
{
  std::vector<std::pair<std::string, std::string>> settings;
  const std::vector<std::string> words = SplitWords(aOptions);
  for (std::size_t index = 0; index < words.size(); ++index) {
    std::string assignment;
    if (words[index] == "-c" && index + 1 < words.size()) {
      assignment = words[++index];
    } else if (words[index].starts_with("-c")) {
      assignment = words[index].substr(2);
    } else if (words[index].starts_with("--")) {
      assignment = words[index].substr(2);
      const std::size_t nameEnd = std::min(assignment.find('='), assignment.size());
      std::replace(
        assignment.begin(), assignment.begin() + static_cast<std::ptrdiff_t>(nameEnd), '-', '_');
    }
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0) {
      return Fail(ResultCode::InvalidSetting,
                  "cannot parse start-up option '" + words[index] + "'");
    }
    settings.emplace_back(assignment.substr(0, equals), assignment.substr(equals + 1));
  }
  return settings;
}

} // namespace oleanderledge
