#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace oleanderledge {

/// Numbered outcomes of requests and operations. docs/result-codes.md has a row for each.
enum class ResultCode : std::uint16_t
{
  Ok = 1000,
  // Refusals of work.
  Overloaded = 1101,
  TargetUnreachable = 1102,
  CallerGone = 1103,
  ShuttingDown = 1104,
  CallerShareExceeded = 1105,
  // Ownership, primaries and outcomes.
  NoOwner = 1201,
  NoPrimary = 1202,
  OutcomeUnknown = 1203,
  LeaseExpired = 1204,
  RequestAlreadyApplied = 1205,
  NotOwner = 1206,
  NoEligibleReplica = 1207,
  BackendConnectionLost = 1208,
  // Protocol between callers and the proxy.
  ProtocolViolation = 1301,
  MessageTooLarge = 1302,
  CopyNotSupported = 1303,
  FeatureNotSupported = 1304,
  UnknownDatabase = 1305,
  UnknownClass = 1306,
  InvalidSetting = 1307,
  StartupRejected = 1308,
  QueryCanceled = 1309,
  TransactionFailed = 1310,
  SlowReader = 1311,
  UnknownStatement = 1312,
  // Control state and operators.
  VersionConflict = 1401,
  NotLeader = 1402,
  NoQuorum = 1403,
  InvalidClass = 1404,
  ClassExists = 1405,
  ClassNotFound = 1406,
  RequestIdReused = 1407,
  InvalidRoutes = 1408,
  InvalidMembershipChange = 1450,
  MembershipChangePending = 1451,
  // Durable state.
  StorageCorrupt = 1501,
  StorageWriteFailed = 1502,
  StorageOpenFailed = 1503,
  StorageFull = 1504,
  // Settings and command line.
  SettingsInvalid = 1601,
  UsageError = 1602,
  // Links between processes.
  MalformedFrame = 1701,
  FrameTooLarge = 1702,
  IncompatibleProtocol = 1703,
  LinkClosed = 1704,
  ListenFailed = 1705,
};

/// Whether a statement was run by a backend server.
enum class RunState : std::uint8_t
{
  NotRun = 0, ///< No byte of the statement can have reached a backend server.
  Ran = 1,
  Unknown = 2,
};

/// Fixed properties of a result code.
struct ResultCodeInfo
{
  ResultCode code;
  std::string_view name;
  std::string_view sqlstate; ///< Five characters, as sent to callers.
  RunState runState;         ///< The state that the code implies unless the reply says otherwise.
  std::string_view text;     ///< Default human-readable message.
};

/// All result codes in ascending order.
std::span<const ResultCodeInfo> AllResultCodes();

/// Properties of one result code; those of Ok for a number without a row.
const ResultCodeInfo& InfoOf(ResultCode aCode);

/// "not run", "ran" or "unknown".
std::string_view ToString(RunState aState);

} // namespace oleanderledge
