#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Registered backend servers and the primary of each service.
///
/// Apply() checks every precondition itself, because a command may have been decided by a leader
/// that was replaced before it was committed.
class BackendTable
{
public:
  // Each returns true if a row changed.
  bool Apply(std::uint64_t aIndex, const UpdateBackend& aCommand);
  bool Apply(std::uint64_t aIndex, const RemoveBackend& aCommand);
  bool Apply(std::uint64_t aIndex, const AdoptServicePrimary& aCommand);
  bool Apply(std::uint64_t aIndex, const DecideServicePrimary& aCommand);
  bool Apply(std::uint64_t aIndex, const ConfirmServicePrimary& aCommand);

  /// Include tombstones.
  const std::map<std::string, BackendRow, std::less<>>& Backends() const { return this->backends; }
  const std::map<std::string, PrimaryRow, std::less<>>& Primaries() const
  {
    return this->primaries;
  }
  /// The row of a backend server that is not deleted, or null.
  const BackendRow* Find(std::string_view aBackend) const;
  /// The row that names the primary of a service, or null.
  const PrimaryRow* FindPrimary(std::string_view aService) const;

  std::string Serialize() const;
  Result<void> Restore(std::string_view aBytes);

private:
  std::map<std::string, BackendRow, std::less<>> backends;
  std::map<std::string, PrimaryRow, std::less<>> primaries;
};

/// True if a registration comes from a later start of the server, or from later in the same start.
bool IsNewerRegistration(const BackendRow& aNew, const BackendRow& aKnown);

/// True if two registrations say the same apart from their sequence.
bool IsSameRegistration(const BackendRow& aLeft, const BackendRow& aRight);

} // namespace oleanderledge
