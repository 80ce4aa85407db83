// A promoted primary starts again under its own id, and later all processes are killed.
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
  for (int index = 0; index < 4; ++index) {
    databases.push_back(std::make_unique<Database>(fleet, group, record, index, 23, 6));
  }
  fleet.StartAll();
  for (int index = 0; index < 3; ++index) {
    if (!databases[static_cast<std::size_t>(index)]->Start()) {
      return kCouldNotRun;
    }
  }
  if (!SendConfiguration(fleet, record, Configuration(1, "primary", 800, 23), 15000)) {
    return kCouldNotRun;
  }
  SleepMs(4000);

  Load load(fleet, record, 10, 2);

  // Planned: the first primary is replaced. The new database starts first, then the old one drains.
  SleepMs(2000);
  if (!databases[3]->Start()) {
    return kCouldNotRun;
  }
  SleepMs(2000);
  record.Line("i-1 drains");
  databases[0]->Drain();
  while (databases[0]->DrainAcknowledgedAt() < 0) {
    SleepMs(20);
  }
  SleepMs(8000);
  databases[0]->Leave();
  record.Line("i-1 has left");
  std::string primary;
  {
    const std::lock_guard lock(group.mutex);
    primary = group.primary;
  }
  record.Line("the primary is " + primary);
  SleepMs(3000);
  if (hasTrouble) {
    for (const auto& database : databases) {
      if (database->Id() == primary) {
        record.Line(primary + " crashes and starts again under its id");
        if (!database->StartAgainWithNothing(300, 1000)) {
          return kCouldNotRun;
        }
      }
    }
  }
  SleepMs(5000);
  return FinalFault(fleet, record, load, 2, 23, 2);
}
