#include "oleanderledge/wire/wire.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace oleanderledge;

namespace {

using Parameters = std::vector<std::pair<std::string, std::string>>;

} // namespace

TEST_CASE("Start-up options become settings")
{
  const std::string packet = BuildStartup(
    Parameters{ { "user", "guild" },
                { "options", "-c oleanderledge.class=bookings --oleanderledge.session=a\\ b" } });
  const auto parsed = ParseStartupPacket(packet);
  REQUIRE(parsed);
  const auto& message = std::get<StartupMessage>(parsed.value());
  CHECK(message.database == "guild");
  CHECK(message.parameters ==
        Parameters{ { "oleanderledge.class", "bookings" }, { "oleanderledge.session", "a b" } });
}

TEST_CASE("Replication connections and other protocol versions are refused as not supported")
{
  const auto replication = ParseStartupPacket(
    BuildStartup(Parameters{ { "user", "guild" }, { "replication", "database" } }));
  REQUIRE(!replication);
  CHECK(replication.error().code == ResultCode::FeatureNotSupported);
  const auto oldVersion = ParseStartupPacket(std::string_view("\0\0\0\x08\0\2\0\0", 8));
  REQUIRE(!oldVersion);
  CHECK(oldVersion.error().code == ResultCode::FeatureNotSupported);
}

// Guards against crashes on random bytes that arrive on the port for callers.
TEST_CASE("Random start-up packets are parsed without a crash")
{
  rc::prop("random bytes after a valid version", [](const std::string& aBytes) {
    (void)ParseStartupPacket(aBytes);
    (void)ParseStartupPacket(std::string("\0\0\0\0\0\3\0\0", 8) + aBytes);
    (void)ParseOptions(aBytes);
  });
}
