// Both replicas of a service whose commits wait for a replica start again with nothing. The primary
// runs and leads all the time.
#include "databases.hpp"

using namespace review;

int main(int aCount, char** aValues)
{
  if (aCount != 4) {
    return kCouldNotRun;
  }
  const bool hasTrouble = std::string(aValues[3]) != "0";
  constexpr long kCopyMs = 6000;
  Record record(aValues[2]);
  FleetShape shape;
  shape.proxies = 2;
  Fleet fleet(shape, aValues[1]);
  Group group;
  group.syncReplicas = 1;
  // Commits that were acknowledged to a client.
  std::mutex mutex;
  std::set<std::string> acknowledged;
  std::set<std::string> lost;
  group.onPromoted = [&](Database& aDatabase) {
    const std::lock_guard lock(mutex);
    std::set<std::string> held;
    for (std::size_t index = 0; index < aDatabase.Received(); ++index) {
      held.insert(group.log[index].id);
    }
    for (const std::string& id : acknowledged) {
      if (!held.contains(id)) {
        lost.insert(id);
        record.Line("acknowledged before and not in the log of " + aDatabase.Id() + ": " + id);
      }
    }
  };
  PromotionServer promotion(fleet, group, record);
  std::vector<std::unique_ptr<Database>> databases;
  for (int index = 0; index < 3; ++index) {
    databases.push_back(std::make_unique<Database>(fleet, group, record, index, 23, 6));
  }
  OtherServices others(fleet, record, 3, 23);
  fleet.StartAll();
  if (!others.Start()) {
    return kCouldNotRun;
  }
  for (const auto& database : databases) {
    if (!database->Start()) {
      return kCouldNotRun;
    }
  }
  if (!SendConfiguration(fleet, record, Configuration(1, "primary", 2000, 23, 1, 3), 15000)) {
    return kCouldNotRun;
  }
  SleepMs(4000);
  std::atomic<bool> isOver = false;
  std::vector<std::thread> clients;
  for (int index = 0; index < 6; ++index) {
    clients.emplace_back([&, index] {
      Client client;
      for (int round = 0; !isOver; ++round) {
        if (!client.IsOpen() &&
            !client.Connect(fleet.ProxyIp(index % 2), fleet.FrontendPort(), "orders")) {
          SleepMs(100);
          continue;
        }
        const std::string id = NewId();
        const std::string text = "WRITE k" + std::to_string(index) + " d" + std::to_string(round);
        const Answer answer = client.Query(id, text, 8000);
        if (answer.IsSuccess()) {
          const std::lock_guard lock(mutex);
          acknowledged.insert(id);
        }
        record.Line("client " + std::to_string(index) + ": " + id + " " + text + ": " +
                    answer.Text());
        if (answer.state != "I") {
          client.Close();
        }
        SleepMs(100);
      }
    });
  }
  SleepMs(8000);
  if (hasTrouble) {
    std::vector<std::thread> restarts;
    for (const int index : { 1, 2 }) {
      restarts.emplace_back([&, index] {
        record.Line("i-" + std::to_string(index + 1) + " starts again under its id, with nothing");
        databases[static_cast<std::size_t>(index)]->StartAgainWithNothing(300, kCopyMs);
        record.Line("i-" + std::to_string(index + 1) + " is back and receives the log");
      });
    }
    for (std::thread& restart : restarts) {
      restart.join();
    }
  }
  SleepMs(15000);
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(mutex);
  record.Line("acknowledged commits: " + std::to_string(acknowledged.size()) +
              ", not in the log of a promoted database: " + std::to_string(lost.size()));
  if (acknowledged.empty()) {
    return kCouldNotRun;
  }
  return lost.empty() ? kHeld : kBroken;
}
