#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Statements that the proxy recognises. Everything else is `Other` and passes through unchanged.
enum class StatementKind : std::uint8_t
{
  Other,
  Set,               ///< SET [SESSION|LOCAL] name = value, SET TIME ZONE, SET NAMES.
  Show,              ///< SHOW name.
  Reset,             ///< RESET name.
  ResetAll,          ///< RESET ALL.
  Begin,             ///< BEGIN or START TRANSACTION.
  Commit,            ///< COMMIT or END.
  Rollback,          ///< ROLLBACK or ABORT of the whole transaction.
  SetCharacteristic, ///< SET SESSION CHARACTERISTICS AS TRANSACTION.
  DiscardAll,        ///< DISCARD ALL.
  Copy,              ///< Any COPY.
};

/// What was recognised in the text of one simple query or Parse.
struct RecognizedStatement
{
  StatementKind kind = StatementKind::Other;
  std::string name;  ///< Setting name in lower case, for Set, Show and Reset.
  std::string value; ///< Value without quotes; list items are joined with ", ".
  /// Source text from the name to the end of the value, to build another SET from it.
  std::string assignment;
  bool isLocal = false;         ///< SET LOCAL.
  bool isDefault = false;       ///< SET name TO DEFAULT.
  bool isChained = false;       ///< AND CHAIN.
  std::optional<bool> readOnly; ///< READ ONLY or READ WRITE among the transaction modes.
  std::string isolationLevel;   ///< In lower case; empty if not stated.
  /// The text holds, or may hold, more than one statement. Only texts of kind Other have this.
  bool mayBeMultiStatement = false;
};

/// Recognises one statement, tolerant of comments, case, quotes and trailing semicolons. A text
/// with several statements is `Other`, except that a leading COPY is always `Copy`.
RecognizedStatement RecognizeStatement(std::string_view aSql);

/// Reads a boolean setting value (on/off, true/false, yes/no, 1/0), or nothing if it is none.
std::optional<bool> ParseBoolean(std::string_view aValue);

} // namespace oleanderledge
