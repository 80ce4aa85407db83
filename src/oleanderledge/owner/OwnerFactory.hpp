#pragma once

#include "oleanderledge/owner/OwnerService.hpp"
#include "oleanderledge/transport/EmulatedLatency.hpp"

#include <cstdint>
#include <memory>
#include <string>

class QObject;

namespace oleanderledge {

/// Which scheduler orders the queue. Fifo and StrictPriority are baselines for comparison only.
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
  EmulatedLatency latency; ///< Emulated between this process and the slots.
  /// User name for connections to backend servers, with trust authentication.
  std::string backendUser = "oleanderledge";
  SchedulerKind scheduler = SchedulerKind::Deadline;
  /// Largest number of queued units of one class at one database, for the deadline scheduler.
  std::uint32_t queuedUnitsPerClass = 4096;
  Duration statusInterval{ 50'000 };    ///< Between two status queries to a slot.
  Duration fastStatusInterval{ 5'000 }; ///< While writes wait for the in-sync set.
  /// Above this number of bytes queued on a link, reading from the backend connections that serve
  /// it is paused; it resumes below half of it.
  std::int64_t linkQueueLimitBytes = std::int64_t{ 4 } * 1024 * 1024;
};

/// Creates the owner role. It runs in the calling thread, which needs a Qt event loop and must be
/// that of `aParent`. `aParent` and `aSink` must outlive the service.
std::unique_ptr<OwnerService> CreateOwnerService(QObject* aParent,
                                                 ReplySink& aSink,
                                                 const OwnerSettings& aSettings);

} // namespace oleanderledge
