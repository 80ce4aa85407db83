#pragma once

#include "oleanderledge/owner/OwnerService.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <cstdint>
#include <memory>
#include <string>

class QObject;

namespace oleanderledge {

/// Which scheduler orders the queue. The baselines are for comparison only.
enum class SchedulerKind : std::uint8_t
{
  Deadline = 0,
  Fifo = 1,
  StrictPriority = 2,
};

/// Settings of the owner role.
struct OwnerSettings
{
  InstanceInfo self;
  EmulatedLatency latency; ///< Applied between this process and the slots.
  /// User name for connections to backend servers, with trust authentication.
  std::string backendUser = "oleanderledge";
  SchedulerKind scheduler = SchedulerKind::Deadline;
  /// Bound on the queue of one class at one database, for the deadline scheduler.
  std::uint32_t queuedUnitsPerClass = 4096;
  Duration statusInterval{ 50'000 };    ///< Between two questions for the positions of a slot.
  Duration fastStatusInterval{ 5'000 }; ///< The same while writes wait for the in-sync set.
  std::int64_t linkQueueLimitBytes = std::int64_t{ 4 } * 1024 * 1024; ///< Pauses backend reads.
};

/// Creates the owner role. It runs in the calling thread, which needs a Qt event loop; `aParent`
/// lives in that thread and outlives the service, as does `aSink`.
std::unique_ptr<OwnerService> CreateOwnerService(QObject* aParent,
                                                 ReplySink& aSink,
                                                 const OwnerSettings& aSettings);

} // namespace oleanderledge
