#pragma once

#include "oleanderledge/control/DatabaseTable.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Databases by owner, as committed. Rebuilt when the directory version has changed, so that a
/// heartbeat costs the databases of its sender instead of all.
class OwnershipIndex
{
public:
  void Refresh(const DatabaseTable& aDatabases, std::uint64_t aVersion);

  /// Databases that an instance owns, in any incarnation.
  const std::set<std::string>& DatabasesOf(std::string_view aInstance) const;

private:
  bool isBuilt = false;
  std::uint64_t version = 0;
  std::map<std::string, std::set<std::string>, std::less<>> databasesByOwner;
};

} // namespace oleanderledge
