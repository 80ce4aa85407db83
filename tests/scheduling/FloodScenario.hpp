#pragma once

#include "tests/scheduling/FloodSimulation.hpp"

#include <string>
#include <vector>

/// Load scenarios for tests and for the flood benchmark: normal load of three classes, and a flood
/// of one of them at 10 times the capacity.
namespace oleanderledge::flood {

// Seconds since the start of the simulation.
constexpr int kFloodStartSecond = 20;
constexpr int kFloodEndSecond = 35;
constexpr int kLoadEndSecond = 45;
constexpr Duration kSecond{ 1'000'000 };
constexpr double kFloodFactor = 10; ///< Offered load of a flood, relative to the capacity.

using Stream = FloodSimulation::Stream;

inline std::vector<ClassTarget> ThreeClasses()
{
  return { { "bookings", Duration{ 50'000 } },
           { "lookups", Duration{ 500'000 } },
           { "reprints", Duration{ 10'000'000 } } };
}

/// A stream whose load is a share of the capacity. `aServiceUs` is the mean service time.
inline Stream StreamOf(const std::string& aClass,
                       const std::string& aCaller,
                       double aShare,
                       std::int64_t aServiceUs,
                       int aFromSecond = 0,
                       int aUntilSecond = kLoadEndSecond)
{
  const double perSecond =
    aShare * FloodSimulation::kConnections * 1e6 / static_cast<double>(aServiceUs);
  return { aClass,
           aCaller,
           perSecond,
           Duration{ aServiceUs },
           aFromSecond * kSecond,
           aUntilSecond * kSecond };
}

inline std::vector<Stream> NormalStreams()
{
  return { StreamOf("bookings", "shop", 0.20, 4'000),
           StreamOf("lookups", "shop", 0.25, 3'000),
           StreamOf("reprints", "shop", 0.15, 8'000) };
}

inline std::vector<Stream> WithFlood(const std::string& aClass, std::int64_t aServiceUs)
{
  auto streams = NormalStreams();
  streams.push_back(
    StreamOf(aClass, "flooder", kFloodFactor, aServiceUs, kFloodStartSecond, kFloodEndSecond));
  return streams;
}

inline FloodSimulation Simulate(Scheduler& aScheduler,
                                const std::vector<Stream>& aStreams,
                                std::uint64_t aSeed)
{
  FloodSimulation simulation(aScheduler, ThreeClasses(), aSeed);
  simulation.Run(aStreams, (kLoadEndSecond + 15) * kSecond);
  return simulation;
}

} // namespace oleanderledge::flood
