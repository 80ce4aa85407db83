#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderledge {

/// Rate at which an organisation may start operations, for all proxies together.
struct OperationRate
{
  bool isLimited = false; ///< False: no limit; the other members are 0.
  /// Operations per 1000 s, so that rates below one per second are whole numbers.
  std::uint64_t perKilosecond = 0;
  std::uint32_t burst = 0; ///< Operations that may start at once after a pause.

  bool operator==(const OperationRate&) const = default;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->isLimited, this->perKilosecond, this->burst);
  }
};

/// A customer that shares the fleet with others. Its callers identify themselves by one of its
/// keys. `deleted` rows are tombstones.
struct OrganisationRow
{
  std::string name;
  std::vector<std::string> keyDigests; ///< See DigestOfKey(); the keys themselves are not kept.
  std::uint32_t priority = 0;          ///< 0 is the highest.
  OperationRate rate;
  std::uint64_t version = 0;
  bool deleted = false;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(
      this->name, this->keyDigests, this->priority, this->rate, this->version, this->deleted);
  }
};

} // namespace oleanderledge
