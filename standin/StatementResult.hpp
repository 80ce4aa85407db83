#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge::stand_in {

/// Parameters of a statement in text format; nullopt is NULL.
using Parameters = std::vector<std::optional<std::string>>;

/// A failed statement.
struct SqlError
{
  std::string sqlstate;
  std::string message;
};

/// What a statement returns without being run.
struct StatementShape
{
  std::vector<std::string> columns; ///< Empty if it returns no rows.
  int parameterCount = 0;           ///< The highest number N of all `$N`.
  bool readOnly = true;
  std::optional<SqlError> error;
};

/// The outcome of one statement.
struct StatementResult
{
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::int64_t changes = 0; ///< Rows written.
  bool isWrite = false;     ///< The statement is not read-only.
  std::string tag;          ///< Command tag, for example "INSERT 0 1". Empty for an empty query.
  std::string notice;       ///< Empty if there is none.
  std::optional<SqlError> error;
};

} // namespace oleanderledge::stand_in
