#include "oleanderledge/link/Directory.hpp"

namespace oleanderledge {

namespace {

template<class Row>
void ApplyRows(std::map<std::string, Row, std::less<>>& aTable, const std::vector<Row>& aRows)
{
  for (const Row& row : aRows) {
    auto [position, inserted] = aTable.try_emplace(row.name, row);
    if (!inserted && position->second.version < row.version) {
      position->second = row;
    }
  }
}

template<class Row>
const Row* FindRow(const std::map<std::string, Row, std::less<>>& aTable, std::string_view aName)
{
  const auto found = aTable.find(aName);
  return found == aTable.end() ? nullptr : &found->second;
}

/// The row, or null if it does not exist or is a tombstone.
template<class Row>
const Row* FindNotDeleted(const std::map<std::string, Row, std::less<>>& aTable,
                          std::string_view aName)
{
  const Row* row = FindRow(aTable, aName);
  return row != nullptr && !row->deleted ? row : nullptr;
}

template<class Row>
std::vector<Row> RowsSince(const std::map<std::string, Row, std::less<>>& aTable,
                           std::uint64_t aFromVersion)
{
  std::vector<Row> rows;
  for (const auto& [name, row] : aTable) {
    if (row.version > aFromVersion) {
      rows.push_back(row);
    }
  }
  return rows;
}

} // namespace

bool Directory::Apply(const DirectoryUpdate& aUpdate)
{
  if (aUpdate.fromVersion > this->version || aUpdate.version <= this->version) {
    return false;
  }
  if (aUpdate.isComplete) {
    this->DropRows();
  }
  ApplyRows(this->classes, aUpdate.classes);
  ApplyRows(this->databases, aUpdate.databases);
  ApplyRows(this->routes, aUpdate.routes);
  ApplyRows(this->services, aUpdate.services);
  ApplyRows(this->backends, aUpdate.backends);
  ApplyRows(this->primaries, aUpdate.primaries);
  ApplyRows(this->organisations, aUpdate.organisations);
  if (aUpdate.configurationNumber > this->configurationNumber) {
    this->configurationNumber = aUpdate.configurationNumber;
    this->transactionIdleMs = aUpdate.transactionIdleMs;
    this->usesOrganisations = aUpdate.usesOrganisations;
  }
  if (!aUpdate.routes.empty() || aUpdate.isComplete) {
    this->IndexRoutes();
  }
  if (!aUpdate.organisations.empty() || aUpdate.isComplete) {
    this->IndexKeys();
  }
  this->version = aUpdate.version;
  return true;
}

void Directory::DropRows()
{
  this->classes.clear();
  this->databases.clear();
  this->routes.clear();
  this->services.clear();
  this->backends.clear();
  this->primaries.clear();
  this->organisations.clear();
}

void Directory::IndexRoutes()
{
  this->routeOfDatabase.clear();
  for (const auto& [name, row] : this->routes) {
    if (!row.deleted) {
      this->routeOfDatabase.try_emplace(row.database, name);
    }
  }
}

void Directory::IndexKeys()
{
  this->organisationOfKey.clear();
  for (const auto& [name, row] : this->organisations) {
    if (row.deleted) {
      continue;
    }
    for (const std::string& digest : row.keyDigests) {
      this->organisationOfKey.try_emplace(digest, name);
    }
  }
}

DirectoryUpdate Directory::ChangesSince(std::uint64_t aFromVersion) const
{
  return { aFromVersion,
           this->version,
           RowsSince(this->classes, aFromVersion),
           RowsSince(this->databases, aFromVersion),
           RowsSince(this->routes, aFromVersion),
           RowsSince(this->services, aFromVersion),
           RowsSince(this->backends, aFromVersion),
           RowsSince(this->primaries, aFromVersion),
           this->configurationNumber,
           this->transactionIdleMs,
           RowsSince(this->organisations, aFromVersion),
           this->usesOrganisations };
}

const DatabaseRow* Directory::FindDatabase(std::string_view aName) const
{
  return FindRow(this->databases, aName);
}

const ClassRow* Directory::FindClass(std::string_view aName) const
{
  return FindNotDeleted(this->classes, aName);
}

const RouteRow* Directory::FindRoute(std::string_view aDatabase) const
{
  const auto found = this->routeOfDatabase.find(aDatabase);
  return found == this->routeOfDatabase.end() ? nullptr
                                              : FindNotDeleted(this->routes, found->second);
}

const ServiceRow* Directory::FindService(std::string_view aName) const
{
  return FindNotDeleted(this->services, aName);
}

const OrganisationRow* Directory::FindOrganisation(std::string_view aName) const
{
  return FindNotDeleted(this->organisations, aName);
}

const OrganisationRow* Directory::FindOrganisationOfKey(std::string_view aDigest) const
{
  const auto found = this->organisationOfKey.find(aDigest);
  return found == this->organisationOfKey.end()
           ? nullptr
           : FindNotDeleted(this->organisations, found->second);
}

const BackendRow* Directory::FindBackend(std::string_view aName) const
{
  return FindNotDeleted(this->backends, aName);
}

const PrimaryRow* Directory::FindPrimary(std::string_view aService) const
{
  return FindRow(this->primaries, aService);
}

} // namespace oleanderledge
