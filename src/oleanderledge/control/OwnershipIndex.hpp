#pragma once

#include "oleanderledge/control/DatabaseTable.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Index of the committed databases by owner. A heartbeat is processed for the databases of its
/// sender only, instead of a search through all.
class OwnershipIndex
{
public:
  /// Rebuilds the index if the directory version has changed.
  void Refresh(const DatabaseTable& aDatabases, std::uint64_t aVersion);

  /// Databases that an instance owns, in any incarnation.
  const std::set<std::string>& DatabasesOf(std::string_view aInstance) const;

private:
  bool isBuilt = false;
  std::uint64_t version = 0;
  std::map<std::string, std::set<std::string>, std::less<>> databasesByOwner;
};

} // namespace oleanderledge
