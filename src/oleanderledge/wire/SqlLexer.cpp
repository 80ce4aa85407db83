#include "oleanderledge/wire/SqlLexer.hpp"

namespace oleanderledge {

namespace {

bool IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

bool IsWordStart(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         aCharacter == '_' || static_cast<unsigned char>(aCharacter) >= 0x80;
}

bool IsWordPart(char aCharacter)
{
  return IsWordStart(aCharacter) || IsDigit(aCharacter) || aCharacter == '$';
}

char ToLower(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter - 'A' + 'a')
                                                : aCharacter;
}

} // namespace

SqlToken SqlLexer::Next()
{
  if (!this->SkipWhitespaceAndComments()) {
    return { SqlTokenKind::Invalid, {}, this->offset, this->sql.size() };
  }
  if (this->offset >= this->sql.size()) {
    return { SqlTokenKind::End, {}, this->offset, this->offset };
  }
  const char first = this->sql[this->offset];
  const char second = this->offset + 1 < this->sql.size() ? this->sql[this->offset + 1] : '\0';
  if (first == '\'') {
    return this->ReadQuoted('\'', false);
  }
  if ((first == 'e' || first == 'E') && second == '\'') {
    return this->ReadQuoted('\'', true);
  }
  if (first == '"') {
    return this->ReadQuoted('"', false);
  }
  if (IsWordStart(first)) {
    return this->ReadWord();
  }
  if (IsDigit(first) || ((first == '-' || first == '+') && IsDigit(second))) {
    return this->ReadNumber();
  }
  ++this->offset;
  return { SqlTokenKind::Symbol, std::string(1, first), this->offset - 1, this->offset };
}

bool SqlLexer::SkipWhitespaceAndComments()
{
  while (this->offset < this->sql.size()) {
    const std::string_view rest = this->sql.substr(this->offset);
    if (rest.starts_with("--")) {
      const std::size_t lineEnd = rest.find('\n');
      this->offset =
        lineEnd == std::string_view::npos ? this->sql.size() : this->offset + lineEnd + 1;
    } else if (rest.starts_with("/*")) {
      if (!this->SkipBlockComment()) {
        return false;
      }
    } else if (std::string_view(" \t\r\n\f\v").find(rest.front()) != std::string_view::npos) {
      ++this->offset;
    } else {
      break;
    }
  }
  return true;
}

bool SqlLexer::SkipBlockComment()
{
  std::size_t depth = 0;
  while (this->offset < this->sql.size()) {
    const std::string_view pair = this->sql.substr(this->offset, 2);
    if (pair == "/*") {
      ++depth;
      this->offset += 2;
    } else if (pair == "*/") {
      this->offset += 2;
      if (--depth == 0) {
        return true;
      }
    } else {
      ++this->offset;
    }
  }
  return false;
}

SqlToken SqlLexer::ReadWord()
{
  SqlToken token{ SqlTokenKind::Word, {}, this->offset, this->offset };
  while (this->offset < this->sql.size() && IsWordPart(this->sql[this->offset])) {
    token.text.push_back(ToLower(this->sql[this->offset++]));
  }
  token.end = this->offset;
  return token;
}

SqlToken SqlLexer::ReadNumber()
{
  SqlToken token{ SqlTokenKind::Number, {}, this->offset, this->offset };
  token.text.push_back(this->sql[this->offset++]);
  while (this->offset < this->sql.size() &&
         (IsWordPart(this->sql[this->offset]) || this->sql[this->offset] == '.')) {
    token.text.push_back(this->sql[this->offset++]);
  }
  token.end = this->offset;
  return token;
}

SqlToken SqlLexer::ReadQuoted(char aQuote, bool aWithEscapes)
{
  SqlToken token{ aQuote == '"' ? SqlTokenKind::QuotedIdentifier : SqlTokenKind::String,
                  {},
                  this->offset,
                  this->offset };
  this->offset += aWithEscapes ? 2 : 1;
  while (this->offset < this->sql.size()) {
    const char character = this->sql[this->offset++];
    const bool hasNext = this->offset < this->sql.size();
    if (character == aQuote && hasNext && this->sql[this->offset] == aQuote) {
      ++this->offset;
    } else if (character == aQuote) {
      token.end = this->offset;
      return token;
    } else if (aWithEscapes && character == '\\') {
      // Only escaped quotes and backslashes are supported; any other escape makes the token
      // Invalid.
      if (!hasNext || (this->sql[this->offset] != '\'' && this->sql[this->offset] != '\\')) {
        break;
      }
      token.text.push_back(this->sql[this->offset++]);
      continue;
    }
    token.text.push_back(character);
  }
  token.kind = SqlTokenKind::Invalid;
  token.end = this->offset = this->sql.size();
  return token;
}

} // namespace oleanderledge
