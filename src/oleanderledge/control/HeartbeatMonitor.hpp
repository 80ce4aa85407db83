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
  Unknown, ///< Not heard observingSince this leader was elected, but not for long enough to be
           ///< dead.
  Alive,
  Leaving, ///< Alive and stopping gracefully.
  Dead,
};

/// What the leader knows about one process.
struct InstanceView
{
  Heartbeat last;
  Instant heardAt{};
  IncarnationTracker incarnations;
};

/// Heartbeats of proxies as the leader hears them. Volatile: a new leader starts empty.
class HeartbeatMonitor
{
public:
  explicit HeartbeatMonitor(const ControlTimings& aTimings)
    : timings(aTimings)
  {
  }

  /// Forgets everything; a new leader counts silence from `aNow`.
  void Reset(Instant aNow);

  IncarnationVerdict Observe(const Heartbeat& aHeartbeat, Instant aNow);

  /// Drops a process that has been forgotten.
  void Forget(std::string_view aId);

  InstanceHealth HealthOf(std::string_view aId, std::uint64_t aIncarnation, Instant aNow) const;
  bool IsUsable(std::string_view aId, std::uint64_t aIncarnation, Instant aNow) const
  {
    return this->HealthOf(aId, aIncarnation, aNow) == InstanceHealth::Alive;
  }

  /// The latest view of a process, or null.
  const InstanceView* Find(std::string_view aId) const;
  const std::map<std::string, InstanceView, std::less<>>& Views() const { return this->views; }

  /// The last report of a process about a database under an epoch, or null.
  const OwnerReport* FindReport(std::string_view aId,
                                std::uint64_t aIncarnation,
                                std::string_view aDatabase,
                                std::uint64_t aEpoch) const;

  /// Start of the observation.
  Instant ObservingSince() const { return this->observingSince; }

private:
  ControlTimings timings;
  Instant observingSince{};
  std::map<std::string, InstanceView, std::less<>> views;
  /// Instance id by link address, to see that another process took an address over.
  std::map<std::string, std::string, std::less<>> idByAddress;
  /// Ids whose address was taken over by another id.
  std::map<std::string, std::uint64_t, std::less<>> displaced;
};

} // namespace oleanderledge
