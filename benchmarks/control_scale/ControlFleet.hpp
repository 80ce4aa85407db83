#pragma once

#include "oleanderledge/control/control.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge::benchmark {

/// CPU time, message sizes and memory measured for a fleet of one size.
struct ScaleFigures
{
  std::size_t proxies = 0;
  std::size_t databases = 0;
  double heartbeatCpuUs = 0;    ///< Leader, for one heartbeat with its reply, decoding included.
  double announcementCpuUs = 0; ///< Leader, for one announcement, without HTTP.
  double tickCpuUs = 0;         ///< Leader, for one tick.
  double heartbeatBytes = 0;    ///< Mean size of a heartbeat frame.
  double replyBytes = 0;        ///< Mean size of a reply frame.
  double directoryBytes = 0;    ///< Size of a frame with the whole directory.
  double snapshotBytes = 0;     ///< Size of the serialized control state.
  double changeBytes = 0;       ///< Size of a frame with one changed class.
  double changeEncodeCpuUs = 0; ///< Building and encoding that frame once.
  double residentBytes = 0;     ///< Growth of the resident memory of the process during Measure().
};

/// One control leader with its state, proxies and backend servers in virtual time. Commands are
/// committed immediately.
class ControlFleet
{
public:
  ControlFleet(std::size_t aProxies, std::size_t aDatabases);

  /// Runs until every database has an owner, for at most 12 s of virtual time, then measures 3 s of
  /// steady state.
  ScaleFigures Measure();

private:
  void ApplyActions(const ControlActions& aActions);
  void Announce();
  void SendHeartbeats(bool aMeasured);
  void Tick(bool aMeasured);
  void RunStep(bool aMeasured);
  std::size_t CountOwned() const;
  void MeasureChange();

  ControlState state;
  ControlLeader leader;
  std::vector<InstanceInfo> proxies;
  std::vector<std::vector<std::string>> owned;
  std::vector<Announcement> announcements;
  Instant now = FromMicroseconds(1'000'000'000);
  std::uint64_t index = 0;
  std::uint64_t sequence = 0;
  std::uint64_t steps = 0;
  ScaleFigures figures;
  double heartbeatCpuSeconds = 0;
  double announcementCpuSeconds = 0;
  double tickCpuSeconds = 0;
  std::uint64_t heartbeatCount = 0;
  std::uint64_t announcementCount = 0;
  std::uint64_t tickCount = 0;
  bool measuresAnnouncements = false;
};

} // namespace oleanderledge::benchmark
