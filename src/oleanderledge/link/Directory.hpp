#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// The part of the control state that proxies use, as of one version.
///
/// Versions only grow: a row that is older than the stored one is skipped, and an update that
/// brings no newer version changes nothing.
class Directory
{
public:
  /// Applies the rows of an update; a complete one replaces all rows. Returns false, without a
  /// change, if the update starts after the current version (the rows in between would be missing)
  /// or ends at or before it.
  bool Apply(const DirectoryUpdate& aUpdate);

  /// All rows that changed after `aFromVersion`, tombstones included.
  DirectoryUpdate ChangesSince(std::uint64_t aFromVersion) const;

  /// The row of a database, or null.
  const DatabaseRow* FindDatabase(std::string_view aName) const;

  /// The row of a class that is not deleted, or null.
  const ClassRow* FindClass(std::string_view aName) const;

  /// The route for a database name that callers give at start-up: of those that are not deleted,
  /// the first by name. Null if there is none.
  const RouteRow* FindRoute(std::string_view aDatabase) const;
  /// The row of a service that is not deleted, or null.
  const ServiceRow* FindService(std::string_view aName) const;
  /// The row of a backend server that is not deleted, or null.
  const BackendRow* FindBackend(std::string_view aName) const;
  /// The row that names the primary of a service, or null.
  const PrimaryRow* FindPrimary(std::string_view aService) const;
  /// True if callers need a key on routes that are not public.
  bool UsesOrganisations() const { return this->usesOrganisations; }
  /// The row of an organisation that is not deleted, or null.
  const OrganisationRow* FindOrganisation(std::string_view aName) const;
  /// The organisation that holds the key with this digest, or null. See DigestOfKey().
  const OrganisationRow* FindOrganisationOfKey(std::string_view aDigest) const;
  /// By name, tombstones included.
  const std::map<std::string, OrganisationRow, std::less<>>& Organisations() const
  {
    return this->organisations;
  }
  /// By name, tombstones included.
  const std::map<std::string, BackendRow, std::less<>>& Backends() const { return this->backends; }
  /// The version that the operator gave the routes; 0 before the first configuration.
  std::uint64_t ConfigurationNumber() const { return this->configurationNumber; }
  /// Milliseconds after which an idle transaction may be ended; 0: no limit.
  std::uint32_t TransactionIdleMs() const { return this->transactionIdleMs; }

  std::uint64_t Version() const { return this->version; }
  const std::map<std::string, DatabaseRow, std::less<>>& Databases() const
  {
    return this->databases;
  }
  /// By name, tombstones included.
  const std::map<std::string, ClassRow, std::less<>>& Classes() const { return this->classes; }

private:
  void DropRows();
  void IndexRoutes();
  void IndexKeys();

  std::uint64_t version = 0;
  std::map<std::string, DatabaseRow, std::less<>> databases;
  std::map<std::string, ClassRow, std::less<>> classes;
  std::map<std::string, RouteRow, std::less<>> routes;
  std::map<std::string, std::string, std::less<>> routeOfDatabase; ///< Route name by database name.
  std::map<std::string, ServiceRow, std::less<>> services;
  std::map<std::string, BackendRow, std::less<>> backends;
  std::map<std::string, PrimaryRow, std::less<>> primaries;
  std::uint64_t configurationNumber = 0;
  std::uint32_t transactionIdleMs = 0;
  std::map<std::string, OrganisationRow, std::less<>> organisations;
  std::map<std::string, std::string, std::less<>> organisationOfKey; ///< Name by key digest.
  bool usesOrganisations = false;
};

} // namespace oleanderledge
