/// Test helper: lets accept() fail for lack of file descriptors.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <vector>

namespace oleanderledge::test {

/// While this exists, the process gets no further file descriptors.
class NoFreeDescriptors
{
public:
  NoFreeDescriptors()
  {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &this->original) == 0);
    // New descriptors have the lowest free number, so that the limit is that of the next one after
    // all gaps are filled.
    constexpr int kAboveGaps = 200;
    for (int filled = 0; filled < kAboveGaps;) {
      filled = dup(STDIN_FILENO);
      REQUIRE(filled >= 0);
      this->fillers.push_back(filled);
    }
    rlimit lowered = this->original;
    lowered.rlim_cur = static_cast<rlim_t>(this->fillers.back()) + 1;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;
  ~NoFreeDescriptors()
  {
    setrlimit(RLIMIT_NOFILE, &this->original);
    for (const int filler : this->fillers) {
      close(filler);
    }
  }

private:
  rlimit original{};
  std::vector<int> fillers;
};

} // namespace oleanderledge::test
