#include "oleanderledge/wire/StatementRecognizer.hpp"

#include "oleanderledge/wire/SqlLexer.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <vector>

namespace oleanderledge {

namespace {

/// Limit for the tokens of one statement. Longer statements are taken as Other; among those that
/// could be recognised, only a SET with a long list of values is that long.
constexpr std::size_t kMaxTokens = 128;

constexpr std::array<std::string_view, 10> kRecognizedFirstWords = {
  "set", "show", "reset", "begin", "start", "commit", "end", "rollback", "abort", "discard"
};

/// Reads a list of tokens from front to back. Peek() and Take() need a token that is left.
class TokenCursor
{
public:
  explicit TokenCursor(std::span<const SqlToken> aTokens)
    : rest(aTokens)
  {
  }

  bool IsAtEnd() const { return this->rest.empty(); }
  const SqlToken& Peek() const { return this->rest.front(); }
  std::span<const SqlToken> Rest() const { return this->rest; }

  const SqlToken& Take()
  {
    const SqlToken& token = this->rest.front();
    this->rest = this->rest.subspan(1);
    return token;
  }

  bool TakeWord(std::string_view aText)
  {
    if (this->rest.empty() || !this->rest.front().IsWord(aText)) {
      return false;
    }
    this->Take();
    return true;
  }

  bool TakeSymbol(char aSymbol)
  {
    if (this->rest.empty() || !this->rest.front().IsSymbol(aSymbol)) {
      return false;
    }
    this->Take();
    return true;
  }

  /// Takes the words if all of them are next, or none.
  bool TakeWords(std::initializer_list<std::string_view> aWords)
  {
    if (this->rest.size() < aWords.size()) {
      return false;
    }
    if (!std::equal(
          aWords.begin(),
          aWords.end(),
          this->rest.begin(),
          [](std::string_view aWord, const SqlToken& aToken) { return aToken.IsWord(aWord); })) {
      return false;
    }
    this->rest = this->rest.subspan(aWords.size());
    return true;
  }

private:
  std::span<const SqlToken> rest;
};

/// Takes the name of a setting, which may have several parts with dots between them, in lower case.
/// Returns an empty string if there is none.
std::string TakeName(TokenCursor& aCursor)
{
  std::string name;
  while (!aCursor.IsAtEnd()) {
    const SqlToken& token = aCursor.Peek();
    if (token.kind != SqlTokenKind::Word && token.kind != SqlTokenKind::QuotedIdentifier) {
      return {};
    }
    std::string part = aCursor.Take().text;
    std::transform(part.begin(), part.end(), part.begin(), [](char aCharacter) {
      return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter - 'A' + 'a')
                                                    : aCharacter;
    });
    name += part;
    if (!aCursor.TakeSymbol('.')) {
      return name;
    }
    name.push_back('.');
  }
  return {};
}

/// Takes a comma-separated list of simple values. Returns false unless the list is the rest of the
/// statement.
bool TakeValues(TokenCursor& aCursor, RecognizedStatement& aStatement)
{
  if (aCursor.Rest().size() == 1 && aCursor.TakeWord("default")) {
    aStatement.isDefault = true;
    return true;
  }
  bool isFirst = true;
  while (!aCursor.IsAtEnd()) {
    const SqlToken& token = aCursor.Take();
    if (token.kind == SqlTokenKind::Symbol) {
      return false;
    }
    aStatement.value += isFirst ? token.text : ", " + token.text;
    isFirst = false;
    if (!aCursor.IsAtEnd() && (!aCursor.TakeSymbol(',') || aCursor.IsAtEnd())) {
      return false;
    }
  }
  return !isFirst;
}

/// Takes transaction modes. Returns false unless they are the rest of the statement.
bool TakeTransactionModes(TokenCursor& aCursor, RecognizedStatement& aStatement)
{
  while (!aCursor.IsAtEnd()) {
    if (aCursor.TakeWords({ "read", "only" })) {
      aStatement.readOnly = true;
    } else if (aCursor.TakeWords({ "read", "write" })) {
      aStatement.readOnly = false;
    } else if (aCursor.TakeWords({ "isolation", "level" })) {
      if (aCursor.TakeWord("serializable")) {
        aStatement.isolationLevel = "serializable";
      } else if (aCursor.TakeWords({ "repeatable", "read" })) {
        aStatement.isolationLevel = "repeatable read";
      } else if (aCursor.TakeWords({ "read", "committed" })) {
        aStatement.isolationLevel = "read committed";
      } else if (aCursor.TakeWords({ "read", "uncommitted" })) {
        aStatement.isolationLevel = "read uncommitted";
      } else {
        return false;
      }
    } else if (!aCursor.TakeWord("deferrable") && !aCursor.TakeWords({ "not", "deferrable" })) {
      return false;
    }
    if (aCursor.TakeSymbol(',') && aCursor.IsAtEnd()) {
      return false;
    }
  }
  return true;
}

bool ReadSet(TokenCursor& aCursor, RecognizedStatement& aStatement, std::string_view aSql)
{
  if (aCursor.TakeWords({ "session", "characteristics", "as", "transaction" })) {
    aStatement.kind = StatementKind::SetCharacteristic;
    return !aCursor.IsAtEnd() && TakeTransactionModes(aCursor, aStatement);
  }
  aStatement.kind = StatementKind::Set;
  if (aCursor.TakeWord("local")) {
    aStatement.isLocal = true;
  } else {
    aCursor.TakeWord("session");
  }
  if (aCursor.IsAtEnd()) {
    return false;
  }
  const std::size_t begin = aCursor.Peek().begin;
  const std::size_t end = aCursor.Rest().back().end;
  aStatement.assignment = aSql.substr(begin, end - begin);
  if (aCursor.TakeWords({ "time", "zone" })) {
    aStatement.name = "timezone";
    if (aCursor.TakeWord("local")) {
      aStatement.isDefault = true;
      return aCursor.IsAtEnd();
    }
    return TakeValues(aCursor, aStatement);
  }
  if (aCursor.TakeWord("names")) {
    aStatement.name = "client_encoding";
    return TakeValues(aCursor, aStatement);
  }
  aStatement.name = TakeName(aCursor);
  if (aStatement.name.empty() || (!aCursor.TakeSymbol('=') && !aCursor.TakeWord("to"))) {
    return false;
  }
  return TakeValues(aCursor, aStatement);
}

bool ReadTransactionEnd(TokenCursor& aCursor, RecognizedStatement& aStatement, StatementKind aKind)
{
  aStatement.kind = aKind;
  if (!aCursor.TakeWord("work")) {
    aCursor.TakeWord("transaction");
  }
  if (aCursor.TakeWords({ "and", "chain" })) {
    aStatement.isChained = true;
  } else {
    aCursor.TakeWords({ "and", "no", "chain" });
  }
  return aCursor.IsAtEnd();
}

bool ReadSettingReference(TokenCursor& aCursor,
                          RecognizedStatement& aStatement,
                          StatementKind aKind)
{
  aStatement.kind = aKind;
  if (aCursor.TakeWords({ "time", "zone" })) {
    aStatement.name = "timezone";
  } else {
    aStatement.name = TakeName(aCursor);
  }
  return !aStatement.name.empty() && aCursor.IsAtEnd();
}

bool ReadStatement(std::span<const SqlToken> aTokens,
                   RecognizedStatement& aStatement,
                   std::string_view aSql)
{
  TokenCursor cursor(aTokens);
  const std::string first = cursor.Take().text;
  if (first == "set") {
    return ReadSet(cursor, aStatement, aSql);
  }
  if (first == "show") {
    return ReadSettingReference(cursor, aStatement, StatementKind::Show) &&
           aStatement.name != "all";
  }
  if (first == "reset") {
    if (cursor.Rest().size() == 1 && cursor.TakeWord("all")) {
      aStatement.kind = StatementKind::ResetAll;
      return true;
    }
    return ReadSettingReference(cursor, aStatement, StatementKind::Reset);
  }
  if (first == "begin" || first == "start") {
    aStatement.kind = StatementKind::Begin;
    const bool hasTransactionKeyword =
      cursor.TakeWord("transaction") || (first == "begin" && cursor.TakeWord("work"));
    return (hasTransactionKeyword || first == "begin") && TakeTransactionModes(cursor, aStatement);
  }
  if (first == "commit" || first == "end") {
    return ReadTransactionEnd(cursor, aStatement, StatementKind::Commit);
  }
  if (first == "rollback" || first == "abort") {
    return ReadTransactionEnd(cursor, aStatement, StatementKind::Rollback);
  }
  aStatement.kind = StatementKind::DiscardAll;
  return first == "discard" && cursor.TakeWord("all") && cursor.IsAtEnd();
}

/// The result for a text that is not recognised. A semicolon before the end, even inside a string,
/// may separate statements.
RecognizedStatement MakeOther(std::string_view aSql)
{
  const std::size_t last = aSql.find_last_not_of("; \t\r\n\f\v");
  RecognizedStatement statement;
  statement.mayBeMultiStatement = last != std::string_view::npos && aSql.find(';') < last;
  return statement;
}

} // namespace

RecognizedStatement RecognizeStatement(std::string_view aSql)
{
  SqlLexer lexer(aSql);
  SqlToken token = lexer.Next();
  while (token.IsSymbol(';')) {
    token = lexer.Next();
  }
  if (token.IsWord("copy")) {
    RecognizedStatement statement;
    statement.kind = StatementKind::Copy;
    return statement;
  }
  if (token.kind != SqlTokenKind::Word ||
      std::find(kRecognizedFirstWords.begin(), kRecognizedFirstWords.end(), token.text) ==
        kRecognizedFirstWords.end()) {
    return MakeOther(aSql);
  }
  std::vector<SqlToken> tokens;
  while (token.kind != SqlTokenKind::End && !token.IsSymbol(';')) {
    if (token.kind == SqlTokenKind::Invalid || tokens.size() >= kMaxTokens) {
      return MakeOther(aSql);
    }
    tokens.push_back(std::move(token));
    token = lexer.Next();
  }
  while (token.IsSymbol(';')) {
    token = lexer.Next();
  }
  RecognizedStatement statement;
  if (token.kind != SqlTokenKind::End || !ReadStatement(tokens, statement, aSql)) {
    return MakeOther(aSql);
  }
  return statement;
}

std::optional<bool> ParseBoolean(std::string_view aValue)
{
  std::string lower(aValue);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter - 'A' + 'a')
                                                  : aCharacter;
  });
  if (lower == "on" || lower == "true" || lower == "yes" || lower == "1" || lower == "t") {
    return true;
  }
  if (lower == "off" || lower == "false" || lower == "no" || lower == "0" || lower == "f") {
    return false;
  }
  return std::nullopt;
}

} // namespace oleanderledge
