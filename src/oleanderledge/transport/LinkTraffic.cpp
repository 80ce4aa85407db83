#include "oleanderledge/transport/LinkTraffic.hpp"

#include "oleanderledge/link/Messages.hpp"

#include <array>
#include <atomic>

namespace oleanderledge {

namespace {

constexpr std::size_t kMessageTypes = std::variant_size_v<Message>;
constexpr std::array<std::string_view, 3> kDistances{ "zone", "region", "other_region" };
/// In the order of the variant Message.
constexpr std::array<std::string_view, kMessageTypes> kNames{ "hello",
                                                              "statement_request",
                                                              "statement_reply",
                                                              "cancel_statement",
                                                              "close_channel",
                                                              "link_ping",
                                                              "link_pong",
                                                              "heartbeat",
                                                              "heartbeat_reply",
                                                              "directory_update",
                                                              "vote_request",
                                                              "vote_reply",
                                                              "append_request",
                                                              "append_reply",
                                                              "snapshot_request",
                                                              "snapshot_reply",
                                                              "join_request",
                                                              "relayed_heartbeats",
                                                              "relayed_replies",
                                                              "relay_open",
                                                              "relay_opened",
                                                              "relay_statement",
                                                              "relay_result",
                                                              "relay_close",
                                                              "leave_request",
                                                              "token_request",
                                                              "token_reply",
                                                              "relayed_token_requests",
                                                              "relayed_token_replies" };

using Totals = std::array<std::array<std::atomic<std::uint64_t>, kDistances.size()>, kMessageTypes>;

Totals& SentTotals()
{
  static Totals totals{};
  return totals;
}

} // namespace

void CountSentBytes(std::size_t aType, ZoneDistance aDistance, std::size_t aBytes)
{
  SentTotals()
    .at(aType)
    .at(static_cast<std::size_t>(aDistance))
    .fetch_add(aBytes, std::memory_order_relaxed);
}

std::vector<LinkTraffic> SentBytesByMessage()
{
  std::vector<LinkTraffic> traffic;
  for (std::size_t type = 0; type < kMessageTypes; ++type) {
    for (std::size_t distance = 0; distance < kDistances.size(); ++distance) {
      const std::uint64_t bytes =
        SentTotals().at(type).at(distance).load(std::memory_order_relaxed);
      if (bytes == 0) {
        continue;
      }
      traffic.push_back({ kNames.at(type), kDistances.at(distance), bytes });
    }
  }
  return traffic;
}

} // namespace oleanderledge
