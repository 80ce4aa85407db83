// Entries of another writer, with `version` as a number, name the addresses of running databases.
// Later all processes are killed.
#include "load.hpp"

using namespace review;

int main(int aCount, char** aValues)
{
  if (aCount != 4) {
    return kCouldNotRun;
  }
  const bool hasTrouble = std::string(aValues[3]) != "0";
  Record record(aValues[2]);
  FleetShape shape;
  shape.proxies = 2;
  Fleet fleet(shape, aValues[1]);
  Group group;
  PromotionServer promotion(fleet, group, record);
  std::vector<std::unique_ptr<Database>> databases;
  for (int index = 0; index < 3; ++index) {
    databases.push_back(std::make_unique<Database>(fleet, group, record, index, 23, 6));
  }
  fleet.StartAll();
  for (const auto& database : databases) {
    if (!database->Start()) {
      return kCouldNotRun;
    }
  }
  if (!SendConfiguration(fleet, record, Configuration(1, "primary", 800, 23), 15000)) {
    return kCouldNotRun;
  }
  SleepMs(4000);
  Load load(fleet, record, 10, 2);
  SleepMs(10000);
  if (hasTrouble) {
    for (const auto& database : databases) {
      const std::string body =
        "{\"service\":\"ledger\",\"address\":\"" + database->Address() +
        "\",\"zone\":\"mora-a\",\"version\":1,\"capacity\":3,\"state\":\"ready\","
        "\"warmup_remaining_ms\":0,\"database_role\":\"replica\",\"born\":" +
        std::to_string(UnixMs()) + ",\"sequence\":1}";
      const std::string path = "/api/instances/x-" + database->Id();
      const HttpMessage answer = CallControlPlane(fleet.ControlPlane(0), "PUT", path, body);
      record.Line("another writer: PUT " + path + " " + body + " -> " +
                  std::to_string(answer.status));
    }
  }
  SleepMs(3000);
  return FinalFault(fleet, record, load, 2, 23, 2);
}
