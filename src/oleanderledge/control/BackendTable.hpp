#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Registered backend servers and the primary of each service.
///
/// Apply() checks every precondition of a command, because the leader that proposed it may have
/// been replaced before it was committed.
class BackendTable
{
public:
  // Apply a command at log index `aIndex`. Each returns true if a row changed.
  bool Apply(std::uint64_t aIndex, const UpdateBackend& aCommand);
  bool Apply(std::uint64_t aIndex, const ReinstateBackend& aCommand);
  bool Apply(std::uint64_t aIndex, const RemoveBackend& aCommand);
  bool Apply(std::uint64_t aIndex, const SetBackendSilence& aCommand);
  bool Apply(std::uint64_t aIndex, const AdoptServicePrimary& aCommand);
  bool Apply(std::uint64_t aIndex, const DecideServicePrimary& aCommand);
  bool Apply(std::uint64_t aIndex, const ConfirmServicePrimary& aCommand);
  bool Apply(std::uint64_t aIndex, const CloseServicePrimary& aCommand);
  /// Always returns false: proxies need not hear of it.
  bool Apply(std::uint64_t aIndex, const SettleDepartures& aCommand);

  /// Rows by name; includes those of deleted backend servers.
  const std::map<std::string, BackendRow, std::less<>>& Backends() const { return this->backends; }
  /// Rows by service.
  const std::map<std::string, PrimaryRow, std::less<>>& Primaries() const
  {
    return this->primaries;
  }
  /// The row of a backend server that is not deleted, or null.
  const BackendRow* Find(std::string_view aBackend) const;
  /// The row that names the primary of a service, or null.
  const PrimaryRow* FindPrimary(std::string_view aService) const;

  /// Highest version of a deleted row that is not kept any more.
  std::uint64_t PurgedVersion() const { return this->purgedVersion; }

  std::string Serialize() const;
  /// Replaces all rows by those of Serialize(); empty bytes stand for an empty table. Fails with
  /// MalformedFrame.
  Result<void> Restore(std::string_view aBytes);

private:
  enum class EndedServers : std::uint8_t
  {
    EarlierStarts,
    All,
  };
  /// Replaces a row by a registration and marks the servers at the same address as deleted that
  /// have ended.
  void Record(std::uint64_t aIndex, const BackendRow& aRegistration, EndedServers aEnded);
  void PurgeDeleted();

  std::map<std::string, BackendRow, std::less<>> backends;
  std::map<std::string, PrimaryRow, std::less<>> primaries;
  std::uint64_t purgedVersion = 0;
};

/// True if a registration comes from a later start of the server, or has a higher sequence number
/// in the same start.
bool IsNewerRegistration(const BackendRow& aNew, const BackendRow& aKnown);

/// True if the registration must not replace the row of the same server: it is not newer, or the
/// server has ended in this start.
bool IsOutdatedRegistration(const BackendRow& aNew, const BackendRow& aKnown);

/// True if two registrations of one server differ at most in sequence number and row version. A row
/// that is recorded as silent differs from each registration.
bool IsSameRegistration(const BackendRow& aLeft, const BackendRow& aRight);

} // namespace oleanderledge
