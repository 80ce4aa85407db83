#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Statements that the proxy recognises. Every other one is `Other` and is passed through
/// unchanged.
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

/// Result of RecognizeStatement().
struct RecognizedStatement
{
  StatementKind kind = StatementKind::Other;
  std::string name;  ///< Setting name in lower case, for Set, Show and Reset.
  std::string value; ///< Value without quotes; list items are joined with ", ".
  /// For Set: SQL text from the name to the end of the value, to build another SET from it.
  std::string assignment;
  bool isLocal = false;         ///< SET LOCAL.
  bool isDefault = false;       ///< SET name TO DEFAULT or SET TIME ZONE LOCAL.
  bool isChained = false;       ///< COMMIT or ROLLBACK with AND CHAIN.
  std::optional<bool> readOnly; ///< READ ONLY or READ WRITE among the transaction modes.
  std::string isolationLevel;   ///< In lower case; empty if not stated.
  /// The text contains, or may contain, more than one statement. Set only for Other.
  bool mayBeMultiStatement = false;
};

/// Recognises the statement in the text of a simple query or Parse, whatever its case, quoting,
/// comments and leading or trailing semicolons. A text with several statements is `Other`, but one
/// that starts with COPY is always `Copy`.
RecognizedStatement RecognizeStatement(std::string_view aSql);

/// Parses the value of a boolean setting (on/off, true/false, yes/no, t/f, 1/0; in any case), or
/// returns nothing if it is invalid.
std::optional<bool> ParseBoolean(std::string_view aValue);

} // namespace oleanderledge
