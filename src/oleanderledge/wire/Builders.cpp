#include "oleanderledge/wire/Builders.hpp"

namespace oleanderledge {

namespace {

constexpr std::uint32_t kProtocolVersion = 3U << 16U;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::int32_t kTextTypeOid = 25;

void AppendInt32(std::string& aTarget, std::uint32_t aValue)
{
  for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
    aTarget.push_back(static_cast<char>((aValue >> shift) & 0xFFU));
  }
}

void AppendInt16(std::string& aTarget, std::uint16_t aValue)
{
  aTarget.push_back(static_cast<char>(aValue >> 8U));
  aTarget.push_back(static_cast<char>(aValue & 0xFFU));
}

void AppendString(std::string& aTarget, std::string_view aText)
{
  // A zero byte ends a string on the wire, so the rest of a text after one cannot be sent.
  aTarget.append(aText.substr(0, aText.find('\0')));
  aTarget.push_back('\0');
}

std::string BuildUntypedPacket(std::string_view aBody)
{
  std::string packet;
  AppendInt32(packet, static_cast<std::uint32_t>(aBody.size() + 4));
  packet.append(aBody);
  return packet;
}

void AppendErrorField(std::string& aBody, char aKind, std::string_view aValue)
{
  if (aValue.empty()) {
    return;
  }
  aBody.push_back(aKind);
  AppendString(aBody, aValue);
}

} // namespace

std::string BuildMessage(char aType, std::string_view aBody)
{
  std::string message(1, aType);
  AppendInt32(message, static_cast<std::uint32_t>(aBody.size() + 4));
  message.append(aBody);
  return message;
}

std::string BuildAuthenticationOk()
{
  std::string body;
  AppendInt32(body, 0);
  return BuildMessage('R', body);
}

std::string BuildParameterStatus(std::string_view aName, std::string_view aValue)
{
  std::string body;
  AppendString(body, aName);
  AppendString(body, aValue);
  return BuildMessage('S', body);
}

std::string BuildBackendKeyData(std::uint32_t aProcessId, std::uint32_t aSecret)
{
  std::string body;
  AppendInt32(body, aProcessId);
  AppendInt32(body, aSecret);
  return BuildMessage('K', body);
}

std::string BuildReadyForQuery(char aStatus)
{
  return BuildMessage('Z', std::string_view(&aStatus, 1));
}

std::string BuildErrorResponse(std::string_view aSeverity,
                               std::string_view aSqlstate,
                               std::string_view aMessage,
                               std::string_view aHint)
{
  std::string body;
  AppendErrorField(body, 'S', aSeverity);
  AppendErrorField(body, 'V', aSeverity);
  AppendErrorField(body, 'C', aSqlstate);
  AppendErrorField(body, 'M', aMessage);
  AppendErrorField(body, 'H', aHint);
  body.push_back('\0');
  return BuildMessage('E', body);
}

std::string BuildNoticeResponse(std::string_view aSqlstate, std::string_view aMessage)
{
  std::string body;
  AppendErrorField(body, 'S', "NOTICE");
  AppendErrorField(body, 'V', "NOTICE");
  AppendErrorField(body, 'C', aSqlstate);
  AppendErrorField(body, 'M', aMessage);
  body.push_back('\0');
  return BuildMessage('N', body);
}

std::string BuildCommandComplete(std::string_view aTag)
{
  std::string body;
  AppendString(body, aTag);
  return BuildMessage('C', body);
}

std::string BuildRowDescription(std::span<const std::string> aColumns)
{
  std::string body;
  AppendInt16(body, static_cast<std::uint16_t>(aColumns.size()));
  for (const std::string& column : aColumns) {
    AppendString(body, column);
    AppendInt32(body, 0); // no table
    AppendInt16(body, 0); // no column number
    AppendInt32(body, kTextTypeOid);
    AppendInt16(body, 0xFFFF);     // variable length
    AppendInt32(body, 0xFFFFFFFF); // no type modifier
    AppendInt16(body, 0);          // text format
  }
  return BuildMessage('T', body);
}

std::string BuildDataRow(std::span<const std::optional<std::string>> aValues)
{
  std::string body;
  AppendInt16(body, static_cast<std::uint16_t>(aValues.size()));
  for (const auto& value : aValues) {
    if (!value) {
      AppendInt32(body, 0xFFFFFFFF);
      continue;
    }
    AppendInt32(body, static_cast<std::uint32_t>(value->size()));
    body.append(*value);
  }
  return BuildMessage('D', body);
}

std::string BuildEmptyMessage(char aType)
{
  return BuildMessage(aType, {});
}

std::string BuildParameterDescription(std::size_t aCount)
{
  std::string body;
  AppendInt16(body, static_cast<std::uint16_t>(aCount));
  for (std::size_t parameter = 0; parameter < aCount; ++parameter) {
    AppendInt32(body, kTextTypeOid);
  }
  return BuildMessage('t', body);
}

std::string BuildStartup(std::span<const std::pair<std::string, std::string>> aParameters)
{
  std::string body;
  AppendInt32(body, kProtocolVersion);
  for (const auto& [name, value] : aParameters) {
    AppendString(body, name);
    AppendString(body, value);
  }
  body.push_back('\0');
  return BuildUntypedPacket(body);
}

std::string BuildCancelRequest(std::uint32_t aProcessId, std::uint32_t aSecret)
{
  std::string body;
  AppendInt32(body, kCancelRequestCode);
  AppendInt32(body, aProcessId);
  AppendInt32(body, aSecret);
  return BuildUntypedPacket(body);
}

std::string BuildQuery(std::string_view aSql)
{
  std::string body;
  AppendString(body, aSql);
  return BuildMessage('Q', body);
}

std::string BuildCloseStatement(std::string_view aName)
{
  std::string body("S");
  AppendString(body, aName);
  return BuildMessage('C', body);
}

std::string BuildSync()
{
  return BuildMessage('S', {});
}

std::string BuildTerminate()
{
  return BuildMessage('X', {});
}

std::string QuoteLiteral(std::string_view aText)
{
  std::string literal("'");
  for (const char character : aText) {
    if (character == '\'') {
      literal.push_back('\'');
    }
    literal.push_back(character);
  }
  literal.push_back('\'');
  return literal;
}

} // namespace oleanderledge
