#pragma once

#include "oleanderledge/control/ControlCommand.hpp"
#include "oleanderledge/control/FailoverTimeline.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oleanderledge {

/// Replicate a command. `key` is passed back to OnProposalDone() of the class that proposed it.
struct ProposeAction
{
  std::string key;
  ControlCommand command;
};

/// Call `platform_promote(term)` on a backend server.
struct PromoteSlotAction
{
  std::string database;
  std::string slot;
  std::string address;
  std::uint64_t term = 0;
};

/// Call `platform_status()` on a backend server.
struct QueryStatusAction
{
  std::string database;
  std::string slot;
  std::string address;
};

/// Send a process a heartbeat reply without waiting for its next heartbeat, to make it release a
/// lease early.
struct PushReplyAction
{
  HeartbeatReply reply;
};

/// Ask the platform to make a registered backend server the primary of its service.
struct PromoteBackendAction
{
  std::string service;
  std::string backend;
  std::uint64_t fence = 0;
};

/// Query the received position of a registered backend server.
struct QueryPositionAction
{
  BackendRow backend;
  std::uint64_t round = 0; ///< Repeated with the answer.
};

/// Write a log line.
struct LogAction
{
  LogEvent event;
  std::string detail;
  /// Set with FailoverCompleted, if all durations are known.
  std::optional<FailoverDurations> failover = std::nullopt;
};

using ControlAction = std::variant<ProposeAction,
                                   PromoteSlotAction,
                                   QueryStatusAction,
                                   PushReplyAction,
                                   PromoteBackendAction,
                                   QueryPositionAction,
                                   LogAction>;
using ControlActions = std::vector<ControlAction>;

} // namespace oleanderledge
