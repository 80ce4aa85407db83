#include "oleanderledge/control/RouteValidation.hpp"
#include "oleanderledge/organisations/organisations.hpp"
#include "oleanderledge/platform/platform.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

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

// Guards against an entry of another writer that is taken for a server, because a field that the
// program does not use was not read.
TEST_CASE("Registrations that lack a field, or have one of another type, are refused", "[messages]")
{
  REQUIRE(DecodeRegistration("i-1", kRegistration));
  const QJsonObject valid =
    QJsonDocument::fromJson(QByteArray::fromStdString(kRegistration)).object();
  const std::vector<QJsonValue> invalidValues{ QJsonValue(),       true,         1.5, -1,
                                               QJsonArray{ "v1" }, QJsonObject() };
  const auto isAccepted = [](const QJsonObject& aObject) {
    const std::string body = QJsonDocument(aObject).toJson().toStdString();
    return DecodeRegistration("i-1", body).has_value();
  };
  for (const QString& name : valid.keys()) {
    INFO(name.toStdString());
    QJsonObject changed = valid;
    changed.remove(name);
    // Only "born" may be absent.
    CHECK(isAccepted(changed) == (name == "born"));
    for (const QJsonValue& value : invalidValues) {
      changed[name] = value;
      INFO(QJsonDocument(changed).toJson().toStdString());
      CHECK_FALSE(isAccepted(changed));
    }
    const bool isNumber = valid[name].isDouble();
    changed[name] = isNumber ? QJsonValue("7") : QJsonValue(7);
    CHECK_FALSE(isAccepted(changed));
  }
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

// Guards against a key that leaves the decoder as text: rows are sent to proxies and logged.
TEST_CASE("Organisations are decoded with digests of their keys", "[messages]")
{
  const std::string tenants =
    R"(,"tenants":[{"name":"miny420","api_keys":["ryrbbkf83fgfwrz56aw6","3is47dqd"],)"
    R"("priority":1,"rate_per_s":2.5,"burst":270},{"name":"free","api_keys":[]}]})";
  std::string body =
    ConfigurationWith(Replaced(kRoute, "\"priority\"", "\"public\":true,\"priority\""));
  body.replace(body.size() - 1, 1, tenants);
  REQUIRE(IsAccepted(body));
  const RouteConfiguration configuration = DecodeConfiguration(body).value();
  CHECK(configuration.usesOrganisations);
  CHECK(configuration.routes[0].isPublic);
  REQUIRE(configuration.organisations.size() == 2);
  const OrganisationRow& limited = configuration.organisations[0];
  CHECK(limited.name == "miny420");
  CHECK(limited.keyDigests ==
        std::vector{ DigestOfKey("ryrbbkf83fgfwrz56aw6"), DigestOfKey("3is47dqd") });
  CHECK(limited.keyDigests[0].size() == kKeyDigestBytes);
  CHECK(limited.rate == OperationRate{ true, 2500, 270 });
  CHECK_FALSE(configuration.organisations[1].rate.isLimited);
}

TEST_CASE("A configuration without organisations needs no keys", "[messages]")
{
  const RouteConfiguration configuration = DecodeConfiguration(ConfigurationWith(kRoute)).value();
  CHECK_FALSE(configuration.usesOrganisations);
  CHECK_FALSE(configuration.routes[0].isPublic);
}

TEST_CASE("Configurations with invalid organisations are refused without naming a key",
          "[messages]")
{
  const auto with = [](const std::string& aTenants) {
    std::string body = ConfigurationWith(kRoute);
    body.replace(body.size() - 1, 1, ",\"tenants\":" + aTenants + "}");
    return body;
  };
  CHECK(IsAccepted(with("[]")));
  const char* sharedKey = R"([{"name":"a","api_keys":["secret"]},)"
                          R"({"name":"b","api_keys":["other","secret"]}])";
  for (const char* tenants : { R"({})",
                               R"([7])",
                               R"([{"name":"a"}])",
                               R"([{"api_keys":["secret"]}])",
                               R"([{"name":"a b","api_keys":["secret"]}])",
                               R"([{"name":"a","api_keys":["sec ret"]}])",
                               R"([{"name":"a","api_keys":["secret",7]}])",
                               R"([{"name":"a","api_keys":["secret"],"rate_per_s":"7"}])",
                               R"([{"name":"a","api_keys":["secret"],"rate_per_s":-1}])",
                               R"([{"name":"a","api_keys":[]},{"name":"a","api_keys":[]}])",
                               sharedKey }) {
    INFO(tenants);
    CHECK_FALSE(IsAccepted(with(tenants)));
    const auto decoded = DecodeConfiguration(with(tenants));
    const auto checked =
      decoded ? ValidateRoutes(decoded.value()) : Result<void>(decoded.as_failure());
    REQUIRE_FALSE(checked);
    CHECK(checked.error().message.find("secret") == std::string::npos);
  }
}
