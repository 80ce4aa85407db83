#include "standin/FleetSettings.hpp"

#include <QTemporaryFile>

#include <catch2/catch.hpp>

#include <set>

using namespace oleanderledge::stand_in;

// Guards against fleet files with two slots on one port or without exactly one initial primary per
// group. Each user has a folder of deployment files with the file stand-ins.yaml.
TEST_CASE("The fleets of both users are consistent")
{
  for (const auto& [user, slotCount] :
       { std::pair{ "norrsten", std::size_t{ 27 } }, { "ramdeen", 18 } }) {
    const FleetSettings fleet =
      ReadFleetFile(std::string(OL_DEPLOY_FOLDER) + "/" + user + "/stand-ins.yaml");
    INFO(user << " " << fleet.error);
    REQUIRE(fleet.slots.size() == slotCount);
    std::set<std::string> addresses;
    std::multiset<std::string> primaries;
    std::set<std::string> databases;
    for (const SlotSettings& slot : fleet.slots) {
      addresses.insert({ slot.clientAddress, slot.replicationAddress, slot.httpAddress });
      databases.insert(slot.database);
      CHECK(slot.announce.size() == 3);
      CHECK(slot.peers.size() == slotCount / 9 - 1);
      CHECK_FALSE(slot.schema.empty());
      if (slot.initialPrimary) {
        primaries.insert(slot.database);
      }
    }
    CHECK(addresses.size() == 3 * slotCount);
    CHECK(databases.size() == 9);
    CHECK(primaries == std::multiset<std::string>(databases.begin(), databases.end()));
  }
}

TEST_CASE("A missing key in a fleet file gives an error with the path of the file")
{
  QTemporaryFile file;
  REQUIRE(file.open());
  file.write("databases:\n  - database: orders-1\n    slots: []\n");
  file.close();
  const std::string path = file.fileName().toStdString();
  const FleetSettings fleet = ReadFleetFile(path);
  CHECK(fleet.slots.empty());
  CHECK(fleet.error.starts_with(path));
}

TEST_CASE("A fleet file that does not exist gives an error")
{
  CHECK_FALSE(ReadFleetFile("/nonexistent/fleet.yaml").error.empty());
}
