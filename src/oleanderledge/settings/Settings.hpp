#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <map>
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
  std::uint32_t maxMessageBytes = 16U << 20U; ///< Largest message of a caller.
  std::uint32_t queuedUnitsPerClass = 4096;   ///< At an owner, for one database.
};

/// One-way delays that are added when a fleet runs on one machine, in microseconds.
struct LatencySettings
{
  std::uint32_t betweenZonesUs = 0;
  std::uint32_t betweenRegionsUs = 0;
  std::uint32_t toClientsUs = 0;
};

/// Settings of a daemon that serves registered backend servers and routes. All lists may be empty.
struct FleetSettings
{
  bool enabled = false;
  std::string nodeName;            ///< Name by which the platform knows this instance.
  std::string readinessAddress;    ///< "ip:port"; proxies only.
  std::string controlPlaneAddress; ///< "ip:port"; control only.
  std::string promotionAddress;    ///< "ip:port" of the platform; control only.
  /// Addresses ("ip:port") of control instances; their links have the port of `listen.link`.
  std::vector<std::string> seeds;
  /// Region of each availability zone.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  std::uint32_t registrationIntervalMs = 1200;
  std::uint32_t toleratedLosses = 1;  ///< Control instances that may be lost at once.
  bool mayFoundGroup = false;         ///< True only at the first start of the whole fleet.
  std::uint32_t stopLimitMs = 10'000; ///< Longest graceful stop.
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
  FleetSettings fleet;
};

/// Reads and checks a settings file. Fails with SettingsInvalid; the message has one line for each
/// problem: "FILE:LINE: KEY: what is wrong, expected WHAT".
Result<Settings> LoadSettings(const std::string& aPath, DaemonKind aKind);

/// Like LoadSettings() for text in memory; `aPath` only names the source in messages.
Result<Settings> ParseSettings(std::string_view aText, const std::string& aPath, DaemonKind aKind);

} // namespace oleanderledge
