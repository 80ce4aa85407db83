#include "SessionSettings.hpp"

#include <array>
#include <cctype>
#include <string_view>

namespace oleanderledge::stand_in {

namespace {

struct Definition
{
  std::string_view name;         ///< In the spelling of ParameterStatus.
  std::string_view defaultValue; ///< The default of PostgreSQL 15.
  bool isReported;
  bool isBoolean;
  bool isFixed;
};

constexpr std::array kDefinitions = {
  Definition{ "application_name", "", true, false, false },
  Definition{ "client_encoding", "UTF8", true, false, false },
  Definition{ "client_min_messages", "notice", false, false, false },
  Definition{ "DateStyle", "ISO, MDY", true, false, false },
  Definition{ "default_transaction_isolation", "read committed", false, false, false },
  Definition{ "default_transaction_read_only", "off", true, true, false },
  Definition{ "extra_float_digits", "1", false, false, false },
  Definition{ "idle_in_transaction_session_timeout", "0", false, false, false },
  Definition{ "in_hot_standby", "off", true, true, true },
  Definition{ "integer_datetimes", "on", true, true, true },
  Definition{ "IntervalStyle", "postgres", true, false, false },
  Definition{ "is_superuser", "off", true, true, true },
  Definition{ "lock_timeout", "0", false, false, false },
  Definition{ "search_path", "\"$user\", public", false, false, false },
  Definition{ "server_encoding", "UTF8", true, false, true },
  Definition{ "server_version", "15.0", true, false, true },
  Definition{ "session_authorization", "", true, false, true },
  Definition{ "standard_conforming_strings", "on", true, true, false },
  Definition{ "statement_timeout", "0", false, false, false },
  Definition{ "synchronous_commit", "on", false, false, false },
  Definition{ "TimeZone", "UTC", true, false, false },
  Definition{ "transaction_isolation", "read committed", false, false, false },
  Definition{ "work_mem", "4MB", false, false, false },
};

std::string Lower(std::string_view aText)
{
  std::string lower(aText);
  for (char& character : lower) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return lower;
}

const Definition* FindDefinition(const std::string& aLowerName)
{
  for (const Definition& definition : kDefinitions) {
    if (Lower(definition.name) == aLowerName) {
      return &definition;
    }
  }
  return nullptr;
}

std::optional<std::string> ParseBoolean(std::string_view aValue)
{
  const std::string lower = Lower(aValue);
  if (lower == "on" || lower == "true" || lower == "yes" || lower == "1" || lower == "t") {
    return "on";
  }
  if (lower == "off" || lower == "false" || lower == "no" || lower == "0" || lower == "f") {
    return "off";
  }
  return std::nullopt;
}

SqlError UnknownSetting(const std::string& aName)
{
  return { "42704", "unrecognized configuration parameter \"" + aName + "\"" };
}

} // namespace

SessionSettings::SessionSettings()
{
  for (const Definition& definition : kDefinitions) {
    this->initial.emplace(Lower(definition.name), definition.defaultValue);
  }
  this->values = this->initial;
}

std::optional<SqlError> SessionSettings::SetInitial(const std::string& aName,
                                                    const std::string& aValue)
{
  auto error = this->Set(aName, aValue);
  if (!error) {
    this->initial[Lower(aName)] = this->values[Lower(aName)];
  }
  return error;
}

void SessionSettings::SetFixed(const std::string& aName, const std::string& aValue)
{
  this->initial[Lower(aName)] = aValue;
  this->values[Lower(aName)] = aValue;
}

std::optional<SqlError> SessionSettings::Set(const std::string& aName, const std::string& aValue)
{
  const std::string name = Lower(aName);
  const Definition* definition = FindDefinition(name);
  if (definition == nullptr) {
    if (name.find('.') == std::string::npos) {
      return UnknownSetting(aName);
    }
    this->values[name] = aValue;
    return std::nullopt;
  }
  if (definition->isFixed) {
    return SqlError{ "55P02", "parameter \"" + aName + "\" cannot be changed" };
  }
  if (!definition->isBoolean) {
    this->values[name] = aValue;
    return std::nullopt;
  }
  const auto boolean = ParseBoolean(aValue);
  if (!boolean) {
    return SqlError{ "22023", "parameter \"" + aName + "\" requires a Boolean value" };
  }
  this->values[name] = *boolean;
  return std::nullopt;
}

std::optional<SqlError> SessionSettings::Reset(const std::string& aName)
{
  const std::string name = Lower(aName);
  const auto found = this->initial.find(name);
  if (found != this->initial.end()) {
    this->values[name] = found->second;
    return std::nullopt;
  }
  if (name.find('.') == std::string::npos) {
    return UnknownSetting(aName);
  }
  this->values.erase(name);
  return std::nullopt;
}

std::optional<std::string> SessionSettings::Find(const std::string& aName) const
{
  const auto found = this->values.find(Lower(aName));
  return found == this->values.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::pair<std::string, std::string>> SessionSettings::Reported() const
{
  std::vector<std::pair<std::string, std::string>> reported;
  for (const Definition& definition : kDefinitions) {
    if (definition.isReported) {
      reported.emplace_back(definition.name, this->values.at(Lower(definition.name)));
    }
  }
  return reported;
}

} // namespace oleanderledge::stand_in
