#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/Messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// The part of the control state that proxies use: classes and databases, as of one version.
///
/// Rows only move forward: an update with an older row or an older version changes nothing.
class Directory
{
public:
  /// Applies the rows of an update. Returns false, without a change, if the update starts after the
  /// version held (rows in between would be missing) or brings nothing newer.
  bool Apply(const DirectoryUpdate& aUpdate);

  /// Rows changed after `aFromVersion`.
  DirectoryUpdate ChangesSince(std::uint64_t aFromVersion) const;

  /// The row of a database, or null.
  const DatabaseRow* FindDatabase(std::string_view aName) const;

  /// The row of a class that is not deleted, or null.
  const ClassRow* FindClass(std::string_view aName) const;

  std::uint64_t Version() const { return this->version; }
  const std::map<std::string, DatabaseRow, std::less<>>& Databases() const
  {
    return this->databases;
  }
  /// Includes tombstones.
  const std::map<std::string, ClassRow, std::less<>>& Classes() const { return this->classes; }

private:
  std::uint64_t version = 0;
  std::map<std::string, DatabaseRow, std::less<>> databases;
  std::map<std::string, ClassRow, std::less<>> classes;
};

} // namespace oleanderledge
