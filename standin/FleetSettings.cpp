#include "FleetSettings.hpp"

#include <yaml-cpp/yaml.h>

namespace oleanderledge::stand_in {

namespace {

SlotSettings ReadDefaults(const YAML::Node& aRoot)
{
  SlotSettings settings;
  if (const YAML::Node announce = aRoot["announce"]) {
    settings.announce = announce.as<std::vector<std::string>>();
  }
  const YAML::Node defaults = aRoot["defaults"];
  if (!defaults) {
    return settings;
  }
  settings.connectionLimit = defaults["connection_limit"].as<int>(settings.connectionLimit);
  settings.serviceMs = defaults["service_ms"].as<double>(settings.serviceMs);
  settings.connectDelayMs = defaults["connect_delay_ms"].as<int>(settings.connectDelayMs);
  settings.clientLatencyUs = defaults["client_latency_us"].as<int>(settings.clientLatencyUs);
  settings.receiveLagMs = defaults["receive_lag_ms"].as<int>(settings.receiveLagMs);
  settings.applyLagMs = defaults["apply_lag_ms"].as<int>(settings.applyLagMs);
  settings.announceIntervalMs =
    defaults["announce_interval_ms"].as<int>(settings.announceIntervalMs);
  return settings;
}

std::vector<SlotSettings> ReadDatabase(const YAML::Node& aDatabase,
                                       const YAML::Node& aSchemas,
                                       SlotSettings aSettings)
{
  aSettings.database = aDatabase["database"].as<std::string>();
  aSettings.service = aDatabase["service"].as<std::string>();
  aSettings.connectionLimit = aDatabase["connection_limit"].as<int>(aSettings.connectionLimit);
  if (aSchemas && aSchemas[aSettings.service]) {
    aSettings.schema = aSchemas[aSettings.service].as<std::string>();
  }
  std::vector<SlotSettings> group;
  for (const YAML::Node& node : aDatabase["slots"]) {
    SlotSettings slot = aSettings;
    slot.slot = node["slot"].as<std::string>();
    slot.zone = node["zone"].as<std::string>();
    slot.clientAddress = node["listen"]["client"].as<std::string>();
    slot.replicationAddress = node["listen"]["replication"].as<std::string>();
    slot.httpAddress = node["listen"]["http"].as<std::string>();
    slot.initialPrimary = node["primary"].as<bool>(false);
    group.push_back(std::move(slot));
  }
  for (SlotSettings& slot : group) {
    for (const SlotSettings& other : group) {
      if (other.slot != slot.slot) {
        slot.peers.push_back(other.replicationAddress);
      }
    }
  }
  return group;
}

} // namespace

FleetSettings ReadFleetFile(const std::string& aPath)
{
  FleetSettings fleet;
  try {
    const YAML::Node root = YAML::LoadFile(aPath);
    const SlotSettings defaults = ReadDefaults(root);
    for (const YAML::Node& database : root["databases"]) {
      for (SlotSettings& slot : ReadDatabase(database, root["schemas"], defaults)) {
        fleet.slots.push_back(std::move(slot));
      }
    }
  } catch (const YAML::Exception& exception) {
    fleet.error = aPath + ": " + exception.what();
    return fleet;
  }
  if (fleet.slots.empty()) {
    fleet.error = aPath + ": no databases with slots";
  }
  return fleet;
}

} // namespace oleanderledge::stand_in
