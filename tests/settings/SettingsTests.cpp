#include "oleanderledge/settings/settings.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

namespace {

const std::string kProxySettings = R"(instance: mora-entry-1
zone: dalarna/mora-1
listen:
  link: 127.0.0.1:7101
  http: 127.0.0.1:7201
  callers: 127.0.0.1:7301
control_addresses: [127.0.0.1:7001]
)";

std::string ProblemsOf(const std::string& aText, DaemonKind aKind = DaemonKind::Proxy)
{
  const auto parsed = ParseSettings(aText, "test.yaml", aKind);
  return parsed ? "" : parsed.error().message;
}

} // namespace

TEST_CASE("Settings of a proxy are read")
{
  const auto settings = ParseSettings(kProxySettings, "test.yaml", DaemonKind::Proxy);
  REQUIRE(settings);
  CHECK(settings.value().callersAddress == "127.0.0.1:7301");
  CHECK(settings.value().controlAddresses == std::vector<std::string>{ "127.0.0.1:7001" });
}

TEST_CASE("Fleet settings of a proxy are read")
{
  const std::string fleet = "fleet: {node_name: n, readiness: '127.0.0.1:7401', "
                            "seeds: ['127.0.0.1:7501'], backend_drain_ms: 7000}\n";
  std::string text = kProxySettings;
  text.erase(text.find("control_addresses"));
  const auto settings = ParseSettings(text + fleet, "test.yaml", DaemonKind::Proxy);
  REQUIRE(settings);
  CHECK(settings.value().fleet.backendDrainMs == 7000);
  CHECK(settings.value().controlAddresses == std::vector<std::string>{ "127.0.0.1:7101" });
}

// Guards against a key that is read into the limit of another one.
TEST_CASE("Limits for clients are read")
{
  const auto settings =
    ParseSettings(kProxySettings + "limits: {memory_mb: 112, file_descriptors: 3010, "
                                   "connections_per_address: 11, statements: 12, "
                                   "total_bytes: 5000000, spared_bytes: 13, "
                                   "read_ahead_bytes: 2001, unread_response_bytes: 2002, "
                                   "session_bytes: 2003, prepared_bytes: 2004, start_up_ms: 201, "
                                   "message_ms: 202, response_ms: 203}\n",
                  "test.yaml",
                  DaemonKind::Proxy);
  REQUIRE(settings);
  const ProxyLimits& limits = settings.value().limits;
  CHECK(limits.memoryMb == 112);
  CHECK(limits.fileDescriptors == 3010);
  CHECK(limits.connectionsPerAddress == 11);
  CHECK(limits.statements == 12);
  CHECK(limits.totalBytes == 5'000'000);
  CHECK(limits.sparedBytes == 13);
  CHECK(limits.readAheadBytes == 2001);
  CHECK(limits.unreadResponseBytes == 2002);
  CHECK(limits.sessionBytes == 2003);
  CHECK(limits.preparedBytes == 2004);
  CHECK(limits.startUpMs == 201);
  CHECK(limits.messageMs == 202);
  CHECK(limits.responseMs == 203);
}

// Guards against a misspelled key that is ignored, so that the default silently stays in force.
TEST_CASE("An unknown key is refused with its line and the known keys")
{
  const std::string problems = ProblemsOf(kProxySettings + "limts: {}\n");
  CHECK(problems.find("test.yaml:8: limts: unknown key, expected one of") == 0);
  CHECK(problems.find("limits") != std::string::npos);
}

// Settings list neither backend servers, which register themselves, nor weights: such keys must be
// refused, not ignored.
TEST_CASE("A list of backend servers is refused")
{
  CHECK_FALSE(ProblemsOf(kProxySettings + "backends: [127.0.0.1:5432]\n").empty());
  CHECK_FALSE(ProblemsOf(kProxySettings + "limits: {weights: 3}\n").empty());
}

TEST_CASE("Invalid values are refused with a message that tells what was expected")
{
  const std::string outOfRange = ProblemsOf(kProxySettings + "limits: {max_callers: 0}\n");
  CHECK(outOfRange == "test.yaml:8: limits.max_callers: expected a whole number from 1 to 1000000");
  std::string hostName = kProxySettings;
  hostName.replace(hostName.find("127.0.0.1:7301"), 14, "localhost:7301");
  CHECK(ProblemsOf(hostName).find("test.yaml:6: listen.callers: 'localhost:7301'") == 0);
  CHECK(ProblemsOf(kProxySettings + "zone: skane/malmo-1\n").find("given twice") !=
        std::string::npos);
}

TEST_CASE("A control group of two members is refused")
{
  const std::string text = R"(instance: control-1
zone: dalarna/mora-1
listen: {link: "127.0.0.1:7001", http: "127.0.0.1:7002"}
control_addresses: [127.0.0.1:7001]
data_folder: data
initial_members:
  - {instance: control-1, link: "127.0.0.1:7001"}
  - {instance: control-2, link: "127.0.0.1:7011"}
)";
  CHECK(ProblemsOf(text, DaemonKind::Control).find("expected 1, 3 or 5") != std::string::npos);
}

// Guards against crashes at start-up on a damaged file.
TEST_CASE("Damaged settings are read or refused without a crash")
{
  rc::prop("one changed byte", [] {
    std::string text = kProxySettings;
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    ProblemsOf(text);
  });
}
