#include "oleanderledge/daemon/ClientBudget.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace oleanderledge {

namespace {

/// Memory of a process without clients, with a margin for fragmentation.
constexpr std::uint64_t kBaseMemoryMb = 64;
/// Bytes that clients may hold are this part of the remaining memory, because each is copied about
/// once on its way.
constexpr std::uint64_t kMemoryDivisor = 2;
constexpr std::uint64_t kMinTotalBytes = std::uint64_t{ 8 } * 1024 * 1024;

/// Of the descriptors a quarter is left for links, connections to servers and files: the smallest
/// proxy, with 3,010, has up to 300 links in each direction.
std::uint32_t ConnectionsFor(std::uint64_t aDescriptors)
{
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(aDescriptors / 4 * 3, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t OwnDescriptorLimit()
{
  rlimit limit{};
  const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return isKnown ? limit.rlim_cur : std::numeric_limits<std::uint32_t>::max();
}

} // namespace

BudgetLimits BudgetLimitsOf(const ProxyLimits& aLimits)
{
  BudgetLimits budget;
  if (aLimits.totalBytes > 0) {
    budget.bytes = aLimits.totalBytes;
  } else if (aLimits.memoryMb > 0) {
    const std::uint64_t memoryMb = std::max<std::uint64_t>(aLimits.memoryMb, kBaseMemoryMb);
    budget.bytes =
      std::max(kMinTotalBytes, (memoryMb - kBaseMemoryMb) * 1'000'000 / kMemoryDivisor);
  }
  budget.sparedBytes = aLimits.sparedBytes;
  const std::uint64_t descriptors =
    aLimits.fileDescriptors > 0 ? aLimits.fileDescriptors : OwnDescriptorLimit();
  budget.connections = std::min(aLimits.maxCallers, ConnectionsFor(descriptors));
  budget.connectionsPerAddress = aLimits.connectionsPerAddress;
  budget.statements = aLimits.statements;
  return budget;
}

ClientLimits ClientLimitsOf(const ProxyLimits& aLimits)
{
  ClientLimits limits;
  limits.readAheadBytes = aLimits.readAheadBytes;
  limits.unreadResponseBytes = aLimits.unreadResponseBytes;
  limits.sessionBytes = aLimits.sessionBytes;
  limits.preparedBytes = aLimits.preparedBytes;
  limits.startUpTime = std::chrono::milliseconds(aLimits.startUpMs);
  limits.messageTime = std::chrono::milliseconds(aLimits.messageMs);
  limits.responseTime = std::chrono::milliseconds(aLimits.responseMs);
  return limits;
}

} // namespace oleanderledge
