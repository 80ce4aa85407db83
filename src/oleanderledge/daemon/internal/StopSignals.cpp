#include "oleanderledge/daemon/internal/StopSignals.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace oleanderledge {

namespace {

/// A signal handler may only use async-signal-safe calls, so it writes a byte to a pipe that the
/// event loop reads.
std::array<int, 2> signalPipe{ -1, -1 };
std::atomic_flag stopRequested = ATOMIC_FLAG_INIT;

void HandleSignal(int aSignal)
{
  if (stopRequested.test_and_set()) {
    _exit(128 + aSignal);
  }
  const char byte = 1;
  [[maybe_unused]] const ssize_t written = write(signalPipe[1], &byte, 1);
}

} // namespace

StopSignals::StopSignals(QObject* aParent)
  : QObject(aParent)
{
  if (pipe2(signalPipe.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    return;
  }
  this->notifier = new QSocketNotifier(signalPipe[0], QSocketNotifier::Read, this);
  QObject::connect(this->notifier, &QSocketNotifier::activated, this, [this] {
    this->notifier->setEnabled(false);
    Q_EMIT this->StopRequested();
  });
  std::signal(SIGTERM, HandleSignal);
  std::signal(SIGINT, HandleSignal);
  // Writes to closed sockets are reported as errors of the call instead.
  std::signal(SIGPIPE, SIG_IGN);
}

StopSignals::~StopSignals()
{
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
}

} // namespace oleanderledge
