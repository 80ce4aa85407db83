#include "oleanderledge/limits/LargeBlocks.hpp"

#include <malloc.h>

namespace oleanderledge {

void ReturnLargeBlocks()
{
  // Setting the threshold to its initial value keeps it there.
  constexpr int kThresholdBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
}

} // namespace oleanderledge
