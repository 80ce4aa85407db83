#include "oleanderledge/daemon/internal/ProcessSignals.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace oleanderledge {

namespace {

/// Self-pipe: a signal handler may only make async-signal-safe calls, so it writes a byte that the
/// event loop reads.
std::array<int, 2> signalPipe{ -1, -1 };
std::atomic_flag stopRequested = ATOMIC_FLAG_INIT;

constexpr char kStopByte = 1;
constexpr char kReloadByte = 2;

void HandleSignal(int aSignal)
{
  if (aSignal != SIGHUP && stopRequested.test_and_set()) {
    _exit(128 + aSignal);
  }
  const char byte = aSignal == SIGHUP ? kReloadByte : kStopByte;
  [[maybe_unused]] const ssize_t written = write(signalPipe[1], &byte, 1);
}

} // namespace

ProcessSignals::ProcessSignals(QObject* aParent)
  : QObject(aParent)
{
  if (pipe2(signalPipe.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    return;
  }
  this->notifier = new QSocketNotifier(signalPipe[0], QSocketNotifier::Read, this);
  QObject::connect(this->notifier, &QSocketNotifier::activated, this, &ProcessSignals::ReadPipe);
  std::signal(SIGTERM, HandleSignal);
  std::signal(SIGINT, HandleSignal);
  std::signal(SIGHUP, HandleSignal);
  // A write to a closed socket then fails with EPIPE instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals()
{
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
}

void ProcessSignals::ReadPipe()
{
  char byte = 0;
  while (read(signalPipe[0], &byte, 1) == 1) {
    if (byte == kReloadByte) {
      Q_EMIT this->ReloadRequested();
      continue;
    }
    this->notifier->setEnabled(false);
    Q_EMIT this->StopRequested();
    return;
  }
}

} // namespace oleanderledge
