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

void ReadLimits(CheckedNode& aRoot, ProxyLimits& aLimits)
{
  CheckedNode limits = aRoot.ReadMapping("limits", false);
  limits.ReadNumber("max_callers", aLimits.maxCallers, 1, 1'000'000);
  limits.ReadNumber("message_bytes", aLimits.maxMessageBytes, 1024, 64U << 20U);
  limits.ReadNumber("queued_units_per_class", aLimits.queuedUnitsPerClass, 1, 1'000'000);
  limits.ReadNumber("memory_mb", aLimits.memoryMb, 1, 1'000'000);
  limits.ReadNumber("file_descriptors", aLimits.fileDescriptors, 64, 10'000'000);
  limits.ReadNumber("connections_per_address", aLimits.connectionsPerAddress, 1, 1'000'000);
  limits.ReadNumber("statements", aLimits.statements, 1, 1'000'000);
  limits.ReadNumber("total_bytes", aLimits.totalBytes, 4U << 20U, 4U << 29U);
  limits.ReadNumber("spared_bytes", aLimits.sparedBytes, 0, 1U << 20U);
  limits.ReadNumber("read_ahead_bytes", aLimits.readAheadBytes, 1024, 64U << 20U);
  limits.ReadNumber("unread_response_bytes", aLimits.unreadResponseBytes, 1024, 64U << 20U);
  limits.ReadNumber("session_bytes", aLimits.sessionBytes, 1024, 64U << 20U);
  limits.ReadNumber("prepared_bytes", aLimits.preparedBytes, 1024, 64U << 20U);
  limits.ReadNumber("start_up_ms", aLimits.startUpMs, 100, 3'600'000);
  limits.ReadNumber("message_ms", aLimits.messageMs, 100, 3'600'000);
  limits.ReadNumber("response_ms", aLimits.responseMs, 100, 3'600'000);
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
  } else {
    ReadLimits(root, settings.limits);
  }
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
