#pragma once

#include "oleanderledge/control/ControlTimings.hpp"
#include "oleanderledge/control/IncarnationTracker.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

enum class InstanceHealth
{
  /// No heartbeat since this leader was elected, but not for long enough to count as dead.
  Unknown,
  Alive,
  Leaving, ///< Alive, shutting down gracefully.
  Dead,
};

/// Last heartbeat of one process.
struct InstanceView
{
  Heartbeat last;
  Instant lastHeartbeatAt{};
  IncarnationTracker incarnations;
};

/// Heartbeats that this leader received, and the health of processes that follows from them. Kept
/// in memory only: a new leader starts empty.
class HeartbeatMonitor
{
public:
  explicit HeartbeatMonitor(const ControlTimings& aTimings)
    : timings(aTimings)
  {
  }

  /// Called when this member becomes leader: discards all heartbeats and starts observing at
  /// `aNow`.
  void Reset(Instant aNow);

  /// Records a heartbeat, unless it is late or comes from a retired incarnation. Returns how it
  /// relates to the earlier ones of the process.
  IncarnationVerdict Observe(const Heartbeat& aHeartbeat, Instant aNow);

  /// Discards the heartbeats of a process that is removed from the recorded instances.
  void Forget(std::string_view aId);

  /// Health of one incarnation of a process. An incarnation that is not the current one is dead.
  InstanceHealth HealthOf(std::string_view aId, std::uint64_t aIncarnation, Instant aNow) const;
  /// True if the incarnation is alive and not leaving.
  bool IsUsable(std::string_view aId, std::uint64_t aIncarnation, Instant aNow) const
  {
    return this->HealthOf(aId, aIncarnation, aNow) == InstanceHealth::Alive;
  }

  /// The last heartbeat of a process, or null.
  const InstanceView* Find(std::string_view aId) const;
  const std::map<std::string, InstanceView, std::less<>>& Views() const { return this->views; }

  /// The last report of a process about a database under an epoch, or null.
  const OwnerReport* FindReport(std::string_view aId,
                                std::uint64_t aIncarnation,
                                std::string_view aDatabase,
                                std::uint64_t aEpoch) const;

  /// Time of the last Reset().
  Instant ObservingSince() const { return this->observingSince; }

private:
  ControlTimings timings;
  Instant observingSince{};
  std::map<std::string, InstanceView, std::less<>> views;
  /// Instance id by link address, to detect that another process has taken over an address.
  std::map<std::string, std::string, std::less<>> idByAddress;
  /// Incarnations by the id of processes whose address was taken over by another id. They count as
  /// dead.
  std::map<std::string, std::uint64_t, std::less<>> displaced;
};

} // namespace oleanderledge
