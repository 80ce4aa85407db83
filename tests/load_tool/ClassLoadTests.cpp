#include "benchmarks/load_tool/ClassLoad.hpp"
#include "tests/standin/SlotGroup.hpp"

#include <QCoreApplication>

#include <catch2/catch.hpp>

#include <functional>

using namespace oleanderledge;
using namespace oleanderledge::load;
using stand_in::DatabaseSlot;
using stand_in::SlotGroup;

namespace {

constexpr int kStallMs = 300;

RunSettings RunAgainst(const SlotGroup& aGroup)
{
  RunSettings run;
  run.targets = { { "127.0.0.1", std::to_string(aGroup.ClientPort(0)), "orders-1", "load", {} } };
  run.readSql = "SELECT count(*) FROM orders";
  run.writeSql = "INSERT INTO orders (item) VALUES ('{n}')";
  run.start = MonotonicNow() + std::chrono::milliseconds(200);
  run.length = std::chrono::milliseconds(1000);
  return run;
}

/// Runs a load to completion and calls `aAtHalf` once at half time.
PhaseCounters RunLoad(const RunSettings& aRun,
                      const ClassSettings& aSettings,
                      const std::function<void()>& aAtHalf = {})
{
  ClassLoad load(aRun, aSettings, nullptr);
  bool halfDone = !aAtHalf;
  const Instant drained = aRun.start + aRun.length + std::chrono::seconds(3);
  for (Instant now = MonotonicNow(); now < drained; now = MonotonicNow()) {
    load.Advance(now);
    QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    if (!halfDone && now >= aRun.start + aRun.length / 2) {
      halfDone = true;
      aAtHalf();
    }
    if (now >= aRun.start + aRun.length && !load.HasOpenRequests()) {
      break;
    }
  }
  load.EndOpenRequests();
  return load.CountersOf(Phase::Before);
}

std::uint64_t Refused(const PhaseCounters& aCounters)
{
  std::uint64_t refused = 0;
  for (const auto& [sqlstate, count] : aCounters.refusals) {
    refused += count;
  }
  return refused;
}

} // namespace

TEST_CASE("Every offered request is counted once and every confirmed write is stored")
{
  SlotGroup group(1);
  const RunSettings run = RunAgainst(group);
  const PhaseCounters counters = RunLoad(run, { "bookings", 200, 0, 1000, 10 });
  CHECK(counters.offered > 100);
  CHECK(counters.offered < 300);
  CHECK(counters.served + Refused(counters) == counters.offered);
  CHECK(counters.served == counters.offered);
  std::uint64_t stored = 0;
  group.On(0, [&](DatabaseSlot& aSlot) {
    stored = std::stoull(
      *aSlot.Context().store.Committed().Execute("SELECT count(*) FROM orders").rows.at(0).at(0));
  });
  // Requests sent during the warm-up are stored but not counted.
  CHECK(stored >= counters.served);
}

// Guards against coordinated omission: a stalled server must not delay the arrivals, and latency is
// measured from the intended send time.
TEST_CASE("A stall of the server is visible in the latencies")
{
  SlotGroup group(1);
  const RunSettings run = RunAgainst(group);
  const PhaseCounters counters = RunLoad(run, { "bookings", 200, 1, 50, 1 }, [&] {
    group.On(0, [](DatabaseSlot& aSlot) {
      aSlot.Freeze();
      QTimer::singleShot(kStallMs, &aSlot, [&aSlot] { aSlot.Thaw(); });
    });
  });
  CHECK(counters.served + Refused(counters) == counters.offered);
  CHECK(counters.inTarget < counters.served);
  CHECK(counters.latency.QuantileMs(0.99) > 100);
}

TEST_CASE("Lost connections count as refusals, and the load continues after them")
{
  SlotGroup group(1, [](stand_in::SlotSettings& aSettings) { aSettings.serviceMs = 20; });
  const RunSettings run = RunAgainst(group);
  const PhaseCounters counters = RunLoad(run, { "bookings", 200, 1, 500, 10 }, [&] {
    group.On(0, [](DatabaseSlot& aSlot) {
      aSlot.Cut(stand_in::CutScope::All);
      aSlot.Heal();
    });
  });
  CHECK(counters.served + Refused(counters) == counters.offered);
  CHECK(counters.refusals.at("08006") >= 1);
  CHECK(counters.served > counters.offered / 2);
}
