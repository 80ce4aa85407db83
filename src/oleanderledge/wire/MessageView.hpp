#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// One whole typed message inside a buffer that outlives the view.
struct MessageView
{
  char type = 0;          ///< The type byte.
  std::string_view body;  ///< Without type and length.
  std::string_view whole; ///< With type and length, ready to relay.
};

/// Splits a buffer of whole messages. Stops at the first incomplete or malformed one.
std::vector<MessageView> SplitMessages(std::string_view aMessages);

/// Reads the fields of a message body in order. After a read past the end `IsValid()` is false and
/// all further reads give zero or empty values.
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
  /// A string that ends with a zero byte.
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

/// Reads the body of an ErrorResponse or NoticeResponse.
ErrorFields ReadErrorFields(std::string_view aBody);

/// Column values of a DataRow body; nullopt for NULL. Empty if the body is malformed.
std::vector<std::optional<std::string>> ReadDataRow(std::string_view aBody);

} // namespace oleanderledge
