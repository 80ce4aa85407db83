#pragma once

#include "oleanderledge/consensus/ReplicatedLog.hpp"
#include "oleanderledge/control/BackendTable.hpp"
#include "oleanderledge/control/ClassTable.hpp"
#include "oleanderledge/control/DatabaseTable.hpp"
#include "oleanderledge/control/RouteTable.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace oleanderledge {

/// Replicated control state: classes, databases, routes, backend servers and instances.
/// Deterministic: depends on the replicated log only.
class ControlState : public ReplicatedState
{
public:
  /// Commands that cannot be decoded are logged and skipped.
  void Apply(std::uint64_t aIndex, std::string_view aCommand) override;
  std::string Serialize() const override;
  /// Fails with MalformedFrame and leaves the state unchanged.
  Result<void> Restore(std::uint64_t aIndex, std::string_view aSnapshot) override;

  const ClassTable& Classes() const { return this->classes; }
  const DatabaseTable& Databases() const { return this->databases; }
  const RouteTable& Routes() const { return this->routes; }
  const BackendTable& Backends() const { return this->backends; }
  /// Processes by instance id.
  const std::map<std::string, InstanceInfo, std::less<>>& Instances() const
  {
    return this->instances;
  }

  /// Log index of the last change that is published to proxies.
  std::uint64_t DirectoryVersion() const { return this->directoryVersion; }
  /// Rows that changed after `aFromVersion`. The update has no rows if `aFromVersion` is higher
  /// than the version of this state, which happens after the whole control group has lost its data.
  DirectoryUpdate ChangesSince(std::uint64_t aFromVersion) const;

private:
  void ApplyToInstances(const RegisterInstance& aCommand);
  void ApplyToInstances(const ForgetInstance& aCommand);

  ClassTable classes;
  DatabaseTable databases;
  RouteTable routes;
  BackendTable backends;
  std::map<std::string, InstanceInfo, std::less<>> instances;
  std::uint64_t directoryVersion = 0;
};

} // namespace oleanderledge
