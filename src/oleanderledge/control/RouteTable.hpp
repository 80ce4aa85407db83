#pragma once

#include "oleanderledge/control/ControlCommand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Routes, services and organisations of the newest configuration.
class RouteTable
{
public:
  /// Replaces the configuration. Returns false and changes nothing if its number is not higher than
  /// that of the current one.
  bool Apply(std::uint64_t aIndex, const StoreRouteConfiguration& aCommand);

  /// Version number that the operator gave the configuration; 0 before the first one.
  std::uint64_t Number() const { return this->number; }
  /// The configuration as the operator sent it.
  const std::string& Document() const { return this->document; }
  /// A transaction that is idle for longer, in milliseconds, may be ended; 0 means no limit.
  std::uint32_t TransactionIdleMs() const { return this->transactionIdleMs; }
  /// True if callers need a key on routes that are not public.
  bool UsesOrganisations() const { return this->usesOrganisations; }
  /// Rows by name. Include the newest deleted rows, so that deletions are published too.
  const std::map<std::string, RouteRow, std::less<>>& Routes() const { return this->routes; }
  const std::map<std::string, ServiceRow, std::less<>>& Services() const { return this->services; }

  const std::map<std::string, OrganisationRow, std::less<>>& Organisations() const
  {
    return this->organisations;
  }
  /// Highest version of a deleted row that is not kept any more.
  std::uint64_t PurgedVersion() const { return this->purgedVersion; }

  /// True if the configuration names the service, or if there is none yet.
  bool MayHaveService(std::string_view aService) const;

  std::string Serialize() const;
  /// Replaces the content by that of Serialize(); empty bytes stand for an empty table. Fails with
  /// MalformedFrame.
  Result<void> Restore(std::string_view aBytes);

private:
  std::uint64_t number = 0;
  std::uint32_t transactionIdleMs = 0;
  std::string document;
  std::map<std::string, RouteRow, std::less<>> routes;
  std::map<std::string, ServiceRow, std::less<>> services;
  std::map<std::string, OrganisationRow, std::less<>> organisations;
  bool usesOrganisations = false;
  std::uint64_t purgedVersion = 0;
};

} // namespace oleanderledge
