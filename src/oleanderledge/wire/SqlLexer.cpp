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
  if (!this->SkipBlanksAndComments()) {
    return { SqlTokenKind::Invalid, {}, this->at, this->sql.size() };
  }
  if (this->at >= this->sql.size()) {
    return { SqlTokenKind::End, {}, this->at, this->at };
  }
  const char first = this->sql[this->at];
  const char second = this->at + 1 < this->sql.size() ? this->sql[this->at + 1] : '\0';
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
  ++this->at;
  return { SqlTokenKind::Symbol, std::string(1, first), this->at - 1, this->at };
}

bool SqlLexer::SkipBlanksAndComments()
{
  while (this->at < this->sql.size()) {
    const std::string_view rest = this->sql.substr(this->at);
    if (rest.starts_with("--")) {
      const std::size_t lineEnd = rest.find('\n');
      this->at = lineEnd == std::string_view::npos ? this->sql.size() : this->at + lineEnd + 1;
    } else if (rest.starts_with("/*")) {
      if (!this->SkipBlockComment()) {
        return false;
      }
    } else if (std::string_view(" \t\r\n\f\v").find(rest.front()) != std::string_view::npos) {
      ++this->at;
    } else {
      break;
    }
  }
  return true;
}

bool SqlLexer::SkipBlockComment()
{
  std::size_t depth = 0;
  while (this->at < this->sql.size()) {
    const std::string_view pair = this->sql.substr(this->at, 2);
    if (pair == "/*") {
      ++depth;
      this->at += 2;
    } else if (pair == "*/") {
      this->at += 2;
      if (--depth == 0) {
        return true;
      }
    } else {
      ++this->at;
    }
  }
  return false;
}

SqlToken SqlLexer::ReadWord()
{
  SqlToken token{ SqlTokenKind::Word, {}, this->at, this->at };
  while (this->at < this->sql.size() && IsWordPart(this->sql[this->at])) {
    token.text.push_back(ToLower(this->sql[this->at++]));
  }
  token.end = this->at;
  return token;
}

SqlToken SqlLexer::ReadNumber()
{
  SqlToken token{ SqlTokenKind::Number, {}, this->at, this->at };
  token.text.push_back(this->sql[this->at++]);
  while (this->at < this->sql.size() &&
         (IsWordPart(this->sql[this->at]) || this->sql[this->at] == '.')) {
    token.text.push_back(this->sql[this->at++]);
  }
  token.end = this->at;
  return token;
}

SqlToken SqlLexer::ReadQuoted(char aQuote, bool aWithEscapes)
{
  SqlToken token{
    aQuote == '"' ? SqlTokenKind::QuotedIdentifier : SqlTokenKind::String, {}, this->at, this->at
  };
  this->at += aWithEscapes ? 2 : 1;
  while (this->at < this->sql.size()) {
    const char character = this->sql[this->at++];
    const bool hasNext = this->at < this->sql.size();
    if (character == aQuote && hasNext && this->sql[this->at] == aQuote) {
      ++this->at;
    } else if (character == aQuote) {
      token.end = this->at;
      return token;
    } else if (aWithEscapes && character == '\\') {
      // Only escaped quotes and backslashes are understood; other escapes make the text unknown.
      if (!hasNext || (this->sql[this->at] != '\'' && this->sql[this->at] != '\\')) {
        break;
      }
      token.text.push_back(this->sql[this->at++]);
      continue;
    }
    token.text.push_back(character);
  }
  token.kind = SqlTokenKind::Invalid;
  token.end = this->at = this->sql.size();
  return token;
}

} // namespace oleanderledge
