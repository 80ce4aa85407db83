#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderledge {

enum class SqlTokenKind : std::uint8_t
{
  End,
  Word,             ///< Unquoted identifier or keyword; `text` is in lower case.
  QuotedIdentifier, ///< Text without the quotes.
  String,           ///< Text without the quotes, with doubled quotes and escapes resolved.
  Number,           ///< Digits with an optional sign, point and unit letters.
  Symbol,           ///< One other character.
  Invalid,          ///< An unterminated quote or comment, or an unsupported escape.
};

struct SqlToken
{
  SqlTokenKind kind = SqlTokenKind::End;
  std::string text;
  std::size_t begin = 0; ///< Byte offset of the token in the SQL text.
  std::size_t end = 0;   ///< Byte offset after the token.

  bool IsWord(std::string_view aText) const
  {
    return this->kind == SqlTokenKind::Word && this->text == aText;
  }
  bool IsSymbol(char aSymbol) const
  {
    return this->kind == SqlTokenKind::Symbol && this->text.front() == aSymbol;
  }
};

/// Splits SQL text into the tokens that RecognizeStatement() needs. Skips white space, line
/// comments and nested block comments. Has no tokens for dollar quotes and numeric expressions;
/// statements with them are never recognised.
class SqlLexer
{
public:
  explicit SqlLexer(std::string_view aSql)
    : sql(aSql)
  {
  }

  /// The next token. End after the last one; Invalid also consumes the rest of the text.
  SqlToken Next();

private:
  bool SkipWhitespaceAndComments();
  bool SkipBlockComment();
  SqlToken ReadWord();
  SqlToken ReadNumber();
  SqlToken ReadQuoted(char aQuote, bool aWithEscapes);

  std::string_view sql;
  std::size_t offset = 0; ///< Of the next unread byte.
};

} // namespace oleanderledge
