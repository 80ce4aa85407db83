#include "ClassLoad.hpp"

#include <QCoreApplication>
#include <QTimer>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <sstream>

DEFINE_string(targets, "", "comma-separated HOST:PORT of proxies' callers ports");
DEFINE_string(database, "orders-1", "database to connect to");
DEFINE_string(user, "load", "user name");
DEFINE_string(classes,
              "bookings:50:0.5:50",
              "comma-separated NAME:RATE:READ_SHARE:TARGET_MS[:CONNECTIONS]; rates in 1/s");
DEFINE_string(flood, "", "NAME:RATE:START_S:END_S: another rate of one class for a time");
DEFINE_double(warmup_s, 1, "time before requests are measured");
DEFINE_double(duration_s, 10, "time in which requests are measured");
DEFINE_double(drain_s, 5, "maximum time to wait for responses at the end");
DEFINE_string(read_sql, "SELECT max(id) FROM orders", "statement of a read");
DEFINE_string(write_sql,
              "INSERT INTO orders (order_number, item, quantity) VALUES ('{n}', 'load', 1)",
              "statement of a write; {n} is replaced by a number unique in the run");
DEFINE_uint64(seed, 1, "seed of the arrival times");

namespace {

using namespace oleanderledge;
using namespace oleanderledge::load;

/// Interval at which due requests are sent. Latency is measured from the exact intended time.
constexpr int kSendIntervalMs = 1;

std::vector<ConnectionTarget> ParseTargets()
{
  std::vector<ConnectionTarget> targets;
  std::istringstream stream(FLAGS_targets);
  for (std::string part; std::getline(stream, part, ',');) {
    const std::size_t colon = part.rfind(':');
    if (colon == std::string::npos) {
      return {};
    }
    targets.push_back(
      { part.substr(0, colon), part.substr(colon + 1), FLAGS_database, FLAGS_user, {} });
  }
  return targets;
}

int Reject(const char* aReason)
{
  std::fprintf(stderr, "load_tool: %s\n", aReason);
  return 2;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("offers requests at stated rates and prints how they were served");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const QCoreApplication application(aArgumentCount, aArguments);
  RunSettings run;
  run.targets = ParseTargets();
  if (run.targets.empty()) {
    return Reject("--targets is not a list of HOST:PORT");
  }
  const auto classes = ParseClasses(FLAGS_classes);
  if (!classes) {
    return Reject("--classes is not a list of NAME:RATE:READ_SHARE:TARGET_MS[:CONNECTIONS]");
  }
  if (!FLAGS_flood.empty()) {
    run.flood = ParseFlood(FLAGS_flood);
    if (!run.flood) {
      return Reject("--flood is not NAME:RATE:START_S:END_S");
    }
  }
  run.readSql = FLAGS_read_sql;
  run.writeSql = FLAGS_write_sql;
  run.seed = FLAGS_seed;
  run.start = MonotonicNow() + Duration{ static_cast<std::int64_t>(FLAGS_warmup_s * 1e6) };
  run.length = Duration{ static_cast<std::int64_t>(FLAGS_duration_s * 1e6) };
  const Instant drained =
    run.start + run.length + Duration{ static_cast<std::int64_t>(FLAGS_drain_s * 1e6) };

  std::vector<std::unique_ptr<ClassLoad>> loads;
  for (const ClassSettings& settings : *classes) {
    loads.push_back(std::make_unique<ClassLoad>(run, settings, nullptr));
  }
  QTimer tick;
  tick.setTimerType(Qt::PreciseTimer);
  QObject::connect(&tick, &QTimer::timeout, &tick, [&] {
    const Instant now = MonotonicNow();
    bool open = false;
    for (const auto& load : loads) {
      load->Advance(now);
      open = open || load->HasOpenRequests();
    }
    if (now >= drained || (now >= run.start + run.length && !open)) {
      QCoreApplication::quit();
    }
  });
  tick.start(kSendIntervalMs);
  QCoreApplication::exec();
  for (const auto& load : loads) {
    load->EndOpenRequests();
    load->Print();
  }
  return 0;
}
