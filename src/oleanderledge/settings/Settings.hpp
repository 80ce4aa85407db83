#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// Which daemon a settings file is for; some keys are required by one kind only.
enum class DaemonKind
{
  Proxy,
  Control,
};

/// A member that a new control group starts with.
struct InitialMember
{
  std::string instance;
  std::string linkAddress; ///< "ip:port".
};

/// Limits of a proxy. All optional in the file.
struct ProxyLimits
{
  std::uint32_t maxCallers = 20000;
  std::uint32_t messageBytes = 16U << 20U;  ///< Largest message of a caller.
  std::uint32_t queuedUnitsPerClass = 4096; ///< At an owner, for one database.
};

/// One-way delays that are added when a fleet runs on one machine, in microseconds.
struct LatencySettings
{
  std::uint32_t betweenZones = 0;
  std::uint32_t betweenRegions = 0;
  std::uint32_t toClients = 0;
};

/// Settings of one daemon.
struct Settings
{
  std::string instance;
  std::string zone;                          ///< "region/zone".
  std::string linkAddress;                   ///< "ip:port".
  std::string httpAddress;                   ///< "ip:port".
  std::string callersAddress;                ///< "ip:port"; proxies only.
  std::string dataFolder;                    ///< Control only.
  std::vector<std::string> controlAddresses; ///< Link addresses to contact first.
  std::vector<InitialMember> initialMembers; ///< Control only.
  std::uint32_t electionTimeoutMs = 300;     ///< Shortest election timeout; control only.
  ProxyLimits limits;
  LatencySettings emulatedLatency;
};

/// Reads and checks a settings file. Fails with SettingsInvalid; the message has one line for each
/// problem: "FILE:LINE: KEY: what is wrong, expected WHAT".
Result<Settings> LoadSettings(const std::string& aPath, DaemonKind aKind);

/// Like LoadSettings() for text in memory; `aPath` only names the source in messages.
Result<Settings> ParseSettings(std::string_view aText, const std::string& aPath, DaemonKind aKind);

} // namespace oleanderledge
