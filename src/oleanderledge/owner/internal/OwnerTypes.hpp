#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"
#include "oleanderledge/owner/OwnerService.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleanderledge {

/// Identifies a caller session of an entry process among all links of this process.
struct ChannelKey
{
  LinkId link = 0;
  std::uint64_t channel = 0;

  bool operator==(const ChannelKey&) const = default;
  // Not defaulted, because clang-tidy reports the comparison with 0 in the generated code as a null
  // pointer constant.
  std::strong_ordering operator<=>(const ChannelKey& aOther) const
  {
    const auto byLink = this->link <=> aOther.link;
    return std::is_neq(byLink) ? byLink : this->channel <=> aOther.channel;
  }
};

/// Identifies a connection to a backend server within one database owner. Never reused.
using ConnectionId = std::uint64_t;

/// Role, term and log offsets of a slot, as answered to `SELECT * FROM platform_status()`.
struct SlotStatus
{
  std::string slot;
  bool isPrimary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0;
  std::uint64_t applied = 0;
  Instant queriedAt; ///< When the query was sent; the status is at least this recent.
};

// Actions of a DatabaseOwner, which the adapter executes in order.

struct OpenConnection
{
  ConnectionId connection = 0;
  std::string slot;
};

struct SendToBackend
{
  ConnectionId connection = 0;
  std::string bytes;
};

struct CloseConnection
{
  ConnectionId connection = 0;
};

/// Sends a CancelRequest. The adapter calls CancelFinished() once the server has processed it or
/// cannot be reached.
struct CancelOnBackend
{
  ConnectionId connection = 0;
};

struct SendReply
{
  LinkId link = 0;
  StatementReply reply;
};

struct WriteOwnerLog
{
  LogEvent event = LogEvent::LinkClosed;
  std::string detail;
};

using OwnerAction = std::variant<OpenConnection,
                                 SendToBackend,
                                 CloseConnection,
                                 CancelOnBackend,
                                 SendReply,
                                 WriteOwnerLog>;

} // namespace oleanderledge
