#include "CommandServer.hpp"
#include "DatabaseSlot.hpp"
#include "FleetSettings.hpp"
#include "SqlText.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_string(fleet,
              "",
              "YAML file with the slots of a fleet; replaces the flags of a single slot");
DEFINE_string(only,
              "",
              "with --fleet: comma-separated list of DATABASE or DATABASE/SLOT to run here");
DEFINE_string(service, "orders", "name of the service");
DEFINE_string(database, "orders-1", "name of the database");
DEFINE_string(slot, "a", "name of the slot");
DEFINE_string(zone, "region/zone", "availability zone, as region/zone");
DEFINE_string(listen, "127.0.0.1:0", "address for clients");
DEFINE_string(replication, "127.0.0.1:0", "address for replication");
DEFINE_string(http, "127.0.0.1:0", "address for test commands");
DEFINE_string(peers, "", "comma-separated replication addresses of the other slots");
DEFINE_string(announce, "", "comma-separated HTTP addresses that receive announcements");
DEFINE_bool(primary, false, "become primary of term 1 if the whole group is empty");
DEFINE_int32(connection_limit, 25, "maximum number of client connections");
DEFINE_double(service_ms, 0, "time before each SQL statement runs, in ms");
DEFINE_int32(connect_delay_ms, 12, "time before a connection is accepted, in ms");
DEFINE_int32(client_latency_us, 0, "emulated one-way latency to clients, in microseconds");
DEFINE_int32(receive_lag_ms, 0, "time until a replicated record counts as received, in ms");
DEFINE_int32(apply_lag_ms, 0, "further time until it is visible to reads, in ms");
DEFINE_int32(announce_interval_ms, 200, "time between announcements, in ms; 0 turns them off");
DEFINE_string(schema, "", "file with SQL that the first primary of an empty group runs");

namespace {

using namespace oleanderledge::stand_in;

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

SlotSettings SettingsFromFlags()
{
  SlotSettings settings;
  settings.service = FLAGS_service;
  settings.database = FLAGS_database;
  settings.slot = FLAGS_slot;
  settings.zone = FLAGS_zone;
  settings.clientAddress = FLAGS_listen;
  settings.replicationAddress = FLAGS_replication;
  settings.httpAddress = FLAGS_http;
  settings.peers = SplitList(FLAGS_peers);
  settings.announce = SplitList(FLAGS_announce);
  settings.initialPrimary = FLAGS_primary;
  settings.connectionLimit = FLAGS_connection_limit;
  settings.serviceMs = FLAGS_service_ms;
  settings.connectDelayMs = FLAGS_connect_delay_ms;
  settings.clientLatencyUs = FLAGS_client_latency_us;
  settings.receiveLagMs = FLAGS_receive_lag_ms;
  settings.applyLagMs = FLAGS_apply_lag_ms;
  settings.announceIntervalMs = FLAGS_announce_interval_ms;
  if (!FLAGS_schema.empty()) {
    settings.schema = ReadFile(FLAGS_schema);
  }
  return settings;
}

bool IsSelected(const SlotSettings& aSlot)
{
  const auto wanted = SplitList(FLAGS_only);
  return wanted.empty() || std::any_of(wanted.begin(), wanted.end(), [&](const std::string& aName) {
           return aName == aSlot.database || aName == aSlot.database + "/" + aSlot.slot;
         });
}

FleetSettings ReadSettings()
{
  if (FLAGS_fleet.empty()) {
    return { { SettingsFromFlags() }, {} };
  }
  FleetSettings fleet = ReadFleetFile(FLAGS_fleet);
  std::erase_if(fleet.slots, [](const SlotSettings& aSlot) { return !IsSelected(aSlot); });
  if (fleet.error.empty() && fleet.slots.empty()) {
    fleet.error = "--only=" + FLAGS_only + " selects no slot of " + FLAGS_fleet;
  }
  return fleet;
}

int stopSockets[2];

void RequestStop(int /*aSignal*/)
{
  const char byte = 1;
  [[maybe_unused]] const ssize_t written = write(stopSockets[0], &byte, 1);
}

/// Ends the event loop on SIGTERM and SIGINT.
std::unique_ptr<QSocketNotifier> QuitOnSignals()
{
  if (socketpair(AF_UNIX, SOCK_STREAM, 0, stopSockets) != 0) {
    return nullptr;
  }
  auto notifier = std::make_unique<QSocketNotifier>(stopSockets[1], QSocketNotifier::Read);
  QObject::connect(
    notifier.get(), &QSocketNotifier::activated, notifier.get(), [] { QCoreApplication::quit(); });
  std::signal(SIGTERM, RequestStop);
  // SIGINT stays ignored if the parent shell ignores it, as shells do for background processes.
  if (std::signal(SIGINT, RequestStop) == SIG_IGN) {
    std::signal(SIGINT, SIG_IGN);
  }
  return notifier;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("test server that emulates one or several database slots");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const QCoreApplication application(aArgumentCount, aArguments);
  const FleetSettings fleet = ReadSettings();
  if (!fleet.error.empty()) {
    std::fprintf(stderr, "backend_stand_in: %s\n", fleet.error.c_str());
    return 2;
  }
  std::vector<std::unique_ptr<DatabaseSlot>> slots;
  std::vector<std::unique_ptr<CommandServer>> commands;
  for (const SlotSettings& settings : fleet.slots) {
    slots.push_back(std::make_unique<DatabaseSlot>(settings, nullptr));
    commands.push_back(std::make_unique<CommandServer>(*slots.back(), nullptr));
    if (!slots.back()->Start() || !commands.back()->Listen()) {
      std::fprintf(stderr,
                   "backend_stand_in: %s/%s: a port cannot be opened\n",
                   settings.database.c_str(),
                   settings.slot.c_str());
      return 1;
    }
    std::printf("%s/%s client=%s replication=%s http=%s\n",
                settings.database.c_str(),
                settings.slot.c_str(),
                ToString(slots.back()->ClientAddress()).c_str(),
                ToString(slots.back()->ReplicationAddress()).c_str(),
                ToString(commands.back()->Address()).c_str());
  }
  std::fflush(stdout);
  const auto notifier = QuitOnSignals();
  return QCoreApplication::exec();
}
