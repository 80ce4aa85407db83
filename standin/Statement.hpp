#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderledge::stand_in {

enum class StatementKind : std::uint8_t
{
  Empty,
  Begin,
  Commit,
  Rollback,
  Savepoint,
  ReleaseSavepoint,
  RollbackToSavepoint,
  Set,
  SetTransaction,
  SetSessionCharacteristics,
  Show,
  Reset,
  Discard,
  Deallocate,
  Copy,
  Unsupported,
  PlatformStatus,
  PlatformPromote,
  Sleep,
  Sql, ///< Everything that SQLite runs.
};

/// A statement with the properties that the stand-in handles itself instead of SQLite.
struct Statement
{
  StatementKind kind = StatementKind::Empty;
  std::string sql;
  std::string verb;       ///< First keyword in upper case; two for CREATE, DROP and ALTER.
  std::string name;       ///< Of the setting (lower case), savepoint or prepared statement; "ALL".
  std::string value;      ///< Value of SET, or the argument of a platform function or pg_sleep.
  bool isLocal = false;   ///< SET LOCAL.
  bool toDefault = false; ///< SET ... TO DEFAULT.
  std::optional<bool> readOnly; ///< READ ONLY or READ WRITE, if stated.
};

/// Recognises the kind of one statement.
Statement ParseStatement(std::string_view aSql);

} // namespace oleanderledge::stand_in
