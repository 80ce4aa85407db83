#include "SqliteDatabase.hpp"

#include <sqlite3.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace oleanderledge::stand_in {

namespace {

using Statement = std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt*)>;

Statement Prepare(sqlite3* aHandle, std::string_view aSql)
{
  sqlite3_stmt* raw = nullptr;
  sqlite3_prepare_v2(aHandle, aSql.data(), static_cast<int>(aSql.size()), &raw, nullptr);
  return { raw, &sqlite3_finalize };
}

/// Number N of a parameter named "$N", or 0. SQLite treats `$1::text` as one name, so the text
/// after the digits is ignored.
int NumberOf(const char* aName)
{
  if (aName == nullptr || *aName != '$') {
    return 0;
  }
  int number = 0;
  std::from_chars(aName + 1, aName + std::strlen(aName), number);
  return number;
}

std::string_view SqlstateOf(int aExtendedCode, std::string_view aMessage)
{
  switch (aExtendedCode) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_ROWID:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    case SQLITE_MISMATCH:
    case SQLITE_CONSTRAINT_DATATYPE:
      return "22P02";
    default:
      break;
  }
  if (aMessage.starts_with("no such table") || aMessage.starts_with("no such index")) {
    return "42P01";
  }
  if (aMessage.starts_with("no such column") || aMessage.find("has no column") != aMessage.npos) {
    return "42703";
  }
  if (aMessage.starts_with("no such function")) {
    return "42883";
  }
  if (aMessage.find("already exists") != aMessage.npos) {
    return "42P07";
  }
  if (aMessage.find("syntax error") != aMessage.npos || aMessage.starts_with("incomplete input") ||
      aMessage.starts_with("unrecognized token")) {
    return "42601";
  }
  return "XX000";
}

std::vector<std::string> ColumnsOf(sqlite3_stmt* aStatement)
{
  std::vector<std::string> columns;
  columns.reserve(static_cast<std::size_t>(sqlite3_column_count(aStatement)));
  for (int column = 0; column < sqlite3_column_count(aStatement); ++column) {
    columns.emplace_back(sqlite3_column_name(aStatement, column));
  }
  return columns;
}

std::vector<std::optional<std::string>> RowOf(sqlite3_stmt* aStatement)
{
  std::vector<std::optional<std::string>> row;
  row.reserve(static_cast<std::size_t>(sqlite3_column_count(aStatement)));
  for (int column = 0; column < sqlite3_column_count(aStatement); ++column) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(aStatement, column));
    if (text == nullptr) {
      row.emplace_back(std::nullopt);
      continue;
    }
    row.emplace_back(
      std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(aStatement, column))));
  }
  return row;
}

} // namespace

SqliteDatabase::SqliteDatabase()
{
  this->Open();
}

SqliteDatabase::~SqliteDatabase()
{
  this->Close();
}

void SqliteDatabase::Open()
{
  if (sqlite3_open(":memory:", &this->handle) != SQLITE_OK) {
    throw std::runtime_error("cannot open an SQLite database in memory");
  }
  sqlite3_extended_result_codes(this->handle, 1);
  // Clients must not reach files through ATTACH.
  sqlite3_limit(this->handle, SQLITE_LIMIT_ATTACHED, 0);
}

void SqliteDatabase::Close()
{
  sqlite3_close(this->handle);
  this->handle = nullptr;
}

SqlError SqliteDatabase::LastError() const
{
  const std::string message = sqlite3_errmsg(this->handle);
  return { std::string(SqlstateOf(sqlite3_extended_errcode(this->handle), message)), message };
}

StatementShape SqliteDatabase::Describe(std::string_view aSql) const
{
  StatementShape shape;
  const Statement statement = Prepare(this->handle, aSql);
  if (!statement) {
    if (sqlite3_errcode(this->handle) != SQLITE_OK) {
      shape.error = this->LastError();
    }
    return shape;
  }
  shape.columns = ColumnsOf(statement.get());
  shape.readOnly = sqlite3_stmt_readonly(statement.get()) != 0;
  for (int index = 1; index <= sqlite3_bind_parameter_count(statement.get()); ++index) {
    shape.parameterCount =
      std::max(shape.parameterCount, NumberOf(sqlite3_bind_parameter_name(statement.get(), index)));
  }
  return shape;
}

StatementResult SqliteDatabase::Execute(std::string_view aSql, const Parameters& aParameters)
{
  StatementResult result;
  const Statement statement = Prepare(this->handle, aSql);
  if (!statement) {
    if (sqlite3_errcode(this->handle) != SQLITE_OK) {
      result.error = this->LastError();
    }
    return result;
  }
  for (int index = 1; index <= sqlite3_bind_parameter_count(statement.get()); ++index) {
    const int number = NumberOf(sqlite3_bind_parameter_name(statement.get(), index));
    if (number < 1 || static_cast<std::size_t>(number) > aParameters.size()) {
      result.error = SqlError{ "42P02", "there is no parameter $" + std::to_string(number) };
      return result;
    }
    const auto& value = aParameters[static_cast<std::size_t>(number) - 1];
    if (value) {
      sqlite3_bind_text(statement.get(),
                        index,
                        value->data(),
                        static_cast<int>(value->size()),
                        SQLITE_TRANSIENT); // NOLINT(performance-no-int-to-ptr): SQLite's macro
    }
  }
  result.columns = ColumnsOf(statement.get());
  int step = sqlite3_step(statement.get());
  while (step == SQLITE_ROW) {
    result.rows.push_back(RowOf(statement.get()));
    step = sqlite3_step(statement.get());
  }
  if (step != SQLITE_DONE) {
    result.error = this->LastError();
    return result;
  }
  result.isWrite = sqlite3_stmt_readonly(statement.get()) == 0;
  if (result.isWrite) {
    result.changes = sqlite3_changes64(this->handle);
  }
  return result;
}

std::string SqliteDatabase::Copy() const
{
  sqlite3_int64 size = 0;
  unsigned char* bytes = sqlite3_serialize(this->handle, "main", &size, 0);
  std::string copy;
  if (bytes != nullptr) {
    copy.assign(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    sqlite3_free(bytes);
  }
  return copy;
}

void SqliteDatabase::Replace(const std::string& aBytes)
{
  this->Close();
  this->Open();
  if (aBytes.empty()) {
    return;
  }
  auto* buffer = static_cast<unsigned char*>(sqlite3_malloc64(aBytes.size()));
  if (buffer == nullptr) {
    throw std::bad_alloc();
  }
  std::copy(aBytes.begin(), aBytes.end(), buffer);
  const auto size = static_cast<sqlite3_int64>(aBytes.size());
  const int result =
    sqlite3_deserialize(this->handle,
                        "main",
                        buffer,
                        size,
                        size,
                        SQLITE_DESERIALIZE_FREEONCLOSE | SQLITE_DESERIALIZE_RESIZEABLE);
  if (result != SQLITE_OK) {
    throw std::runtime_error("cannot load a copy of the database");
  }
}

} // namespace oleanderledge::stand_in
