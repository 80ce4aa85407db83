#include "oleanderledge/daemon/internal/ProcessSignals.hpp"

#include <QCoreApplication>
#include <QElapsedTimer>

#include <catch2/catch.hpp>

#include <csignal>

using namespace oleanderledge;

namespace {

/// Runs the event loop until the condition holds, at most 5 s. Returns whether it holds.
template<class Condition>
bool RunUntil(Condition aCondition)
{
  QElapsedTimer elapsed;
  elapsed.start();
  while (!aCondition() && elapsed.elapsed() < 5000) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  return aCondition();
}

} // namespace

// Guards against SIGHUP ending the process, which aborted the requests in progress.
TEST_CASE("SIGHUP requests a reload and does not stop the process", "[signals]")
{
  int argumentCount = 0;
  const QCoreApplication application(argumentCount, nullptr);
  ProcessSignals signals(nullptr);
  int reloads = 0;
  int stops = 0;
  QObject::connect(&signals, &ProcessSignals::ReloadRequested, [&reloads] { ++reloads; });
  QObject::connect(&signals, &ProcessSignals::StopRequested, [&stops] { ++stops; });
  std::raise(SIGHUP);
  REQUIRE(RunUntil([&reloads] { return reloads == 1; }));
  std::raise(SIGHUP);
  REQUIRE(RunUntil([&reloads] { return reloads == 2; }));
  CHECK(stops == 0);
  std::raise(SIGTERM);
  CHECK(RunUntil([&stops] { return stops == 1; }));
}
