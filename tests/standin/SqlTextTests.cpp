#include "standin/SqlText.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

// Guards against splitting inside a string literal, which would execute part of a statement.
TEST_CASE("Semicolons in quotes and comments do not split statements")
{
  const auto parts = SplitStatements("INSERT INTO t VALUES ('a;''b'); /* ; */ SELECT 1 -- ;\n; ;");
  REQUIRE(parts.size() == 2);
  CHECK(parts[0] == "INSERT INTO t VALUES ('a;''b')");
  CHECK(TokensOf(parts[1]).size() == 2);
}

TEST_CASE("Unterminated quotes and comments end with the text")
{
  CHECK(SplitStatements("SELECT 'a;").size() == 1);
  CHECK(SplitStatements("/* SELECT 1;").empty());
}

TEST_CASE("Quoted tokens are not keywords")
{
  const auto tokens = TokensOf("\"select\" 'it''s' x.y");
  REQUIRE(tokens.size() == 3);
  CHECK_FALSE(tokens[0].Is("SELECT"));
  CHECK(tokens[1].text == "it's");
  CHECK(tokens[2].Is("X.Y"));
}
