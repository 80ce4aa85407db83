#pragma once

#include "oleanderledge/report/MetricsSample.hpp"

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace oleanderledge {

/// Share of requests that a class serves within its target when it is in good order. The error
/// budget is the rest. Operators state only targets, so the share is fixed.
constexpr double kServiceObjective = 0.99;

/// A window over which the burn of the error budget is computed.
struct BurnWindow
{
  const char* name;
  std::int64_t seconds;
};

/// The usual windows of multi-window burn alerts.
constexpr std::array kBurnWindows = { BurnWindow{ "1h", 3600 },
                                      BurnWindow{ "6h", std::int64_t{ 6 } * 3600 },
                                      BurnWindow{ "1d", std::int64_t{ 24 } * 3600 },
                                      BurnWindow{ "3d", std::int64_t{ 72 } * 3600 } };

/// Requests of one class within a window.
struct WindowCounts
{
  std::uint64_t served = 0;
  std::uint64_t servedInTarget = 0;
  std::uint64_t refused = 0;

  std::uint64_t Total() const { return this->served + this->refused; }
  /// 1 without requests: nothing missed its target.
  double ShareInTarget() const;
  /// Spent error budget relative to the window: 1 spends exactly the budget.
  double Burn() const;
};

struct BurnPoint
{
  std::int64_t time = 0; ///< End of the hour-long window, seconds since 1970.
  double burn = 0.0;
};

struct ClassBurn
{
  std::int64_t targetMs = 0;
  std::array<WindowCounts, kBurnWindows.size()> windows;
  std::vector<BurnPoint> history; ///< Burn over the hour before each point.
};

/// What the report shows, for the time up to the newest sample.
struct BurnSummary
{
  std::int64_t time = 0;
  std::size_t instances = 0;
  std::map<std::string, ClassBurn> classes;
  std::map<std::uint16_t, std::uint64_t> refusals; ///< Within the longest window.
  std::uint64_t replicaReads = 0;                  ///< Within the longest window.
  std::uint64_t primaryReads = 0;                  ///< Within the longest window.
  std::vector<FailoverRecord> failovers;           ///< Within the longest window, oldest first.
};

/// Computes the summary from samples of any instances in any order.
BurnSummary CalculateBurn(std::span<const MetricsSample> aSamples);

} // namespace oleanderledge
