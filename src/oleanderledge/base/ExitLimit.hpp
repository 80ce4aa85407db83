#pragma once

#include <chrono>

namespace oleanderledge {

/// Ends the process with the status `aStatus` after `aLimit`, without running destructors, unless
/// it has ended by then. To be called once, when nothing is left to do but to destroy objects and
/// to write queued log lines: both may wait for a disk or a reader without a bound.
void LimitExitTime(std::chrono::milliseconds aLimit, int aStatus);

} // namespace oleanderledge
