#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge::stand_in {

/// Settings of one slot: one server of a database group. Addresses are "ip:port"; port 0 selects
/// any free port.
struct SlotSettings
{
  std::string service;
  std::string database;
  std::string slot;
  std::string zone; ///< "region/zone".
  std::string clientAddress = "127.0.0.1:0";
  std::string replicationAddress = "127.0.0.1:0";
  std::string httpAddress = "127.0.0.1:0";
  std::vector<std::string> peers;    ///< Replication addresses of the other slots of the group.
  std::vector<std::string> announce; ///< HTTP addresses that receive announcements.
  bool initialPrimary = false;       ///< Becomes primary of term 1 if the whole group is empty.
  int connectionLimit = 25;
  double serviceMs = 0;         ///< Time before each SQL statement runs, rounded to whole ms.
  int connectDelayMs = 12;      ///< Time before a new connection is accepted.
  int clientLatencyUs = 0;      ///< One-way latency, added in both directions.
  int receiveLagMs = 0;         ///< Time until a replicated record counts as received.
  int applyLagMs = 0;           ///< Further time until it is visible to reads.
  int announceIntervalMs = 200; ///< 0 turns announcements off.
  std::string schema;           ///< SQL that the first primary of an empty group runs.
};

} // namespace oleanderledge::stand_in
