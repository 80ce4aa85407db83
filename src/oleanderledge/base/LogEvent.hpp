#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace oleanderledge {

enum class LogLevel : std::uint8_t
{
  Info,
  Warning,
  Error,
};

/// Numbered log events. docs/log-events.md has a row for each. Each module has its own range.
enum class LogEvent : std::uint16_t
{
  // 1100: settings and command line.
  SettingsRejected = 1101,
  // 1200: links.
  LinkConnected = 1201,
  LinkClosed = 1202,
  LinkRejected = 1203,
  // 1300: consensus.
  LeadershipGained = 1301,
  LeadershipLost = 1302,
  MembersCommitted = 1303,
  GroupFounded = 1304,
  ConsensusStopped = 1306,
  SnapshotRestored = 1307,
  MembershipChangeStarted = 1308,
  // 1400: storage.
  TornRecordCut = 1401,
  StorageFailed = 1402,
  StorageOpened = 1403,
  // 1500: control.
  // 1600: owner.
  // 1700: entry.
  // 1800: daemons.
  DaemonStarted = 1801,
  DaemonStopping = 1802,
  DaemonStopped = 1803,
  ListenFailed = 1804,
};

/// Fixed properties of a log event.
struct LogEventInfo
{
  LogEvent event;
  std::string_view name;
  LogLevel level;
};

/// All log events in ascending order.
std::span<const LogEventInfo> AllLogEvents();

/// Writes one line "E<number> <name> <detail>" at the level of the event.
void WriteLog(LogEvent aEvent, std::string_view aDetail);

} // namespace oleanderledge
