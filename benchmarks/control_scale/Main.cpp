/// Measures CPU time, message sizes and memory of a control leader for fleets of several sizes,
/// using only the decision logic in one process. Prints the slopes and the values extrapolated to
/// 2000 proxies and 2500 databases, the fleet size of docs/CAPACITY.md.
#include "benchmarks/control_scale/ControlFleet.hpp"

#include <array>
#include <cstdio>
#include <vector>

using namespace oleanderledge;

namespace {

constexpr double kTargetProxies = 2000;
constexpr double kTargetDatabases = 2500;
constexpr double kHeartbeatsPerSecond = 5;
constexpr double kTicksPerSecond = 50;

void PrintLine(const char* aName, double aValue, const char* aUnit)
{
  std::printf("%s\t%.3f\t%s\n", aName, aValue, aUnit);
}

/// Slope of the least-squares line through the points.
double SlopeOf(const std::vector<double>& aX, const std::vector<double>& aY)
{
  const auto count = static_cast<double>(aX.size());
  double sumX = 0;
  double sumY = 0;
  double sumXy = 0;
  double sumXx = 0;
  for (std::size_t point = 0; point < aX.size(); ++point) {
    sumX += aX[point];
    sumY += aY[point];
    sumXy += aX[point] * aY[point];
    sumXx += aX[point] * aX[point];
  }
  return (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
}

} // namespace

int main()
{
  std::vector<double> proxies;
  std::vector<double> databases;
  std::vector<double> cpu;
  std::vector<double> memory;
  std::vector<double> directory;
  benchmark::ScaleFigures last;
  for (const std::size_t size : std::array<std::size_t, 4>{ 100, 200, 400, 800 }) {
    benchmark::ControlFleet fleet(size, size * 5 / 4);
    last = fleet.Measure();
    const double announcementsPerSecond = static_cast<double>(last.databases) * 3 * 5;
    const double cpuPerSecond =
      (last.heartbeatCpuUs * kHeartbeatsPerSecond * static_cast<double>(last.proxies) +
       last.announcementCpuUs * announcementsPerSecond + last.tickCpuUs * kTicksPerSecond) /
      1e6;
    std::printf("# proxies=%zu databases=%zu heartbeat=%.1f us announcement=%.2f us tick=%.1f us "
                "cpu=%.4f cores resident=%.0f B\n",
                last.proxies,
                last.databases,
                last.heartbeatCpuUs,
                last.announcementCpuUs,
                last.tickCpuUs,
                cpuPerSecond,
                last.residentBytes);
    proxies.push_back(static_cast<double>(last.proxies));
    databases.push_back(static_cast<double>(last.databases));
    cpu.push_back(cpuPerSecond);
    memory.push_back(last.residentBytes);
    directory.push_back(last.directoryBytes);
  }
  const double perProxyBytes = (last.heartbeatBytes + last.replyBytes) * kHeartbeatsPerSecond;
  const double directorySlope = SlopeOf(databases, directory);
  PrintLine("control_bytes_per_node", perProxyBytes, "B/s");
  PrintLine("control_cpu_per_node", SlopeOf(proxies, cpu) * 1e6, "us/s");
  PrintLine("control_memory_per_node", SlopeOf(proxies, memory), "B");
  PrintLine("routing_bytes_per_database", directorySlope, "B");
  PrintLine("publish_bytes_per_change", last.changeBytes, "B");
  PrintLine("publish_time_per_node", last.changeEncodeCpuUs, "us");
  PrintLine("snapshot_bytes", last.snapshotBytes, "B");
  PrintLine("leader_bytes_at_full_size", perProxyBytes * kTargetProxies, "B/s");
  PrintLine("leader_cpu_at_full_size", SlopeOf(proxies, cpu) * kTargetProxies, "cores");
  PrintLine("leader_memory_at_full_size", SlopeOf(proxies, memory) * kTargetProxies, "B");
  PrintLine("routing_bytes_at_full_size", directorySlope * kTargetDatabases, "B");
  PrintLine(
    "publish_time_at_full_size", last.changeEncodeCpuUs * kTargetProxies / 1e3, "ms of one core");
  return 0;
}
