#include "oleanderledge/control/ControlState.hpp"

#include "oleanderledge/link/internal/StructCodec.hpp"

#include <algorithm>

namespace oleanderledge {

namespace {

struct StateSnapshot
{
  std::uint64_t directoryVersion = 0;
  std::string classes;
  std::string databases;
  std::vector<InstanceInfo> instances;
  std::string routes;   ///< Empty in snapshots of earlier versions.
  std::string backends; ///< Empty in snapshots of earlier versions.

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->directoryVersion,
             this->classes,
             this->databases,
             this->instances,
             this->routes,
             this->backends);
  }
};

template<class Row>
bool IsDeleted(const Row& aRow)
{
  if constexpr (requires { aRow.deleted; }) {
    return aRow.deleted;
  } else {
    return false;
  }
}

/// Copies the rows that an update has: those that changed after `aUpdate.fromVersion`, or all that
/// are not deleted if it is complete.
template<class Row>
void CollectRows(const std::map<std::string, Row, std::less<>>& aTable,
                 const DirectoryUpdate& aUpdate,
                 std::vector<Row>& aRows)
{
  for (const auto& [name, row] : aTable) {
    if (aUpdate.isComplete ? !IsDeleted(row) : row.version > aUpdate.fromVersion) {
      aRows.push_back(row);
    }
  }
}

} // namespace

void ControlState::Apply(std::uint64_t aIndex, std::string_view aCommand)
{
  if (aCommand.empty()) {
    return;
  }
  auto decoded = DecodeCommand(aCommand);
  if (!decoded) {
    // Such a command comes from a newer program version. All members skip it, so their states stay
    // the same.
    WriteLog(LogEvent::ControlCommandUnknown,
             "index=" + std::to_string(aIndex) + " reason=" + decoded.error().message);
    return;
  }
  std::visit(
    [this, aIndex](const auto& aValue) {
      using Command = std::decay_t<decltype(aValue)>;
      if constexpr (std::is_same_v<Command, ChangeClass>) {
        this->classes.Apply(aIndex, aValue);
        if (this->classes.Version() == aIndex) {
          this->directoryVersion = aIndex;
        }
      } else if constexpr (std::is_same_v<Command, RegisterInstance> ||
                           std::is_same_v<Command, ForgetInstance>) {
        this->ApplyToInstances(aValue);
      } else if constexpr (std::is_same_v<Command, StoreRouteConfiguration>) {
        if (this->routes.Apply(aIndex, aValue)) {
          this->directoryVersion = aIndex;
        }
      } else if constexpr (requires { this->backends.Apply(aIndex, aValue); }) {
        if (this->backends.Apply(aIndex, aValue)) {
          this->directoryVersion = aIndex;
        }
      } else if (this->databases.Apply(aIndex, aValue)) {
        this->directoryVersion = aIndex;
      }
    },
    decoded.value());
}

void ControlState::ApplyToInstances(const RegisterInstance& aCommand)
{
  this->instances[aCommand.instance.id] = aCommand.instance;
}

void ControlState::ApplyToInstances(const ForgetInstance& aCommand)
{
  const auto found = this->instances.find(aCommand.id);
  if (found != this->instances.end() && found->second.incarnation == aCommand.incarnation) {
    this->instances.erase(found);
  }
}

DirectoryUpdate ControlState::ChangesSince(std::uint64_t aFromVersion) const
{
  DirectoryUpdate update;
  update.fromVersion = aFromVersion;
  update.version = this->directoryVersion;
  update.isComplete = aFromVersion < std::max({ this->classes.PurgedVersion(),
                                                this->routes.PurgedVersion(),
                                                this->backends.PurgedVersion() });
  CollectRows(this->classes.Rows(), update, update.classes);
  for (const auto& [name, record] : this->databases.Records()) {
    if (update.isComplete || record.row.version > aFromVersion) {
      update.databases.push_back(record.row);
    }
  }
  CollectRows(this->routes.Routes(), update, update.routes);
  CollectRows(this->routes.Services(), update, update.services);
  CollectRows(this->routes.Organisations(), update, update.organisations);
  CollectRows(this->backends.Backends(), update, update.backends);
  CollectRows(this->backends.Primaries(), update, update.primaries);
  update.configurationNumber = this->routes.Number();
  update.transactionIdleMs = this->routes.TransactionIdleMs();
  update.usesOrganisations = this->routes.UsesOrganisations();
  return update;
}

std::string ControlState::Serialize() const
{
  StateSnapshot snapshot;
  snapshot.directoryVersion = this->directoryVersion;
  snapshot.classes = this->classes.Serialize();
  snapshot.databases = this->databases.Serialize();
  snapshot.routes = this->routes.Serialize();
  snapshot.backends = this->backends.Serialize();
  for (const auto& [id, instance] : this->instances) {
    snapshot.instances.push_back(instance);
  }
  return EncodeStruct(snapshot);
}

Result<void> ControlState::Restore(std::uint64_t /*aIndex*/, std::string_view aSnapshot)
{
  auto decoded = DecodeStruct<StateSnapshot>(aSnapshot);
  if (!decoded) {
    return Fail(decoded.error().code, decoded.error().message);
  }
  const StateSnapshot& snapshot = decoded.value();
  ControlState restored;
  for (const auto& part : { restored.classes.Restore(snapshot.classes),
                            restored.databases.Restore(snapshot.databases),
                            restored.routes.Restore(snapshot.routes),
                            restored.backends.Restore(snapshot.backends) }) {
    if (!part) {
      return Fail(part.error().code, part.error().message);
    }
  }
  for (const InstanceInfo& instance : snapshot.instances) {
    restored.instances[instance.id] = instance;
  }
  restored.directoryVersion = snapshot.directoryVersion;
  *this = std::move(restored);
  return boost::outcome_v2::success();
}

} // namespace oleanderledge
