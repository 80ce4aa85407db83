#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace oleanderledge::soak {

/// One child process. Its end is noticed by HasEnded(), which must be called repeatedly.
class ChildProcess
{
public:
  /// Starts a program with output appended to a file. HasEnded() is true at once if that fails.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogPath);
  /// Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal unless the process is known to have ended.
  void Signal(int aSignal) const;
  /// Collects the process if it has ended.
  bool HasEnded();
  /// What each thread of the process waits for, for a process that does not end: name, state and
  /// kernel function.
  std::string DescribeThreads() const;
  /// Process id; -1 if the process could not be started.
  pid_t Id() const { return this->id; }
  /// Status as of waitpid(); -1 if the process could not be started.
  int Status() const { return this->status; }

private:
  pid_t id = -1;
  bool hasEnded = false;
  int status = -1;
};

} // namespace oleanderledge::soak
