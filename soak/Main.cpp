#include "soak/SoakRun.hpp"

#include <QCoreApplication>

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(program, "", "path of the oleanderledge program");
DEFINE_uint32(first_seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds, one run each");
DEFINE_uint32(seconds, 12, "length of the faults of one run, in seconds");

int main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("runs a fleet of real processes under faults and checks its promises");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const QCoreApplication application(aArgumentCount, aArguments);
  unsigned broken = 0;
  for (std::uint32_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
    oleanderledge::soak::SoakRun run(FLAGS_program, seed, std::chrono::seconds(FLAGS_seconds));
    broken += run.Run() ? 0 : 1;
    std::printf("%s\n", run.Summary().c_str());
    std::fflush(stdout);
  }
  std::printf("%u of %u runs broke a promise\n", broken, FLAGS_seeds);
  return broken == 0 ? 0 : 1;
}
