#pragma once

#include <cstdint>
#include <string>

namespace oleanderledge {

/// One announcement that a backend server sends to every control member.
struct Announcement
{
  std::string service;
  std::string database;
  std::string slot;
  std::string zone;
  std::string address; ///< "ip:port".
  bool isPrimary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0; ///< Log offset of `term` that is durable on the server.
  std::uint64_t applied = 0;  ///< Log offset of `term` that is visible to reads.
  /// Number of connections that the server accepts, including one monitoring connection per slot.
  /// 0 leaves a known limit of the database unchanged. The limit of the primary is the one used.
  std::uint32_t connectionLimit = 0;
  /// The server is about to leave. If it is primary and a successor is reachable, the successor is
  /// promoted as a planned change.
  bool departing = false;
  std::uint64_t incarnation = 0; ///< Distinguishes restarts of the server; unique, not ordered.
  std::uint64_t sequence = 0;    ///< Grows with each announcement of an incarnation.
};

/// Answer of a backend server to a status or promotion call.
struct PlatformStatus
{
  bool isPrimary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0; ///< Log offset of `term` that is durable on the server.
  std::uint64_t applied = 0;  ///< Log offset of `term` that is visible to reads.
};

} // namespace oleanderledge
