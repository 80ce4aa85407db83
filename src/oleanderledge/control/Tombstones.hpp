#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderledge {

/// Removes the oldest tombstones of a table of rows with `version` and `deleted`, so that the state
/// does not grow with each name that was ever used. Keeps the `aLeastKept` newest ones, or as many
/// as there are other rows if that is more, because a proxy that lacks a removed one needs the
/// whole directory. Returns the highest version that was removed, or 0.
template<class Row>
std::uint64_t PurgeTombstones(std::map<std::string, Row, std::less<>>& aTable,
                              std::size_t aLeastKept)
{
  std::vector<std::uint64_t> versions;
  for (const auto& [name, row] : aTable) {
    if (row.deleted) {
      versions.push_back(row.version);
    }
  }
  const std::size_t kept = std::max(aLeastKept, aTable.size() - versions.size());
  if (versions.size() <= kept) {
    return 0;
  }
  std::ranges::sort(versions);
  const std::uint64_t purgedVersion = versions[versions.size() - kept - 1];
  std::erase_if(aTable, [purgedVersion](const auto& aEach) {
    return aEach.second.deleted && aEach.second.version <= purgedVersion;
  });
  return purgedVersion;
}

} // namespace oleanderledge
