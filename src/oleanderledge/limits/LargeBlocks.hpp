#pragma once

namespace oleanderledge {

/// Makes the process return each freed block of 128 KiB or more to the system at once. By default
/// the C library raises that size with the first large message that is freed; later ones then
/// fragment the heap, which is not returned. To be called before other threads start.
void ReturnLargeBlocks();

} // namespace oleanderledge
