#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge {

enum class SqlTokenKind : std::uint8_t
{
  End,
  Word,             ///< Unquoted identifier or keyword; the text is in lower case.
  QuotedIdentifier, ///< Text without the quotes.
  String,           ///< Text without the quotes.
  Number,           ///< Digits with an optional sign, point and unit letters.
  Symbol,           ///< One other character.
  Invalid,          ///< An unterminated quote or comment.
};

struct SqlToken
{
  SqlTokenKind kind = SqlTokenKind::End;
  std::string text;
  std::size_t begin = 0; ///< Offset in the source.
  std::size_t end = 0;   ///< Offset after the token.

  bool IsWord(std::string_view aText) const
  {
    return this->kind == SqlTokenKind::Word && this->text == aText;
  }
  bool IsSymbol(char aSymbol) const
  {
    return this->kind == SqlTokenKind::Symbol && this->text.front() == aSymbol;
  }
};

/// Splits SQL text into the tokens that RecognizeStatement() needs. Skips blanks, line comments and
/// nested block comments. Dollar quotes and numeric expressions are not understood; texts with them
/// are never recognised.
class SqlLexer
{
public:
  explicit SqlLexer(std::string_view aSql)
    : sql(aSql)
  {
  }

  SqlToken Next();

private:
  bool SkipBlanksAndComments();
  bool SkipBlockComment();
  SqlToken ReadWord();
  SqlToken ReadNumber();
  SqlToken ReadQuoted(char aQuote, bool aWithEscapes);

  std::string_view sql;
  std::size_t at = 0;
};

} // namespace oleanderledge
