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
  std::uint64_t resends = 0; ///< Attempts that were not confirmed; the order is sent again.
  std::uint64_t refused = 0; ///< Attempts that did not run: refused or not connected.
  std::uint64_t unknown = 0; ///< Attempts that failed with an unknown outcome.
  Duration longestGap{ 0 };  ///< Longest time between confirmations, without the read.
  Duration longestRead{ 0 }; ///< Slowest read with an accepted age.
  std::uint64_t failedReads = 0;
};

/// Places orders one after the other, each with a request id, and sends an order again until it is
/// confirmed. After each order it reads with an accepted age on a connection of its own.
class OrderProbe
{
public:
  /// `aTargets` are "host:port" of proxies; the next one is used for each new connection.
  OrderProbe(std::vector<std::string> aTargets, std::string aDatabase, std::string aPrefix);
  ~OrderProbe();
  OrderProbe(const OrderProbe&) = delete;
  OrderProbe& operator=(const OrderProbe&) = delete;

  /// Places orders with a pause of `aInterval` between them until `aLength` is over and the last
  /// one is confirmed, or until `aGiveUpAfter` has passed without a confirmation.
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
