// One of five core machines loses its disk while the whole system starts for the first time.
#include "load.hpp"

using namespace review;

int main(int aCount, char** aValues)
{
  if (aCount != 4) {
    return kCouldNotRun;
  }
  const bool hasTrouble = std::string(aValues[3]) != "0";
  constexpr long kLostAtMs = 700;
  constexpr long kDownMs = 800;
  constexpr long kObservedForMs = 70000;
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
  record.Line("all processes start, with empty disks");
  for (const auto& database : databases) {
    if (!database->Start()) {
      return kCouldNotRun;
    }
  }
  if (hasTrouble) {
    SleepMs(kLostAtMs);
    fleet.Control(0).Kill();
    fleet.LoseDisk(0);
    record.Line("core-1 loses its disk");
    SleepMs(kDownMs);
    fleet.Control(0).Start();
    record.Line("core-1 is back with an empty disk");
  }
  const long backAt = NowMs();
  const bool isAcknowledged =
    SendConfiguration(fleet, record, Configuration(1, "primary", 800, 23), kObservedForMs);
  Load load(fleet, record, 10, 2);
  SleepMs(10000);
  load.Stop();
  load.WriteSeconds();
  const auto sum = load.Between(0, NowMs());
  record.Line("seconds after core-1 was back: " + std::to_string((NowMs() - backAt) / 1000) +
              "; requests sent " + std::to_string(sum.first) + ", served " + std::to_string(sum.second));
  if (sum.first == 0) {
    return kCouldNotRun;
  }
  return !isAcknowledged && sum.second == 0 ? kBroken : kHeld;
}
