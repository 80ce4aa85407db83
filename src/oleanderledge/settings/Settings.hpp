#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// The daemon that a settings file is for. Some keys exist for one kind only.
enum class DaemonKind
{
  Proxy,
  Control,
};

/// A member of a new control group.
struct InitialMember
{
  std::string instance;
  std::string linkAddress; ///< "ip:port".
};

/// Limits of a proxy; all are optional in the file.
struct ProxyLimits
{
  std::uint32_t maxCallers = 20000;
  std::uint32_t maxMessageBytes = 16U << 20U; ///< Largest message of a caller.
  std::uint32_t queuedUnitsPerClass = 4096; ///< Longest queue of a class at an owner, per database.

  // The following apply to proxies with routes; see BudgetLimits and ClientLimits.
  std::uint32_t memoryMb = 0;        ///< Memory of the machine; 0: not known.
  std::uint32_t fileDescriptors = 0; ///< 0: the limit that the process was started with.
  std::uint32_t connectionsPerAddress = 20000;
  std::uint32_t statements = 20000;
  std::uint32_t totalBytes = 0; ///< 0: derived from the memory.
  std::uint32_t sparedBytes = 8U << 10U;
  std::uint32_t readAheadBytes = 16U << 10U;
  std::uint32_t unreadResponseBytes = 256U << 10U;
  std::uint32_t sessionBytes = 2U << 20U;
  std::uint32_t preparedBytes = 256U << 10U;
  std::uint32_t startUpMs = 10'000;
  std::uint32_t messageMs = 30'000;
  std::uint32_t responseMs = 60'000;
};

/// Limits on the clients of the HTTP and link ports, which anyone may reach; all are optional in
/// the file.
struct PortLimits
{
  std::uint32_t httpConnections = 256; ///< At each HTTP port.
  std::uint32_t httpHeadBytes = 32U << 10U;
  std::uint32_t httpBodyBytes = 4U << 20U;
  std::uint32_t httpRequestMs = 30'000; ///< To complete a request or to read a part of an answer.
  std::uint32_t httpIdleMs = 60'000;    ///< Connections without a request.
  std::uint32_t linkConnections = 512;
  std::uint32_t linkFrameBytes = 4U << 20U; ///< From peers that are not control instances.
  std::uint32_t linkFrameMs = 60'000;       ///< To complete a frame.
  std::uint32_t linkUnreadBytes = 32U << 20U;
  /// Bytes held for all clients of the process; control only.
  std::uint32_t heldBytes = 96U << 20U;
  std::uint32_t instances = 1'000;      ///< Control only.
  std::uint32_t backendServers = 1'024; ///< Control only.
  std::uint32_t databases = 4'096;      ///< Control only.
  std::uint32_t classes = 64;           ///< Control only.
};

/// One-way delays that are added to emulate the network when a fleet runs on one machine.
struct LatencySettings
{
  std::uint32_t betweenZonesUs = 0;
  std::uint32_t betweenRegionsUs = 0;
  std::uint32_t toClientsUs = 0;
};

/// Settings of a daemon in a fleet, where backend servers register themselves and routes come from
/// an operator. All lists may be empty.
struct FleetSettings
{
  bool enabled = false;         ///< True if the file has the key `fleet`.
  std::string nodeName;         ///< Name of this instance on the platform.
  std::string readinessAddress; ///< "ip:port" to listen on for load balancers; proxies only.
  /// "ip:port" to listen on for registrations and the configuration of the operator; control only.
  std::string controlPlaneAddress;
  /// "ip:port" of the platform service that promotes backend servers; control only.
  std::string promotionAddress;
  /// Addresses ("ip:port") of control instances. Their links use the port of `listen.link` instead,
  /// which is the same on every instance.
  std::vector<std::string> seeds;
  /// Region of each availability zone.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  /// Interval at which backend servers repeat their registration; control only.
  std::uint32_t registrationIntervalMs = 1200;
  std::uint32_t toleratedLosses = 1;  ///< Control instances that may fail at the same time.
  bool mayFoundGroup = false;         ///< Set it only for the first start of the whole fleet.
  std::uint32_t stopLimitMs = 10'000; ///< Longest duration of a graceful shutdown.
  /// A backend server gets no new statement later than this after it was acknowledged that it
  /// drains; proxies only. The default is the limit of the requirements (I7).
  std::uint32_t backendDrainMs = 3'000;
  /// Keys of callers are trusted for this time after the proxy's directory was known to be current,
  /// so that a withdrawn key ends everywhere; 0: no limit. Proxies only.
  std::uint32_t keyValidityMs = 0;
  /// Limits the statements at a backend server that has started or recovered until it answers
  /// quickly; proxies only.
  bool pacedStarts = false;
};

/// Settings of one daemon.
struct Settings
{
  std::string instance;
  std::string zone;                          ///< "region/zone".
  std::string linkAddress;                   ///< "ip:port".
  std::string httpAddress;                   ///< "ip:port".
  std::string callersAddress;                ///< "ip:port"; proxies only.
  std::string dataFolder;                    ///< Path; control only.
  std::vector<std::string> controlAddresses; ///< Link addresses to contact first.
  std::vector<InitialMember> initialMembers; ///< Control only.
  std::uint32_t electionTimeoutMs = 300;     ///< Minimum of the random timeout; control only.
  ProxyLimits limits;
  PortLimits portLimits;
  LatencySettings emulatedLatency;
  FleetSettings fleet;
};

/// Reads and validates a YAML settings file. Fails with SettingsInvalid; the message has one line
/// for each problem: "FILE:LINE: KEY: what is wrong, expected WHAT".
Result<Settings> LoadSettings(const std::string& aPath, DaemonKind aKind);

/// Like LoadSettings() for text in memory; `aPath` is used in messages only.
Result<Settings> ParseSettings(std::string_view aText, const std::string& aPath, DaemonKind aKind);

} // namespace oleanderledge
