// The primary of a service whose commits wait for a replica is cut off from the machines of the
// system, again and again; each cut ends as another database is promoted.
#include "databases.hpp"

#include <random>

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
  group.syncReplicas = 1;
  group.primary = "i-3";
  std::vector<std::unique_ptr<Database>> databases;
  for (int index = 0; index < 3; ++index) {
    databases.push_back(std::make_unique<Database>(fleet, group, record, index, 23, 6));
  }
  // i-1 is in another region than the other two.
  databases[0]->region = 1;
  std::mutex mutex;
  std::map<std::string, long> acknowledged;
  std::atomic<int> lost = 0;
  std::vector<std::vector<std::string>> rolledBack;
  group.onNamed = [&] {
    for (const auto& database : databases) {
      if (database->isCutOff.exchange(false)) {
        record.Line("the cut of " + database->Id() + " ends");
      }
    }
  };
  group.onPromoted = [&](Database& aDatabase) {
    std::vector<std::string> ids;
    for (std::size_t index = aDatabase.Received(); index < group.log.size(); ++index) {
      ids.push_back(group.log[index].id);
    }
    const std::lock_guard lock(mutex);
    rolledBack.push_back(ids);
  };
  PromotionServer promotion(fleet, group, record);
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
  if (!SendConfiguration(fleet, record, Configuration(1, "primary", 800, 23, 1, 3), 15000)) {
    return kCouldNotRun;
  }
  SleepMs(4000);
  std::atomic<bool> isOver = false;
  std::vector<std::thread> clients;
  for (int index = 0; index < 20; ++index) {
    clients.emplace_back([&, index] {
      Client client;
      std::mt19937 random(index);
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
          acknowledged[id] = NowMs();
        }
        record.Line("client " + std::to_string(index) + ": " + id + " " + text + ": " +
                    answer.Text());
        if (answer.state != "I") {
          client.Close();
        }
        SleepMs(answer.IsSuccess() ? 5 + static_cast<long>(random() % 40) : 50);
      }
    });
  }
  SleepMs(4000);
  for (int round = 0; round < 10; ++round) {
    for (const auto& database : databases) {
      std::unique_lock lock(group.mutex);
      const bool isPrimary = group.primary == database->Id();
      lock.unlock();
      if (hasTrouble && isPrimary) {
        record.Line(database->Id() + " is cut off");
        database->isCutOff = true;
        break;
      }
    }
    // A cut that no promotion has ended lasts 5 s, within the 5.5 s of the site.
    SleepMs(5000);
    for (const auto& database : databases) {
      database->isCutOff = false;
    }
    SleepMs(2000);
  }
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(mutex);
  for (const auto& ids : rolledBack) {
    for (const std::string& id : ids) {
      const auto found = acknowledged.find(id);
      record.Line("not in the log of the promoted database: " + id +
                  (found == acknowledged.end()
                     ? ", not acknowledged"
                     : ", acknowledged at " + std::to_string(found->second)));
      lost += found != acknowledged.end() ? 1 : 0;
    }
  }
  record.Line("acknowledged commits: " + std::to_string(acknowledged.size()) +
              ", not in the log of a promoted database: " + std::to_string(lost));
  return lost == 0 ? kHeld : kBroken;
}
