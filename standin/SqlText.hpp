#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge::stand_in {

/// One token of SQL text.
struct SqlToken
{
  std::string text;    ///< As written; the content for quoted ones.
  std::string upper;   ///< In upper case; empty for quoted ones.
  bool quoted = false; ///< A literal in single quotes or a name in double quotes.

  bool Is(std::string_view aKeyword) const { return this->upper == aKeyword; }
};

/// Splits a query string at semicolons outside quotes and comments. Empty parts are left out.
std::vector<std::string> SplitStatements(std::string_view aSql);

/// The first `aLimit` tokens: words (with digits, dots, underscores and `$`), quoted texts and
/// single punctuation characters. Comments are skipped.
std::vector<SqlToken> TokensOf(std::string_view aSql, std::size_t aLimit = 64);

} // namespace oleanderledge::stand_in
