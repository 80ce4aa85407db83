#include "AcceptanceRun.hpp"
#include "ProxyAcceptanceRun.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <ctime>
#include <unistd.h>

DEFINE_string(host, "127.0.0.1", "address of the server");
DEFINE_int32(port, 0, "port of the stand-in's clients or of a proxy's callers");
DEFINE_string(database, "orders-1", "database to connect to");
DEFINE_string(user, "counter", "user name");
DEFINE_bool(proxy, false, "also check what only a proxy provides");
DEFINE_int32(second_port, 0, "with --proxy: callers port of another proxy; default is --port");

int main(int aArgumentCount, char** aArguments)
{
  using namespace oleanderledge::acceptance;
  gflags::SetUsageMessage("checks a server of the PostgreSQL protocol through libpq");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const std::string runName =
    "run-" + std::to_string(std::time(nullptr)) + "-" + std::to_string(getpid());
  const PgTarget target{ FLAGS_host, FLAGS_port, FLAGS_database, FLAGS_user };
  Checks checks;
  AcceptanceRun(checks, target, runName).RunAll();
  if (FLAGS_proxy) {
    PgTarget second = target;
    second.port = FLAGS_second_port == 0 ? FLAGS_port : FLAGS_second_port;
    ProxyAcceptanceRun(checks, target, second, runName).RunAll();
  }
  std::printf("%d passed, %d failed\n", checks.Passed(), checks.Failed());
  return checks.Failed() == 0 ? 0 : 1;
}
