#include "oleanderledge/control/RouteTable.hpp"

#include "oleanderledge/control/Tombstones.hpp"
#include "oleanderledge/link/internal/StructCodec.hpp"

#include <algorithm>
#include <set>

namespace oleanderledge {

namespace {

/// Tombstones that are kept of each kind of row. A proxy that was out of contact during more
/// deletions than that gets the whole directory.
constexpr std::size_t kKeptTombstones = 8;

/// Encoded form of a table. New fields go at the end.
struct RouteTableSnapshot
{
  std::uint64_t number = 0;
  std::vector<RouteRow> routes;
  std::vector<ServiceRow> services;
  std::uint32_t transactionIdleMs = 0;
  std::string document;
  bool usesOrganisations = false;
  std::vector<OrganisationRow> organisations;
  std::uint64_t purgedVersion = 0;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->number,
             this->routes,
             this->services,
             this->transactionIdleMs,
             this->document,
             this->usesOrganisations,
             this->organisations,
             this->purgedVersion);
  }
};

/// Encodes a row without its version, to compare it with another one.
template<class Row>
std::string ContentOf(Row aRow)
{
  aRow.version = 0;
  return EncodeStruct(aRow);
}

/// Replaces the rows of a table and marks missing ones as deleted. Only rows whose content changed
/// get the new version, so that only those are sent to proxies. Returns the highest version of a
/// deleted row that was removed, or 0.
template<class Row>
std::uint64_t ReplaceRows(std::map<std::string, Row, std::less<>>& aTable,
                          const std::vector<Row>& aRows,
                          std::uint64_t aIndex)
{
  std::set<std::string_view> present;
  for (const Row& row : aRows) {
    present.insert(row.name);
    auto [position, inserted] = aTable.try_emplace(row.name, row);
    if (!inserted && ContentOf(position->second) == ContentOf(row)) {
      continue;
    }
    position->second = row;
    position->second.version = aIndex;
  }
  for (auto& [name, row] : aTable) {
    if (row.deleted || present.contains(name)) {
      continue;
    }
    row.deleted = true;
    row.version = aIndex;
  }
  return PurgeTombstones(aTable, kKeptTombstones);
}

template<class Row>
std::map<std::string, Row, std::less<>> ByName(std::vector<Row> aRows)
{
  std::map<std::string, Row, std::less<>> table;
  for (Row& row : aRows) {
    table[row.name] = std::move(row);
  }
  return table;
}

template<class Row>
std::vector<Row> ValuesOf(const std::map<std::string, Row, std::less<>>& aTable)
{
  std::vector<Row> rows;
  rows.reserve(aTable.size());
  for (const auto& [name, row] : aTable) {
    rows.push_back(row);
  }
  return rows;
}

} // namespace

bool RouteTable::Apply(std::uint64_t aIndex, const StoreRouteConfiguration& aCommand)
{
  const RouteConfiguration& configuration = aCommand.configuration;
  if (configuration.number <= this->number) {
    return false;
  }
  this->purgedVersion =
    std::max({ this->purgedVersion,
               ReplaceRows(this->routes, configuration.routes, aIndex),
               ReplaceRows(this->services, configuration.services, aIndex),
               ReplaceRows(this->organisations, configuration.organisations, aIndex) });
  this->usesOrganisations = configuration.usesOrganisations;
  this->number = configuration.number;
  this->transactionIdleMs = configuration.transactionIdleMs;
  this->document = configuration.document;
  return true;
}

bool RouteTable::MayHaveService(std::string_view aService) const
{
  const auto found = this->services.find(aService);
  return this->number == 0 || (found != this->services.end() && !found->second.deleted);
}

std::string RouteTable::Serialize() const
{
  return EncodeStruct(RouteTableSnapshot{ this->number,
                                          ValuesOf(this->routes),
                                          ValuesOf(this->services),
                                          this->transactionIdleMs,
                                          this->document,
                                          this->usesOrganisations,
                                          ValuesOf(this->organisations),
                                          this->purgedVersion });
}

Result<void> RouteTable::Restore(std::string_view aBytes)
{
  if (aBytes.empty()) {
    *this = RouteTable{};
    return boost::outcome_v2::success();
  }
  auto decoded = DecodeStruct<RouteTableSnapshot>(aBytes);
  if (!decoded) {
    return Fail(decoded.error().code, decoded.error().message);
  }
  RouteTableSnapshot& content = decoded.value();
  this->number = content.number;
  this->transactionIdleMs = content.transactionIdleMs;
  this->document = std::move(content.document);
  this->routes = ByName(std::move(content.routes));
  this->services = ByName(std::move(content.services));
  this->organisations = ByName(std::move(content.organisations));
  this->usesOrganisations = content.usesOrganisations;
  this->purgedVersion = content.purgedVersion;
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
