#include "oleanderledge/settings/Settings.hpp"

#include "oleanderledge/settings/internal/CheckedNode.hpp"

#include <fstream>
#include <set>
#include <sstream>

namespace oleanderledge {

namespace {

constexpr std::uint32_t kMaxEmulatedDelayUs = 1'000'000;
constexpr std::size_t kMaxInitialMembers = 5;

void ReadListen(CheckedNode& aRoot, Settings& aSettings, DaemonKind aKind)
{
  CheckedNode listen = aRoot.ReadMapping("listen", true);
  listen.ReadAddress("link", aSettings.linkAddress, true);
  listen.ReadAddress("http", aSettings.httpAddress, true);
  if (aKind == DaemonKind::Proxy) {
    listen.ReadAddress("callers", aSettings.callersAddress, true);
  }
  listen.ReportUnknownKeys();
}

/// Largest number of connections, rows or milliseconds of a limit.
constexpr std::uint32_t kMaxCount = 1'000'000;
constexpr std::uint32_t kMaxLimitMs = 3'600'000;

void ReadCallerLimits(CheckedNode& aLimits, ProxyLimits& aTarget)
{
  aLimits.ReadNumber("max_callers", aTarget.maxCallers, 1, kMaxCount);
  aLimits.ReadNumber("message_bytes", aTarget.maxMessageBytes, 1024, 64U << 20U);
  aLimits.ReadNumber("queued_units_per_class", aTarget.queuedUnitsPerClass, 1, kMaxCount);
  aLimits.ReadNumber("memory_mb", aTarget.memoryMb, 1, 1'000'000);
  aLimits.ReadNumber("file_descriptors", aTarget.fileDescriptors, 64, 10'000'000);
  aLimits.ReadNumber("connections_per_address", aTarget.connectionsPerAddress, 1, 1'000'000);
  aLimits.ReadNumber("statements", aTarget.statements, 1, 1'000'000);
  aLimits.ReadNumber("total_bytes", aTarget.totalBytes, 4U << 20U, 4U << 29U);
  aLimits.ReadNumber("spared_bytes", aTarget.sparedBytes, 0, 1U << 20U);
  aLimits.ReadNumber("read_ahead_bytes", aTarget.readAheadBytes, 1024, 64U << 20U);
  aLimits.ReadNumber("unread_response_bytes", aTarget.unreadResponseBytes, 1024, 64U << 20U);
  aLimits.ReadNumber("session_bytes", aTarget.sessionBytes, 1024, 64U << 20U);
  aLimits.ReadNumber("prepared_bytes", aTarget.preparedBytes, 1024, 64U << 20U);
  aLimits.ReadNumber("start_up_ms", aTarget.startUpMs, 100, 3'600'000);
  aLimits.ReadNumber("message_ms", aTarget.messageMs, 100, 3'600'000);
  aLimits.ReadNumber("response_ms", aTarget.responseMs, 100, 3'600'000);
}

void ReadPortLimits(CheckedNode& aLimits, PortLimits& aTarget, DaemonKind aKind)
{
  aLimits.ReadNumber("http_connections", aTarget.httpConnections, 1, kMaxCount);
  aLimits.ReadNumber("http_head_bytes", aTarget.httpHeadBytes, 1024, 1U << 20U);
  aLimits.ReadNumber("http_body_bytes", aTarget.httpBodyBytes, 1024, 8U << 20U);
  aLimits.ReadNumber("http_request_ms", aTarget.httpRequestMs, 100, kMaxLimitMs);
  aLimits.ReadNumber("http_idle_ms", aTarget.httpIdleMs, 100, kMaxLimitMs);
  aLimits.ReadNumber("link_connections", aTarget.linkConnections, 1, kMaxCount);
  aLimits.ReadNumber("link_frame_bytes", aTarget.linkFrameBytes, 4096, 16U << 20U);
  aLimits.ReadNumber("link_frame_ms", aTarget.linkFrameMs, 100, kMaxLimitMs);
  aLimits.ReadNumber("link_unread_bytes", aTarget.linkUnreadBytes, 1U << 20U, 1U << 30U);
  if (aKind == DaemonKind::Control) {
    aLimits.ReadNumber("held_bytes", aTarget.heldBytes, 1U << 20U, 1U << 30U);
    aLimits.ReadNumber("instances", aTarget.instances, 1, kMaxCount);
    aLimits.ReadNumber("backend_servers", aTarget.backendServers, 1, kMaxCount);
    aLimits.ReadNumber("databases", aTarget.databases, 1, kMaxCount);
    aLimits.ReadNumber("classes", aTarget.classes, 1, kMaxCount);
  }
}

void ReadLimits(CheckedNode& aRoot, Settings& aSettings, DaemonKind aKind)
{
  CheckedNode limits = aRoot.ReadMapping("limits", false);
  // A proxy forwards operator requests, which are small; a control instance takes configurations.
  // Proxies take statements of callers over links, and control instances heartbeats.
  constexpr std::uint32_t kProxyBodyBytes = 256U << 10U;
  constexpr std::uint32_t kHeartbeatBytes = 512U << 10U;
  if (aKind == DaemonKind::Proxy) {
    aSettings.portLimits.httpBodyBytes = kProxyBodyBytes;
    ReadCallerLimits(limits, aSettings.limits);
  } else {
    aSettings.portLimits.linkFrameBytes = kHeartbeatBytes;
  }
  ReadPortLimits(limits, aSettings.portLimits, aKind);
  limits.ReportUnknownKeys();
}

void ReadLatency(CheckedNode& aRoot, LatencySettings& aLatency)
{
  CheckedNode latency = aRoot.ReadMapping("emulated_latency_us", false);
  latency.ReadNumber("between_zones", aLatency.betweenZonesUs, 0, kMaxEmulatedDelayUs);
  latency.ReadNumber("between_regions", aLatency.betweenRegionsUs, 0, kMaxEmulatedDelayUs);
  latency.ReadNumber("to_clients", aLatency.toClientsUs, 0, kMaxEmulatedDelayUs);
  latency.ReportUnknownKeys();
}

void ReadFleet(CheckedNode& aRoot, FleetSettings& aFleet, DaemonKind aKind)
{
  CheckedNode fleet = aRoot.ReadMapping("fleet", true);
  aFleet.enabled = true;
  fleet.ReadText("node_name", aFleet.nodeName, true);
  fleet.ReadAddresses("seeds", aFleet.seeds, true);
  for (CheckedNode& zone : fleet.ReadMappings("zones", false)) {
    std::string name;
    std::string region;
    zone.ReadText("name", name, true);
    zone.ReadText("region", region, true);
    zone.ReportUnknownKeys();
    aFleet.regionOfZone[name] = region;
  }
  fleet.ReadNumber("stop_limit_ms", aFleet.stopLimitMs, 1'000, 600'000);
  if (aKind == DaemonKind::Proxy) {
    fleet.ReadAddress("readiness", aFleet.readinessAddress, true);
    fleet.ReadNumber("backend_drain_ms", aFleet.backendDrainMs, 0, 600'000);
    fleet.ReadNumber("key_validity_ms", aFleet.keyValidityMs, 0, 600'000);
    fleet.ReadBoolean("paced_starts", aFleet.pacedStarts);
  } else {
    fleet.ReadAddress("control_plane", aFleet.controlPlaneAddress, true);
    fleet.ReadAddress("promotion", aFleet.promotionAddress, true);
    fleet.ReadNumber("registration_interval_ms", aFleet.registrationIntervalMs, 50, 600'000);
    fleet.ReadNumber("tolerated_losses", aFleet.toleratedLosses, 0, 10);
    fleet.ReadBoolean("may_found_group", aFleet.mayFoundGroup);
  }
  fleet.ReportUnknownKeys();
}

/// Derives the control addresses and initial members from the seeds: the link of each control
/// instance has the address of its seed and the link port of this instance.
void DeriveMembersFromSeeds(Settings& aSettings)
{
  const auto portOf = [](const std::string& aAddress) {
    return aAddress.substr(std::min(aAddress.rfind(':'), aAddress.size()));
  };
  const auto hostOf = [](const std::string& aAddress) {
    return aAddress.substr(0, aAddress.rfind(':'));
  };
  for (const std::string& seed : aSettings.fleet.seeds) {
    const std::string link = hostOf(seed) + portOf(aSettings.linkAddress);
    aSettings.controlAddresses.push_back(link);
    aSettings.initialMembers.push_back({ hostOf(seed), link });
  }
}

void ReadInitialMembers(CheckedNode& aRoot,
                        Settings& aSettings,
                        const YAML::Mark& aMark,
                        ProblemList& aProblems)
{
  std::set<std::string> instances;
  for (CheckedNode& element : aRoot.ReadMappings("initial_members", true)) {
    InitialMember member;
    element.ReadText("instance", member.instance, true);
    element.ReadAddress("link", member.linkAddress, true);
    element.ReportUnknownKeys();
    if (!instances.insert(member.instance).second) {
      aProblems.Add(aMark, "initial_members", "instance '" + member.instance + "' is listed twice");
    }
    aSettings.initialMembers.push_back(std::move(member));
  }
  const std::size_t count = aSettings.initialMembers.size();
  if (count % 2 == 0 || count > kMaxInitialMembers) {
    aProblems.Add(
      aMark, "initial_members", "has " + std::to_string(count) + " members, expected 1, 3 or 5");
  }
}

} // namespace

Result<Settings> ParseSettings(std::string_view aText, const std::string& aPath, DaemonKind aKind)
{
  YAML::Node document;
  // yaml-cpp reports syntax errors by exceptions; they are converted to a Result here.
  try {
    document = YAML::Load(std::string(aText));
  } catch (const YAML::ParserException& failure) {
    return Fail(ResultCode::SettingsInvalid,
                aPath + ":" + std::to_string(failure.mark.line + 1) + ": " + failure.msg);
  }
  if (!document.IsMap()) {
    return Fail(ResultCode::SettingsInvalid, aPath + ":1: expected a mapping of settings");
  }
  ProblemList problems{ aPath, {} };
  Settings settings;
  CheckedNode root(document, "", problems);
  root.ReadText("instance", settings.instance, true);
  root.ReadZone("zone", settings.zone);
  ReadListen(root, settings, aKind);
  const bool isFleet = document["fleet"].IsDefined();
  if (isFleet) {
    ReadFleet(root, settings.fleet, aKind);
    DeriveMembersFromSeeds(settings);
  } else {
    root.ReadAddresses("control_addresses", settings.controlAddresses, true);
  }
  ReadLatency(root, settings.emulatedLatency);
  if (aKind == DaemonKind::Control) {
    root.ReadText("data_folder", settings.dataFolder, true);
    if (!isFleet) {
      ReadInitialMembers(root, settings, document.Mark(), problems);
    }
    root.ReadNumber("election_timeout_ms", settings.electionTimeoutMs, 100, 10'000);
  }
  ReadLimits(root, settings, aKind);
  root.ReportUnknownKeys();
  if (problems.lines.empty()) {
    return settings;
  }
  std::string message;
  for (const std::string& line : problems.lines) {
    message += (message.empty() ? "" : "\n") + line;
  }
  return Fail(ResultCode::SettingsInvalid, message);
}

Result<Settings> LoadSettings(const std::string& aPath, DaemonKind aKind)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(ResultCode::SettingsInvalid, aPath + ": cannot be opened, expected a YAML file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aPath, aKind);
}

} // namespace oleanderledge
