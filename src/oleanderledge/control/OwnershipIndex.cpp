#include "oleanderledge/control/OwnershipIndex.hpp"

namespace oleanderledge {

void OwnershipIndex::Refresh(const DatabaseTable& aDatabases, std::uint64_t aVersion)
{
  if (this->isBuilt && this->version == aVersion) {
    return;
  }
  this->isBuilt = true;
  this->version = aVersion;
  this->databasesByOwner.clear();
  for (const auto& [name, record] : aDatabases.Records()) {
    if (!record.row.owner.empty()) {
      this->databasesByOwner[record.row.owner].insert(name);
    }
  }
}

const std::set<std::string>& OwnershipIndex::DatabasesOf(std::string_view aInstance) const
{
  static const std::set<std::string> kNone;
  const auto found = this->databasesByOwner.find(aInstance);
  return found == this->databasesByOwner.end() ? kNone : found->second;
}

} // namespace oleanderledge
