#include "SqlText.hpp"

#include <algorithm>
#include <cctype>

namespace oleanderledge::stand_in {

namespace {

bool IsWordCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '_' ||
         aCharacter == '.' || aCharacter == '$' || static_cast<unsigned char>(aCharacter) >= 0x80;
}

bool IsBlank(char aCharacter)
{
  return std::isspace(static_cast<unsigned char>(aCharacter)) != 0;
}

/// End of the quoted text that starts at `aStart`; a doubled quote is an escaped quote.
std::size_t EndOfQuoted(std::string_view aSql, std::size_t aStart)
{
  const char quote = aSql[aStart];
  std::size_t at = aStart + 1;
  while (at < aSql.size()) {
    if (aSql[at] != quote) {
      ++at;
      continue;
    }
    if (at + 1 >= aSql.size() || aSql[at + 1] != quote) {
      return at + 1;
    }
    at += 2;
  }
  return aSql.size();
}

/// End of the comment that starts at `aStart`, or `aStart` if none starts there.
std::size_t EndOfComment(std::string_view aSql, std::size_t aStart)
{
  const std::string_view rest = aSql.substr(aStart);
  if (rest.starts_with("--")) {
    return std::min(aSql.find('\n', aStart), aSql.size());
  }
  if (rest.starts_with("/*")) {
    const std::size_t end = aSql.find("*/", aStart + 2);
    return end == std::string_view::npos ? aSql.size() : end + 2;
  }
  return aStart;
}

std::string Unquote(std::string_view aQuoted)
{
  const char quote = aQuoted.front();
  std::string text;
  for (std::size_t at = 1; at < aQuoted.size(); ++at) {
    if (aQuoted[at] == quote) {
      ++at;
      if (at >= aQuoted.size()) {
        break;
      }
    }
    text.push_back(aQuoted[at]);
  }
  return text;
}

SqlToken MakeWord(std::string_view aText)
{
  SqlToken token;
  token.text = aText;
  token.upper = aText;
  for (char& character : token.upper) {
    character = static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  return token;
}

} // namespace

std::vector<std::string> SplitStatements(std::string_view aSql)
{
  std::vector<std::string> statements;
  std::size_t start = 0;
  const auto add = [&](std::size_t aEnd) {
    const std::string_view part = aSql.substr(start, aEnd - start);
    if (!TokensOf(part, 1).empty()) {
      statements.emplace_back(part);
    }
    start = aEnd + 1;
  };
  std::size_t at = 0;
  while (at < aSql.size()) {
    if (aSql[at] == '\'' || aSql[at] == '"') {
      at = EndOfQuoted(aSql, at);
      continue;
    }
    if (const std::size_t end = EndOfComment(aSql, at); end != at) {
      at = end;
      continue;
    }
    if (aSql[at] == ';') {
      add(at);
    }
    ++at;
  }
  if (start < aSql.size()) {
    add(aSql.size());
  }
  return statements;
}

std::vector<SqlToken> TokensOf(std::string_view aSql, std::size_t aLimit)
{
  std::vector<SqlToken> tokens;
  std::size_t at = 0;
  while (at < aSql.size() && tokens.size() < aLimit) {
    if (IsBlank(aSql[at])) {
      ++at;
      continue;
    }
    if (const std::size_t end = EndOfComment(aSql, at); end != at) {
      at = end;
      continue;
    }
    if (aSql[at] == '\'' || aSql[at] == '"') {
      const std::size_t end = EndOfQuoted(aSql, at);
      tokens.push_back({ Unquote(aSql.substr(at, end - at)), {}, true });
      at = end;
      continue;
    }
    std::size_t end = at;
    while (end < aSql.size() && IsWordCharacter(aSql[end])) {
      ++end;
    }
    end = std::max(end, at + 1);
    tokens.push_back(MakeWord(aSql.substr(at, end - at)));
    at = end;
  }
  return tokens;
}

} // namespace oleanderledge::stand_in
