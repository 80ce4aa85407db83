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
  ApplyRows(this->classes, aUpdate.classes);
  ApplyRows(this->databases, aUpdate.databases);
  this->version = aUpdate.version;
  return true;
}

DirectoryUpdate Directory::ChangesSince(std::uint64_t aFromVersion) const
{
  return { aFromVersion,
           this->version,
           RowsSince(this->classes, aFromVersion),
           RowsSince(this->databases, aFromVersion) };
}

const DatabaseRow* Directory::FindDatabase(std::string_view aName) const
{
  return FindRow(this->databases, aName);
}

const ClassRow* Directory::FindClass(std::string_view aName) const
{
  const ClassRow* row = FindRow(this->classes, aName);
  return row != nullptr && !row->deleted ? row : nullptr;
}

} // namespace oleanderledge
