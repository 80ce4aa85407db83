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
  std::uint64_t received = 0; ///< Log offset that is durable on the server.
  std::uint64_t applied = 0;  ///< Log offset that is visible to reads.
  std::uint32_t connectionLimit = 0;
  bool departing = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

/// Answer of a backend server to a status or promotion call.
struct PlatformStatus
{
  bool isPrimary = false;
  std::uint64_t term = 0;
  std::uint64_t received = 0;
  std::uint64_t applied = 0;
};

} // namespace oleanderledge
