#include "oleanderledge/control/RouteTable.hpp"

#include "oleanderledge/link/internal/StructCodec.hpp"

#include <set>

namespace oleanderledge {

namespace {

/// Encodes a row without its version, to compare it with another one.
template<class Row>
std::string ContentOf(Row aRow)
{
  aRow.version = 0;
  return EncodeStruct(aRow);
}

/// Replaces the rows of a table and marks missing ones as deleted. Only rows whose content changed
/// get the new version, so that only those are sent to proxies.
template<class Row>
void ReplaceRows(std::map<std::string, Row, std::less<>>& aTable,
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
  ReplaceRows(this->routes, configuration.routes, aIndex);
  ReplaceRows(this->services, configuration.services, aIndex);
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
  return EncodeStruct(RouteConfiguration{ this->number,
                                          ValuesOf(this->routes),
                                          ValuesOf(this->services),
                                          this->transactionIdleMs,
                                          this->document });
}

Result<void> RouteTable::Restore(std::string_view aBytes)
{
  if (aBytes.empty()) {
    *this = RouteTable{};
    return boost::outcome_v2::success();
  }
  auto decoded = DecodeStruct<RouteConfiguration>(aBytes);
  if (!decoded) {
    return Fail(decoded.error().code, decoded.error().message);
  }
  RouteConfiguration& content = decoded.value();
  RouteTable restored;
  restored.number = content.number;
  restored.transactionIdleMs = content.transactionIdleMs;
  restored.document = std::move(content.document);
  for (RouteRow& row : content.routes) {
    restored.routes[row.name] = std::move(row);
  }
  for (ServiceRow& row : content.services) {
    restored.services[row.name] = std::move(row);
  }
  *this = std::move(restored);
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
