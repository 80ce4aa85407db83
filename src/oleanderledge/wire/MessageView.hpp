#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// View of one whole typed message. The buffer must outlive it.
struct MessageView
{
  char type = 0;          ///< The type byte.
  std::string_view body;  ///< Without type and length.
  std::string_view whole; ///< With type and length, ready to relay.
};

/// Splits a buffer of whole messages. Stops silently at the first incomplete or malformed one.
std::vector<MessageView> SplitMessages(std::string_view aMessages);

/// Reads the fields of a message body in order. A read past the end returns zero or an empty value,
/// consumes the rest of the body and makes IsValid() false for good.
class FieldReader
{
public:
  explicit FieldReader(std::string_view aBody)
    : rest(aBody)
  {
  }

  std::uint8_t ReadByte();
  std::int16_t ReadInt16();
  std::int32_t ReadInt32();
  /// Reads a string up to its terminating zero byte.
  std::string_view ReadString();
  std::string_view ReadBytes(std::size_t aLength);

  bool IsValid() const { return this->valid; }
  bool IsAtEnd() const { return this->rest.empty(); }

private:
  std::string_view rest;
  bool valid = true;
};

/// Fields of an ErrorResponse or NoticeResponse that the proxy uses.
struct ErrorFields
{
  std::string severity;
  std::string sqlstate;
  std::string message;
};

/// Reads the body of an ErrorResponse or NoticeResponse. Missing fields stay empty.
ErrorFields ReadErrorFields(std::string_view aBody);

/// Column values of a DataRow body; nullopt for NULL. Empty if the body is malformed.
std::vector<std::optional<std::string>> ReadDataRow(std::string_view aBody);

} // namespace oleanderledge
