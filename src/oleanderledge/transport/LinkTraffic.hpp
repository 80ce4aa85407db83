#pragma once

#include "oleanderledge/base/Zone.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Bytes that the links of this process have sent in messages of one kind to instances at one
/// distance, since its start. Traffic between regions is the most expensive one.
struct LinkTraffic
{
  std::string_view message;  ///< Name of the message, for metric labels.
  std::string_view distance; ///< "zone", "region" or "other_region".
  std::uint64_t bytes = 0;
};

/// Adds to the totals. `aType` is the index of the message in the variant Message. Thread-safe.
void CountSentBytes(std::size_t aType, ZoneDistance aDistance, std::size_t aBytes);

/// The totals that are not zero.
std::vector<LinkTraffic> SentBytesByMessage();

} // namespace oleanderledge
