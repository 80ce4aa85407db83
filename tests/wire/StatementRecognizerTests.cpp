#include "oleanderledge/wire/wire.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

namespace {

StatementKind KindOf(std::string_view aSql)
{
  return RecognizeStatement(aSql).kind;
}

} // namespace

TEST_CASE("SET is recognised in all spellings")
{
  for (const std::string_view sql :
       { "SET oleanderledge.class = bookings",
         "set session Oleanderledge.CLASS to 'bookings';",
         "/* a /* nested */ one */ SET oleanderledge . class=E'bookings' ;;",
         "-- comment\n;SET \"oleanderledge\".\"class\" TO \"bookings\" -- end" }) {
    INFO(sql);
    const RecognizedStatement statement = RecognizeStatement(sql);
    CHECK(statement.kind == StatementKind::Set);
    CHECK(statement.name == "oleanderledge.class");
    CHECK(statement.value == "bookings");
    CHECK(!statement.isLocal);
  }
  CHECK(RecognizeStatement("SET LOCAL a = 1").isLocal);
  CHECK(RecognizeStatement("SET a TO DEFAULT").isDefault);
  CHECK(RecognizeStatement("SET a = 'it''s'").value == "it's");
  CHECK(RecognizeStatement("SET search_path = a, 'b'").value == "a, b");
  CHECK(RecognizeStatement("SET a = -1.5").value == "-1.5");
  CHECK(RecognizeStatement("SET TIME ZONE 'UTC'").name == "timezone");
  CHECK(RecognizeStatement("SET NAMES 'UTF8'").name == "client_encoding");
  CHECK(RecognizeStatement("SET LOCAL a TO 'x' ; ").assignment == "a TO 'x'");
}

TEST_CASE("SHOW, RESET, DISCARD ALL and COPY are recognised")
{
  CHECK(RecognizeStatement("show Oleanderledge.class").name == "oleanderledge.class");
  CHECK(KindOf("SHOW ALL") == StatementKind::Other);
  CHECK(RecognizeStatement("RESET time zone").name == "timezone");
  CHECK(KindOf("RESET ALL") == StatementKind::ResetAll);
  CHECK(KindOf("discard all;") == StatementKind::DiscardAll);
  CHECK(KindOf("DISCARD PLANS") == StatementKind::Other);
  CHECK(KindOf("/**/COPY t FROM stdin") == StatementKind::Copy);
  CHECK(KindOf("copy t to stdout; select 1") == StatementKind::Copy);
}

TEST_CASE("Transaction statements are recognised with their modes")
{
  CHECK(KindOf("begin") == StatementKind::Begin);
  CHECK(KindOf("BEGIN WORK") == StatementKind::Begin);
  CHECK(KindOf("START") == StatementKind::Other);
  CHECK(RecognizeStatement("START TRANSACTION READ ONLY").readOnly == true);
  const auto begin = RecognizeStatement("BEGIN ISOLATION LEVEL REPEATABLE READ, READ WRITE");
  CHECK(begin.kind == StatementKind::Begin);
  CHECK(begin.readOnly == false);
  CHECK(begin.isolationLevel == "repeatable read");
  CHECK(RecognizeStatement("BEGIN TRANSACTION NOT DEFERRABLE READ ONLY").readOnly == true);
  CHECK(KindOf("BEGIN nonsense") == StatementKind::Other);
  CHECK(KindOf("END") == StatementKind::Commit);
  CHECK(RecognizeStatement("COMMIT WORK AND CHAIN").isChained);
  CHECK(KindOf("ABORT") == StatementKind::Rollback);
  CHECK(KindOf("ROLLBACK AND NO CHAIN") == StatementKind::Rollback);
  CHECK(KindOf("ROLLBACK TO SAVEPOINT a") == StatementKind::Other);
  CHECK(KindOf("COMMIT PREPARED 'a'") == StatementKind::Other);
  const auto all = RecognizeStatement("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY");
  CHECK(all.kind == StatementKind::SetCharacteristic);
  CHECK(all.readOnly == true);
}

// The entry answers or retries recognised statements itself. A write after one of them in the same
// text would then be lost or run twice.
TEST_CASE("A text with several statements is not recognised as one of them")
{
  for (const std::string_view sql : { "BEGIN; INSERT INTO t VALUES (1)",
                                      "SET a = 1; DELETE FROM t",
                                      "SHOW a; DELETE FROM t",
                                      "SELECT 1; DELETE FROM t",
                                      "SET a = 'x';DELETE FROM t --'" }) {
    INFO(sql);
    CHECK(KindOf(sql) == StatementKind::Other);
    CHECK(RecognizeStatement(sql).mayBeMultiStatement);
  }
  CHECK(!RecognizeStatement("SELECT 1 ; ").mayBeMultiStatement);
  CHECK(!RecognizeStatement("SELECT 1").mayBeMultiStatement);
}

TEST_CASE("Text that is not recognised is of kind Other")
{
  for (const std::string_view sql : { "",
                                      ";",
                                      "SET",
                                      "SET a",
                                      "SET a =",
                                      "SET a = ,",
                                      "SET a = 'open",
                                      "SET a = E'\\n'",
                                      "SET a = (1)",
                                      "/* open",
                                      "SETTLE a = 1",
                                      "\"set\" a = 1" }) {
    INFO(sql);
    CHECK(KindOf(sql) == StatementKind::Other);
  }
}

TEST_CASE("Random texts are recognised without a crash")
{
  rc::prop("random pieces of SQL", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::oneOf(rc::gen::elementOf(std::vector<std::string>{
                       "SET ",
                       "BEGIN ",
                       "'",
                       "\"",
                       "--",
                       "/*",
                       "*/",
                       ";",
                       "=",
                       " TO ",
                       "a",
                       ".",
                       "E'",
                       "\\",
                       "," }),
                     rc::gen::arbitrary<std::string>()));
    std::string sql;
    for (const std::string& piece : pieces) {
      sql += piece;
    }
    (void)RecognizeStatement(sql);
  });
}
