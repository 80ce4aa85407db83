#pragma once

#include "StatementResult.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderledge::stand_in {

/// The run-time settings of one session, with the names and defaults of PostgreSQL 15. Names with
/// a dot are accepted without a definition, as PostgreSQL does.
class SessionSettings
{
public:
  SessionSettings();

  /// Sets a value and makes it the one that RESET returns to, as start-up options do.
  std::optional<SqlError> SetInitial(const std::string& aName, const std::string& aValue);

  /// Sets a value that clients cannot change, for example in_hot_standby.
  void SetFixed(const std::string& aName, const std::string& aValue);

  /// Fails with 42704 for an unknown name, 55P02 for a setting that clients cannot change and 22023
  /// for an invalid Boolean value.
  std::optional<SqlError> Set(const std::string& aName, const std::string& aValue);
  /// Returns to the initial value. Fails with 42704 for an unknown name.
  std::optional<SqlError> Reset(const std::string& aName);
  void ResetAll() { this->values = this->initial; }

  /// The value, or nothing if there is no such setting.
  std::optional<std::string> Find(const std::string& aName) const;

  bool IsOn(const std::string& aName) const { return this->Find(aName) == "on"; }

  /// The settings that a server reports as ParameterStatus, in protocol spelling.
  std::vector<std::pair<std::string, std::string>> Reported() const;

  bool operator==(const SessionSettings&) const = default;

private:
  std::map<std::string, std::string> initial;
  std::map<std::string, std::string> values;
};

} // namespace oleanderledge::stand_in
