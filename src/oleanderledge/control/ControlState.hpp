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

/// The replicated control state of section 3. Deterministic: it depends on the log alone.
class ControlState : public ReplicatedState
{
public:
  void Apply(std::uint64_t aIndex, std::string_view aCommand) override;
  std::string Serialize() const override;
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

  /// Log index of the last change that proxies see.
  std::uint64_t DirectoryVersion() const { return this->directoryVersion; }
  /// Rows that changed after `aFromVersion`. A receiver that is ahead of this state, which happens
  /// if the whole control group lost its data, gets an empty update.
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
