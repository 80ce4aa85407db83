#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/entry/EntrySettings.hpp"
#include "oleanderledge/entry/OwnerLinks.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <map>
#include <memory>

class QObject;

namespace oleanderledge {

/// Counters of the entry role since its start. A unit is the messages of a caller up to and
/// including one Query or Sync.
struct EntryCounters
{
  std::uint64_t sessionsAccepted = 0;
  std::uint64_t sessionsRejected = 0;     ///< Over a limit or for an unknown database.
  std::uint64_t unitsForwarded = 0;       ///< Units of callers, without resends.
  std::uint64_t unitsAnsweredByOwner = 0; ///< Answered by an owner with code Ok.
  std::uint64_t unitsAnsweredLocally = 0; ///< Answered by the entry without an owner.
  std::uint64_t resends = 0;              ///< Retries of units that may have run before.
  std::uint64_t replicaReads = 0;         ///< Read-only units that a replica answered.
  std::uint64_t primaryReads = 0;         ///< Read-only units that the primary answered.
  std::uint64_t repliesIgnored = 0;       ///< Late, duplicate or unknown replies.
  std::uint64_t cancels = 0;              ///< Cancel requests for a unit in progress.
  std::uint64_t errorsNotRun = 0;         ///< Errors sent to callers with "not run".
  std::uint64_t errorsOutcomeUnknown = 0; ///< Errors sent to callers with "unknown".
  std::map<ResultCode, std::uint64_t> errors;
};

/// The entry role of a proxy: accepts callers and forwards their units to owners. All methods are
/// called in the thread that created it.
class EntryService
{
public:
  virtual ~EntryService() = default;

  /// Replaces the directory by a newer version.
  virtual void ApplyDirectory(std::shared_ptr<const Directory> aDirectory) = 0;

  /// Starts a graceful stop: accepts no more callers, closes idle sessions with SQLSTATE 57P01 at
  /// once and others when they become idle. Sessions still open after EntryLimits::stopLimit are
  /// closed.
  virtual void BeginStop() = 0;

  /// True while no connection of a caller is open.
  virtual bool IsIdle() const = 0;

  virtual std::size_t SessionCount() const = 0;
  /// Units that wait for an owner, a link or a retry.
  virtual std::size_t WaitingUnits() const = 0;
  virtual const EntryCounters& Counters() const = 0;

  /// Port on which callers are accepted; chosen by the system if the settings have port 0.
  virtual std::uint16_t CallersPort() const = 0;
};

/// Creates the entry role in the calling thread as a child of `aParent` and opens the callers'
/// port. Fails with ListenFailed. `aLinks` may be destroyed before the service; no unit is
/// forwarded after that.
Result<EntryService*> CreateEntryService(QObject* aParent,
                                         const EntrySettings& aSettings,
                                         OwnerLinks& aLinks);

} // namespace oleanderledge
