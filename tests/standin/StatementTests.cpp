#include "standin/Statement.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge::stand_in;

TEST_CASE("Transaction statements state their access mode")
{
  CHECK(ParseStatement("begin").readOnly == std::nullopt);
  CHECK(ParseStatement("BEGIN TRANSACTION READ ONLY").readOnly == true);
  CHECK(ParseStatement("start transaction isolation level serializable, read write").readOnly ==
        false);
  const auto session = ParseStatement("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY");
  CHECK(session.kind == StatementKind::SetSessionCharacteristics);
  CHECK(session.readOnly == true);
}

TEST_CASE("All forms of SET are parsed into a name and a value")
{
  const auto dotted = ParseStatement("SET oleanderledge.class = 'bookings'");
  CHECK(dotted.kind == StatementKind::Set);
  CHECK(dotted.name == "oleanderledge.class");
  CHECK(dotted.value == "bookings");
  CHECK(ParseStatement("set local lock_timeout to -1").value == "-1");
  CHECK(ParseStatement("SET LOCAL lock_timeout TO 5").isLocal);
  CHECK(ParseStatement("SET DateStyle = ISO, MDY").value == "ISO, MDY");
  CHECK(ParseStatement("SET TIME ZONE 'UTC'").name == "timezone");
  CHECK(ParseStatement("SET search_path TO DEFAULT").toDefault);
}

// Guards against treating a query that merely mentions a platform function as a call of it.
TEST_CASE("Platform functions are recognised only as whole statements")
{
  CHECK(ParseStatement("SELECT * FROM platform_status()").kind == StatementKind::PlatformStatus);
  CHECK(ParseStatement("SELECT platform_promote(7)").value == "7");
  CHECK(ParseStatement("select pg_sleep(0.25)").value == "0.25");
  CHECK(ParseStatement("SELECT 'platform_status()'").kind == StatementKind::Sql);
  CHECK(ParseStatement("SELECT * FROM platform_status() WHERE 1 = 1").kind == StatementKind::Sql);
}

TEST_CASE("ROLLBACK and ROLLBACK TO are different statements")
{
  CHECK(ParseStatement("ROLLBACK WORK").kind == StatementKind::Rollback);
  const auto toSavepoint = ParseStatement("ROLLBACK TRANSACTION TO SAVEPOINT s1");
  CHECK(toSavepoint.kind == StatementKind::RollbackToSavepoint);
  CHECK(toSavepoint.name == "s1");
}
