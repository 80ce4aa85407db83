// For some seconds a share of the answers of one database is lost; later nothing is.
#include "databases.hpp"

#include <random>

using namespace review;

int main(int aCount, char** aValues)
{
  if (aCount != 4) {
    return kCouldNotRun;
  }
  const bool hasTrouble = std::string(aValues[3]) != "0";
  constexpr long kTroubleStart = 6000;
  constexpr long kTroubleMs = 11000;
  constexpr double kShare = 0.025;
  constexpr int kLimit = 23;
  Record record(aValues[2]);
  FleetShape shape;
  shape.proxies = 1;
  shape.controls = 3;
  shape.toleratedLosses = 1;
  Fleet fleet(shape, aValues[1]);
  Group group;
  PromotionServer promotion(fleet, group, record);
  std::vector<std::unique_ptr<Database>> databases;
  std::mt19937 random(1);
  std::mutex randomMutex;
  std::atomic<long> trafficStart = -1;
  std::atomic<int> lost = 0;
  for (int index = 0; index < 3; ++index) {
    databases.push_back(std::make_unique<Database>(fleet, group, record, index, kLimit, 6));
    databases.back()->losesAnswer = [&](const std::string&, const std::string&) {
      const long start = trafficStart;
      if (!hasTrouble || start < 0 || NowMs() < start + kTroubleStart ||
          NowMs() >= start + kTroubleStart + kTroubleMs) {
        return false;
      }
      const std::lock_guard lock(randomMutex);
      const bool isLost = std::uniform_real_distribution<>(0, 1)(random) < kShare;
      lost += isLost ? 1 : 0;
      return isLost;
    };
  }
  fleet.StartAll();
  for (const auto& database : databases) {
    if (!database->Start()) {
      return kCouldNotRun;
    }
  }
  if (!SendConfiguration(fleet, record, Configuration(1, "primary", 800, kLimit), 15000)) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  constexpr int kClients = 20;
  constexpr long kDayMs = 45000;
  trafficStart = NowMs();
  std::vector<std::thread> threads;
  std::mutex countMutex;
  std::map<long, std::map<std::string, int>> bySecond;
  for (int index = 0; index < kClients; ++index) {
    threads.emplace_back([&, index] {
      Client client;
      SleepMs(index * 5);
      for (int round = 0; NowMs() < trafficStart + kDayMs; ++round) {
        if (!client.IsOpen() && !client.Connect(fleet.ProxyIp(0), fleet.FrontendPort(), "orders")) {
          SleepMs(100);
          continue;
        }
        const Answer answer = client.Query(NewId(), "READ k" + std::to_string(round % 50), 8000);
        {
          const std::lock_guard lock(countMutex);
          ++bySecond[(NowMs() - trafficStart) / 1000][answer.Text()];
        }
        if (answer.state != "I") {
          client.Close();
        }
        SleepMs(answer.IsSuccess() ? 60 : 200);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& [second, counts] : bySecond) {
    std::string text = "second " + std::to_string(second) + ":";
    for (const auto& [result, count] : counts) {
      text += " " + result + "=" + std::to_string(count);
    }
    record.Line(text);
  }
  record.Line("answers lost: " + std::to_string(lost));
  return kHeld;
}
