#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Routes and services of the newest configuration. A change with a lower or equal number changes
/// nothing.
class RouteTable
{
public:
  /// Returns true if the rows changed.
  bool Apply(std::uint64_t aIndex, const StoreRouteConfiguration& aCommand);

  /// The operator's version; 0 before the first configuration.
  std::uint64_t Number() const { return this->number; }
  /// The configuration as the operator sent it.
  const std::string& Document() const { return this->document; }
  std::uint32_t TransactionIdleMs() const { return this->transactionIdleMs; }
  /// Include tombstones, so that a receiver of changes learns of deletions.
  const std::map<std::string, RouteRow, std::less<>>& Routes() const { return this->routes; }
  const std::map<std::string, ServiceRow, std::less<>>& Services() const { return this->services; }

  std::string Serialize() const;
  Result<void> Restore(std::string_view aBytes);

private:
  std::uint64_t number = 0;
  std::uint32_t transactionIdleMs = 0;
  std::string document;
  std::map<std::string, RouteRow, std::less<>> routes;
  std::map<std::string, ServiceRow, std::less<>> services;
};

} // namespace oleanderledge
