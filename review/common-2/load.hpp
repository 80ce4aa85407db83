// Load of clients on a service, and the final fault with the check of the rule RECOVER.
#pragma once

#include "databases.hpp"

namespace review {

constexpr long kDeadlineMs = 8000;
constexpr long kRecoveryMs = 12000;
constexpr long kObservedMs = 20000;

/// Clients that repeat reads and writes, each with two retries at other nodes, until the end.
class Load
{
public:
  Load(Fleet& aFleet, Record& aRecord, int aClients, int aProxies)
    : fleet(aFleet)
    , record(aRecord)
    , proxies(aProxies)
  {
    for (int index = 0; index < aClients; ++index) {
      this->threads.emplace_back([this, index] { this->RunClient(index); });
    }
  }
  ~Load() { this->Stop(); }

  void Stop()
  {
    this->isOver = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  /// Operations that were sent, and those of them that were served, in whole seconds between the
  /// times.
  std::pair<int, int> Between(long aFromMs, long aToMs)
  {
    const std::lock_guard lock(this->mutex);
    std::pair<int, int> sum;
    for (const auto& [second, count] : this->bySecond) {
      if (second * 1000 >= aFromMs && second * 1000 + 1000 <= aToMs) {
        sum.first += count.first;
        sum.second += count.second;
      }
    }
    return sum;
  }

  void WriteSeconds()
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [second, count] : this->bySecond) {
      this->record.Line("second " + std::to_string(second) + ": sent " +
                        std::to_string(count.first) + ", served " + std::to_string(count.second));
    }
  }

private:
  void RunClient(int aIndex)
  {
    Client client;
    for (int round = 0; !this->isOver; ++round) {
      const long sentAt = NowMs();
      const std::string item = "k" + std::to_string(aIndex);
      const std::string text =
        round % 3 == 0 ? "WRITE " + item + " d" + std::to_string(round) : "READ " + item;
      bool isServed = false;
      std::string results;
      for (int attempt = 0; attempt < 3 && !isServed && !this->isOver; ++attempt) {
        if (attempt > 0) {
          // A retry reaches another node.
          client.Close();
          SleepMs(300);
        }
        if (!client.IsOpen() &&
            !client.Connect(this->fleet.ProxyIp((aIndex + attempt) % this->proxies),
                            this->fleet.FrontendPort(),
                            "orders")) {
          results += " no_connection";
          continue;
        }
        const std::string id = NewId();
        const Answer answer = client.Query(id, text, kDeadlineMs - (NowMs() - sentAt));
        isServed = answer.IsSuccess() && !answer.signature.empty() && answer.signature != "-";
        results += " " + id + "=" + answer.Text();
        if (answer.state != "I") {
          client.Close();
        }
      }
      this->record.Line("client " + std::to_string(aIndex) + ": " + text + ", sent at " +
                        std::to_string(sentAt) + ":" + results);
      {
        const std::lock_guard lock(this->mutex);
        auto& [sent, served] = this->bySecond[sentAt / 1000];
        ++sent;
        served += isServed ? 1 : 0;
      }
      SleepMs(100);
    }
  }

  Fleet& fleet;
  Record& record;
  int proxies;
  std::atomic<bool> isOver = false;
  std::mutex mutex;
  std::map<long, std::pair<int, int>> bySecond; // Sent and served, by the second of sending.
  std::vector<std::thread> threads;
};

/// Plays the final fault (all processes are killed right after a configuration was acknowledged and
/// are back a second later) and checks the rule RECOVER.
inline int FinalFault(Fleet& aFleet,
                      Record& aRecord,
                      Load& aLoad,
                      int aVersion,
                      int aLimit,
                      int aProxies)
{
  if (!SendConfiguration(aFleet, aRecord, Configuration(aVersion, "primary", 900, aLimit), 15000)) {
    return kCouldNotRun;
  }
  const long faultAt = NowMs();
  aRecord.Line("all processes are killed");
  for (int index = 0; index < aFleet.Controls(); ++index) {
    aFleet.Control(index).Signal(SIGKILL);
  }
  for (int index = 0; index < aProxies; ++index) {
    aFleet.Proxy(index).Signal(SIGKILL);
  }
  SleepMs(1000);
  for (int index = 0; index < aFleet.Controls(); ++index) {
    aFleet.Control(index).Kill();
    aFleet.Control(index).Start();
  }
  for (int index = 0; index < aProxies; ++index) {
    aFleet.Proxy(index).Kill();
    aFleet.Proxy(index).Start();
  }
  aRecord.Line("all processes are back");
  const long observedFrom = NowMs() + kRecoveryMs;
  SleepMs(kRecoveryMs + kObservedMs);
  aLoad.Stop();
  aLoad.WriteSeconds();
  const auto before = aLoad.Between(0, faultAt);
  const auto after = aLoad.Between(observedFrom, observedFrom + kObservedMs);
  aRecord.Line("before the final fault: sent " + std::to_string(before.first) + ", served " +
               std::to_string(before.second));
  aRecord.Line("later than 12 s after all were back: sent " + std::to_string(after.first) +
               ", served " + std::to_string(after.second));
  if (before.second * 4 < before.first || after.first == 0) {
    return kCouldNotRun;
  }
  return after.second * 4 < after.first ? kBroken : kHeld;
}

} // namespace review
