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

/// Numbered log events. docs/log-events.md has a row for each. Each module has its own range of
/// numbers.
enum class LogEvent : std::uint16_t
{
  // 1100: settings and command line.
  SettingsRejected = 1101,
  SettingsReloaded = 1102,
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
  LeaderMissing = 1309,
  LeaderUnconfirmed = 1310,
  LeaderFollowed = 1311,
  LearnerWaiting = 1312,
  VoterContactLost = 1313,
  VoterContactRestored = 1314,
  // 1400: storage.
  TornRecordCut = 1401,
  StorageFailed = 1402,
  StorageOpened = 1403,
  StorageFull = 1404,
  StorageRecovered = 1405,
  StorageSlow = 1406,
  // 1500: control.
  ControlLeading = 1501,
  ControlNotLeading = 1502,
  ControlCommandUnknown = 1503,
  HeartbeatIrregular = 1504,
  AnnouncementIrregular = 1505,
  AnnouncementOldTerm = 1506,
  OwnerAssigned = 1507,
  DatabaseFencing = 1508,
  PromotionDecided = 1509,
  DatabaseWaiting = 1510,
  FailoverCompleted = 1511,
  PlannedChangeStarted = 1512,
  PlannedChangeAbandoned = 1513,
  InSyncChanged = 1514,
  BackendCallFailed = 1515,
  OperatorChange = 1516,
  AnnouncementRejected = 1517,
  BackendRegistered = 1518,
  BackendRemoved = 1519,
  RoutesStored = 1520,
  RoutesRejected = 1521,
  ServicePrimaryDecided = 1522,
  ServicePromotionAnswered = 1523,
  ServiceWithoutCandidate = 1524,
  ServicePrimaryClosing = 1525,
  ServicePrimaryKept = 1526,
  ServiceDeparturesSettled = 1527,
  ServicePositionsMissing = 1528,
  RequestWithoutLeader = 1529,
  BackendReinstated = 1530,
  BackendSilence = 1531,
  // 1600: owner.
  OwnershipChanged = 1601,
  OwnershipReleased = 1602,
  OwnerLeaseExpired = 1603,
  BackendConnectionLost = 1604,
  BackendRefusedConnection = 1605,
  // 1700: entry.
  CallerRejected = 1701,
  CallerClosed = 1702,
  PeerLinkSilent = 1703,
  PeerLinkRejected = 1704,
  EntryStopping = 1705,
  StatementFailed = 1706,
  StatementRetried = 1707,
  BackendRowReceived = 1708,
  DrainingBackendUsed = 1709,
  OrganisationRefused = 1710,
  ClientClosed = 1711,
  BackendPaceEnded = 1712,
  // 1800: daemons.
  DaemonStarted = 1801,
  DaemonStopping = 1802,
  DaemonStopped = 1803,
  ListenFailed = 1804,
  ControlAddressTried = 1805,
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

/// Writes one line "E<number> <name> <detail>" at the level of the event. Safe to call from several
/// threads. A long detail is cut. Lines over the rate limit of LogLimiter are dropped; the next
/// line of that event ends with " left_out=" and the number of dropped lines.
void WriteLog(LogEvent aEvent, std::string_view aDetail);

} // namespace oleanderledge
