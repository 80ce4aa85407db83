#include "oleanderledge/base/ExitLimit.hpp"

#include <unistd.h>

#include <thread>

namespace oleanderledge {

void LimitExitTime(std::chrono::milliseconds aLimit, int aStatus)
{
  // Writes no log line: what the process waits for may be the log.
  std::thread([aLimit, aStatus] {
    std::this_thread::sleep_for(aLimit);
    _exit(aStatus);
  }).detach();
}

} // namespace oleanderledge
