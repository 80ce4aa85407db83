#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

struct pg_conn;

namespace oleanderledge::benchmark {

/// Counters and durations that a probe measured.
struct ProbeResult
{
  std::vector<std::string> confirmed; ///< Order numbers in the order of their confirmation.
  std::uint64_t resends = 0;          ///< Units sent again with their request id.
  std::uint64_t refused = 0;          ///< Answers "not run".
  std::uint64_t unknown = 0;          ///< Answers "unknown" and lost connections.
  Duration longestGap{ 0 };           ///< Longest time between two consecutive confirmations.
  Duration longestRead{ 0 };          ///< Slowest read with an accepted age.
  std::uint64_t failedReads = 0;
};

/// Places orders one after the other, each with a request id, and sends an order again until it is
/// confirmed. After each order it reads with an accepted age on a connection of its own.
class OrderProbe
{
public:
  /// `aTargets` are "host:port" of proxies; the next one is used when a connection is lost.
  OrderProbe(std::vector<std::string> aTargets, std::string aDatabase, std::string aPrefix);
  ~OrderProbe();
  OrderProbe(const OrderProbe&) = delete;
  OrderProbe& operator=(const OrderProbe&) = delete;

  /// Places orders at the given interval until the time is over and the last one is confirmed, or
  /// until `aGiveUpAfter` has passed without a confirmation.
  ProbeResult Run(Duration aLength, Duration aInterval, Duration aGiveUpAfter);

private:
  struct Attempt
  {
    bool confirmed = false;
    bool notRun = false;
  };

  bool EnsureConnected(pg_conn*& aConnection, const std::string& aOptions);
  void CloseConnection(pg_conn*& aConnection);
  Attempt Execute(const std::string& aSql);
  Attempt TryOrder(const std::string& aNumber);
  void ReadOnce(ProbeResult& aResult);

  std::vector<std::string> targets;
  std::string database;
  std::string prefix;
  std::size_t nextTarget = 0;
  pg_conn* writer = nullptr;
  pg_conn* reader = nullptr;
};

} // namespace oleanderledge::benchmark
