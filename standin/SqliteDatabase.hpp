#pragma once

#include "StatementResult.hpp"

#include <string>
#include <string_view>

struct sqlite3;

namespace oleanderledge::stand_in {

/// One SQLite database in memory.
class SqliteDatabase
{
public:
  SqliteDatabase();
  ~SqliteDatabase();
  SqliteDatabase(const SqliteDatabase&) = delete;
  SqliteDatabase& operator=(const SqliteDatabase&) = delete;

  /// Compiles one statement without running it.
  StatementShape Describe(std::string_view aSql) const;

  /// Runs one statement with `$N` parameters. The tag of the result is left empty.
  StatementResult Execute(std::string_view aSql, const Parameters& aParameters = {});

  /// Serializes the whole database. Must not be called inside a transaction.
  std::string Copy() const;

  /// Replaces the content with the bytes of Copy(); empty bytes give an empty database.
  /// Throws std::runtime_error if the bytes cannot be loaded.
  void Replace(const std::string& aBytes);

private:
  void Open();
  void Close();
  SqlError LastError() const;

  sqlite3* handle = nullptr;
};

} // namespace oleanderledge::stand_in
