#pragma once

#include "oleanderledge/report/MetricsSample.hpp"

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace oleanderledge {

/// Service level objective: the share of requests of a class that must be served within its target;
/// the rest is the error budget. Fixed, because operators configure only targets.
constexpr double kServiceObjective = 0.99;

/// A window over which the burn rate of the error budget is computed.
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
  /// 1 if there are no requests.
  double ShareInTarget() const;
  /// Burn rate: 1 spends exactly the error budget of the window, 2 spends it twice.
  double Burn() const;
};

struct BurnPoint
{
  std::int64_t time = 0; ///< End of the hour-long window, seconds since 1970.
  double burn = 0.0;
};

struct ClassBurn
{
  std::int64_t targetMs = 0; ///< Target in the newest sample of the class.
  std::array<WindowCounts, kBurnWindows.size()> windows;
  std::vector<BurnPoint> history; ///< Burn over the hour before each point.
};

/// Content of the report; all windows end at the newest sample.
struct BurnSummary
{
  std::int64_t time = 0; ///< Time of the newest sample, seconds since 1970.
  std::size_t instances = 0;
  std::map<std::string, ClassBurn> classes;
  std::map<std::uint16_t, std::uint64_t> refusals; ///< Within the longest window.
  std::uint64_t replicaReads = 0;                  ///< Within the longest window.
  std::uint64_t primaryReads = 0;                  ///< Within the longest window.
  std::vector<FailoverRecord> failovers;           ///< Within the longest window, oldest first.
};

/// Computes the summary from samples of any number of instances, in any order.
BurnSummary CalculateBurn(std::span<const MetricsSample> aSamples);

} // namespace oleanderledge
