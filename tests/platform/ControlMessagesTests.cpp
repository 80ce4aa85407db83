#include "oleanderledge/control/RouteValidation.hpp"
#include "oleanderledge/platform/platform.hpp"

#include <catch2/catch.hpp>

using namespace oleanderledge;
using namespace oleanderledge::platform;

namespace {

const std::string kRegistration =
  R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"mora-a","version":"v1","capacity":3,)"
  R"("state":"ready","warmup_remaining_ms":0,"database_role":"replica","sequence":4,"born":1700})";

std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  aText.replace(aText.find(aFrom), aFrom.size(), aTo);
  return aText;
}

std::string ConfigurationWith(const std::string& aRoutes)
{
  return R"({"version":7,"routes":[)" + aRoutes +
         R"(],"services":[{"name":"huvo11a","connection_limit":23,"sync_replicas":0}],)"
         R"("limits":{"transaction_idle_ms":3000}})";
}

const std::string kRoute =
  R"({"name":"r-1","host":"fiti","path_prefix":"/","route_kind":"read_your_writes","timeout_ms":800,)"
  R"("target_latency_ms":1500,"priority":2,"service":"huvo11a","max_staleness_ms":2500})";

bool IsAccepted(const std::string& aBody)
{
  const auto decoded = DecodeConfiguration(aBody);
  return decoded && ValidateRoutes(decoded.value());
}

} // namespace

TEST_CASE("A registration is decoded into a backend row", "[messages]")
{
  const auto row = DecodeRegistration("i-1", kRegistration);
  REQUIRE(row);
  CHECK(row.value().name == "i-1");
  CHECK(row.value().slots == 3);
  CHECK(row.value().startedUnixMs == 1700);
  CHECK_FALSE(row.value().claimsPrimary);
  CHECK_FALSE(row.value().draining);
}

TEST_CASE("Registrations with missing or wrong fields are refused", "[messages]")
{
  CHECK_FALSE(DecodeRegistration("i-1", "{"));
  CHECK_FALSE(DecodeRegistration("i-1", "[]"));
  CHECK_FALSE(DecodeRegistration("", kRegistration));
  CHECK_FALSE(DecodeRegistration("i-1", Replaced(kRegistration, "\"ready\"", "\"asleep\"")));
  CHECK_FALSE(DecodeRegistration("i-1", Replaced(kRegistration, "\"replica\"", "\"boss\"")));
  CHECK_FALSE(
    DecodeRegistration("i-1", Replaced(kRegistration, "\"sequence\":4", "\"sequence\":\"4\"")));
  CHECK_FALSE(
    DecodeRegistration("i-1", Replaced(kRegistration, "\"sequence\":4", "\"sequence\":1.5")));
  CHECK_FALSE(DecodeRegistration("i-1", Replaced(kRegistration, "\"address\"", "\"place\"")));
  CHECK_FALSE(DecodeRegistration("i-1", Replaced(kRegistration, "1700", "\"soon\"")));
}

TEST_CASE("A configuration is decoded in full and kept as sent", "[messages]")
{
  const std::string body = ConfigurationWith(kRoute);
  const auto decoded = DecodeConfiguration(body);
  REQUIRE(decoded);
  CHECK(decoded.value().number == 7);
  CHECK(decoded.value().document == body);
  CHECK(decoded.value().transactionIdleMs == 3000);
  REQUIRE(decoded.value().routes.size() == 1);
  CHECK(decoded.value().routes[0].consistency == ReadConsistency::ReadYourWrites);
  CHECK(decoded.value().routes[0].acceptedAgeMs == 2500);
  CHECK(decoded.value().services[0].connectionLimit == 23);
}

TEST_CASE("Malformed or inconsistent configurations are refused", "[messages]")
{
  CHECK(IsAccepted(ConfigurationWith(kRoute)));
  CHECK_FALSE(IsAccepted(ConfigurationWith(kRoute).substr(0, 100)));
  CHECK_FALSE(IsAccepted(ConfigurationWith(kRoute + "," + kRoute)));
  CHECK_FALSE(IsAccepted(ConfigurationWith(Replaced(kRoute, "huvo11a", "other"))));
  CHECK_FALSE(IsAccepted(ConfigurationWith(Replaced(kRoute, ":800", ":0"))));
  CHECK_FALSE(IsAccepted(ConfigurationWith(Replaced(kRoute, "read_your_writes", "any"))));
  CHECK_FALSE(
    IsAccepted(Replaced(ConfigurationWith(kRoute), "\"version\":7", "\"version\":\"7\"")));
}
