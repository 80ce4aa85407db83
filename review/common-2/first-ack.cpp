// Two of five core machines lose their disks right after the first configuration was acknowledged.
#include "fleet.hpp"

using namespace review;

int main(int aCount, char** aValues)
{
  if (aCount != 4) {
    return kCouldNotRun;
  }
  const bool hasTrouble = std::string(aValues[3]) != "0";
  Record record(aValues[2]);
  FleetShape shape;
  shape.proxies = 0;
  Fleet fleet(shape, aValues[1]);
  fleet.StartAll();
  const std::string body = Configuration(7, "primary", 800, 23);
  // The operator sends the first configuration again and again until it is accepted.
  // The machine that acknowledged, and another of the seeds.
  int acknowledgedBy = -1;
  long pause = 25;
  for (int index = 0; NowMs() < 20000 && acknowledgedBy < 0; index = (index + 1) % 5) {
    const HttpMessage answer =
      CallControlPlane(fleet.ControlPlane(index), "PUT", "/api/configuration", body);
    for (int each = 0; answer.status == 200 && each < 5; ++each) {
      acknowledgedBy = fleet.ControlPlane(each) == answer.from ? each : acknowledgedBy;
    }
    if (acknowledgedBy >= 0) {
      break;
    }
    SleepMs(pause);
    pause = std::min(pause * 2, 100L);
  }
  if (acknowledgedBy < 0) {
    record.Line("the first configuration was not acknowledged");
    return kCouldNotRun;
  }
  record.Line("operator: version 7 acknowledged by core-" + std::to_string(acknowledgedBy + 1));
  const int others[] = { acknowledgedBy, (acknowledgedBy + 1) % 3 };
  if (hasTrouble) {
    for (const int lost : others) {
      fleet.Control(lost).Kill();
      fleet.LoseDisk(lost);
      record.Line("core-" + std::to_string(lost + 1) + " loses its disk");
    }
    SleepMs(1000);
    for (const int lost : others) {
      fleet.Control(lost).Start();
      record.Line("core-" + std::to_string(lost + 1) + " is back with an empty disk");
    }
  }
  SleepMs(12000);
  const std::string read = ReadConfiguration(fleet, 10000);
  record.Line("operator reads: " + (read.empty() ? "no configuration" : read.substr(0, 40)));
  for (int index = 0; index < 5; ++index) {
    record.Line("status of core-" + std::to_string(index + 1) + ": " +
                fleet.StatusOf(index).substr(0, 900));
  }
  return read == body ? kHeld : kBroken;
}
