#include "Statement.hpp"

#include "SqlText.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <span>
#include <vector>

namespace oleanderledge::stand_in {

namespace {

using Tokens = std::span<const SqlToken>;

constexpr std::array<std::string_view, 11> kUnsupportedVerbs = { "PREPARE", "EXECUTE", "DECLARE",
                                                                 "FETCH",   "LISTEN",  "NOTIFY",
                                                                 "PRAGMA",  "ATTACH",  "DETACH",
                                                                 "VACUUM",  "UNLISTEN" };

std::string Lower(std::string_view aText)
{
  std::string lower(aText);
  for (char& character : lower) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return lower;
}

std::optional<bool> AccessMode(Tokens aTokens)
{
  std::optional<bool> readOnly;
  for (std::size_t at = 0; at + 1 < aTokens.size(); ++at) {
    if (!aTokens[at].Is("READ")) {
      continue;
    }
    if (aTokens[at + 1].Is("ONLY")) {
      readOnly = true;
    } else if (aTokens[at + 1].Is("WRITE")) {
      readOnly = false;
    }
  }
  return readOnly;
}

/// Skips the optional words WORK and TRANSACTION after ROLLBACK, COMMIT and the like.
Tokens SkipWork(Tokens aTokens)
{
  if (!aTokens.empty() && (aTokens[0].Is("WORK") || aTokens[0].Is("TRANSACTION"))) {
    return aTokens.subspan(1);
  }
  return aTokens;
}

Tokens SkipWord(Tokens aTokens, std::string_view aWord)
{
  return !aTokens.empty() && aTokens[0].Is(aWord) ? aTokens.subspan(1) : aTokens;
}

std::string NameOf(Tokens aTokens)
{
  return aTokens.empty() ? std::string() : aTokens[0].text;
}

void ParseSetValue(Statement& aStatement, Tokens aTokens)
{
  aStatement.toDefault = aTokens.size() == 1 && aTokens[0].Is("DEFAULT");
  bool separate = false;
  for (const SqlToken& token : aTokens) {
    if (token.Is(",")) {
      aStatement.value += ", ";
      separate = false;
      continue;
    }
    // A sign is a token of its own, but belongs to the number.
    if (separate && !token.Is("-")) {
      aStatement.value += ' ';
    }
    aStatement.value += token.text;
    separate = !token.Is("-");
  }
}

void ParseSet(Statement& aStatement, Tokens aTokens)
{
  aStatement.kind = StatementKind::Set;
  if (aTokens.size() >= 2 && aTokens[0].Is("SESSION") && aTokens[1].Is("CHARACTERISTICS")) {
    aStatement.kind = StatementKind::SetSessionCharacteristics;
    aStatement.readOnly = AccessMode(aTokens);
    return;
  }
  if (!aTokens.empty() && aTokens[0].Is("TRANSACTION")) {
    aStatement.kind = StatementKind::SetTransaction;
    aStatement.readOnly = AccessMode(aTokens);
    return;
  }
  aStatement.isLocal = !aTokens.empty() && aTokens[0].Is("LOCAL");
  aTokens = SkipWord(SkipWord(aTokens, "SESSION"), "LOCAL");
  if (aTokens.size() >= 2 && aTokens[0].Is("TIME") && aTokens[1].Is("ZONE")) {
    aStatement.name = "timezone";
    ParseSetValue(aStatement, aTokens.subspan(2));
    return;
  }
  if (!aTokens.empty() && aTokens[0].Is("NAMES")) {
    aStatement.name = "client_encoding";
    ParseSetValue(aStatement, aTokens.subspan(1));
    return;
  }
  if (aTokens.size() < 3 || !(aTokens[1].Is("=") || aTokens[1].Is("TO"))) {
    return; // An empty name is a syntax error.
  }
  aStatement.name = Lower(aTokens[0].text);
  ParseSetValue(aStatement, aTokens.subspan(2));
}

void ParseShow(Statement& aStatement, Tokens aTokens)
{
  aStatement.kind = StatementKind::Show;
  if (aTokens.size() >= 2 && aTokens[0].Is("TRANSACTION") && aTokens[1].Is("ISOLATION")) {
    aStatement.name = "transaction_isolation";
    return;
  }
  if (aTokens.size() >= 2 && aTokens[0].Is("TIME") && aTokens[1].Is("ZONE")) {
    aStatement.name = "timezone";
    return;
  }
  aStatement.name = Lower(NameOf(aTokens));
}

void ParseRollback(Statement& aStatement, Tokens aTokens)
{
  aTokens = SkipWork(aTokens);
  if (!aTokens.empty() && aTokens[0].Is("TO")) {
    aStatement.kind = StatementKind::RollbackToSavepoint;
    aStatement.name = NameOf(SkipWord(aTokens.subspan(1), "SAVEPOINT"));
    return;
  }
  aStatement.kind = StatementKind::Rollback;
}

/// Recognises `SELECT name(argument)` and `SELECT * FROM name(argument)` as whole statements.
bool ParseFunctionCall(Statement& aStatement, Tokens aTokens)
{
  if (aTokens.size() >= 2 && aTokens[0].Is("*") && aTokens[1].Is("FROM")) {
    aTokens = aTokens.subspan(2);
  }
  if (aTokens.size() < 3 || !aTokens[1].Is("(") || !aTokens.back().Is(")")) {
    return false;
  }
  const bool hasArgument = aTokens.size() == 4;
  if (aTokens[0].Is("PLATFORM_STATUS") && aTokens.size() == 3) {
    aStatement.kind = StatementKind::PlatformStatus;
    return true;
  }
  if (aTokens[0].Is("PLATFORM_PROMOTE") && hasArgument) {
    aStatement.kind = StatementKind::PlatformPromote;
    aStatement.value = aTokens[2].text;
    return true;
  }
  if (aTokens[0].Is("PG_SLEEP") && hasArgument) {
    aStatement.kind = StatementKind::Sleep;
    aStatement.value = aTokens[2].text;
    return true;
  }
  return false;
}

void ParseOther(Statement& aStatement, Tokens aTokens)
{
  const std::string& verb = aStatement.verb;
  if (std::find(kUnsupportedVerbs.begin(), kUnsupportedVerbs.end(), verb) !=
      kUnsupportedVerbs.end()) {
    aStatement.kind = StatementKind::Unsupported;
    return;
  }
  if (verb == "SELECT" && ParseFunctionCall(aStatement, aTokens)) {
    return;
  }
  aStatement.kind = StatementKind::Sql;
  if (verb == "CREATE" || verb == "DROP" || verb == "ALTER") {
    // "CREATE UNIQUE INDEX" has the tag "CREATE INDEX".
    const Tokens object = SkipWord(SkipWord(aTokens, "UNIQUE"), "TEMPORARY");
    if (!object.empty()) {
      aStatement.verb += " " + object[0].upper;
    }
  }
}

} // namespace

Statement ParseStatement(std::string_view aSql)
{
  Statement statement;
  statement.sql = aSql;
  const std::vector<SqlToken> all = TokensOf(aSql);
  if (all.empty()) {
    return statement;
  }
  statement.verb = all.front().upper;
  const Tokens rest = Tokens(all).subspan(1);
  if (statement.verb == "BEGIN" || statement.verb == "START") {
    statement.kind = StatementKind::Begin;
    statement.readOnly = AccessMode(rest);
  } else if (statement.verb == "COMMIT" || statement.verb == "END") {
    statement.kind = StatementKind::Commit;
  } else if (statement.verb == "ROLLBACK") {
    ParseRollback(statement, rest);
  } else if (statement.verb == "ABORT") {
    statement.kind = StatementKind::Rollback;
  } else if (statement.verb == "SAVEPOINT") {
    statement.kind = StatementKind::Savepoint;
    statement.name = NameOf(rest);
  } else if (statement.verb == "RELEASE") {
    statement.kind = StatementKind::ReleaseSavepoint;
    statement.name = NameOf(SkipWord(rest, "SAVEPOINT"));
  } else if (statement.verb == "SET") {
    ParseSet(statement, rest);
  } else if (statement.verb == "SHOW") {
    ParseShow(statement, rest);
  } else if (statement.verb == "RESET") {
    statement.kind = StatementKind::Reset;
    statement.name = Lower(NameOf(rest));
  } else if (statement.verb == "DISCARD") {
    statement.kind = StatementKind::Discard;
    statement.name = rest.empty() ? std::string() : rest[0].upper;
  } else if (statement.verb == "DEALLOCATE") {
    statement.kind = StatementKind::Deallocate;
    statement.name = NameOf(SkipWord(rest, "PREPARE"));
  } else if (statement.verb == "COPY") {
    statement.kind = StatementKind::Copy;
  } else {
    ParseOther(statement, rest);
  }
  return statement;
}

} // namespace oleanderledge::stand_in
