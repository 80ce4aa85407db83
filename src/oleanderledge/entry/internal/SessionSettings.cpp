#include "oleanderledge/entry/internal/SessionSettings.hpp"

#include "oleanderledge/wire/wire.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace oleanderledge {

namespace {

constexpr std::string_view kProxySettingPrefix = "oleanderledge.";
constexpr std::string_view kReadOnlySetting = "default_transaction_read_only";
constexpr std::string_view kClassSetting = "oleanderledge.class";
constexpr std::string_view kSessionSetting = "oleanderledge.session";
constexpr std::string_view kRequestIdSetting = "oleanderledge.request_id";
constexpr std::string_view kAcceptedAgeSetting = "oleanderledge.accepted_age";
constexpr std::string_view kIdempotentSetting = "oleanderledge.idempotent";

constexpr std::size_t kMaxClassNameBytes = 64;
constexpr std::size_t kMaxSessionNameBytes = 128;
constexpr std::size_t kMaxRequestIdBytes = 200;

constexpr std::array<std::string_view, 6> kReportedSettings = { "application_name",
                                                                "client_encoding",
                                                                "DateStyle",
                                                                "IntervalStyle",
                                                                "standard_conforming_strings",
                                                                "TimeZone" };

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  const auto lower = [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter - 'A' + 'a')
                                                  : aCharacter;
  };
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [&](char aOne, char aOther) {
      return lower(aOne) == lower(aOther);
    });
}

bool IsPlainText(std::string_view aValue, std::size_t aMaxBytes)
{
  return aValue.size() <= aMaxBytes &&
         std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
           return static_cast<unsigned char>(aCharacter) >= 0x20 && aCharacter != 0x7F;
         });
}

auto InvalidValue(std::string_view aName, std::string_view aValue, std::string_view aExpected)
{
  return Fail(ResultCode::InvalidSetting,
              "invalid value for " + std::string(aName) + ": '" + std::string(aValue) +
                "', expected " + std::string(aExpected));
}

auto UnrecognizedSetting(std::string_view aName)
{
  return Fail(ResultCode::InvalidSetting, "unrecognized setting " + std::string(aName));
}

std::optional<std::int64_t> ParseAge(std::string_view aValue)
{
  if (EqualsIgnoringCase(aValue, "none")) {
    return -1;
  }
  if (aValue.ends_with("ms")) {
    aValue.remove_suffix(2);
  }
  std::int64_t age = 0;
  const auto parsed = std::from_chars(aValue.data(), aValue.data() + aValue.size(), age);
  if (parsed.ec != std::errc{} || parsed.ptr != aValue.data() + aValue.size() || age < 0) {
    return std::nullopt;
  }
  return age;
}

std::string_view OnOff(bool aValue)
{
  return aValue ? "on" : "off";
}

} // namespace

bool SessionSettings::IsProxySetting(std::string_view aName)
{
  return aName.starts_with(kProxySettingPrefix) || aName == kReadOnlySetting;
}

std::string_view SessionSettings::ReportedName(std::string_view aName)
{
  const auto* found =
    std::find_if(kReportedSettings.begin(),
                 kReportedSettings.end(),
                 [&](std::string_view aReported) { return EqualsIgnoringCase(aReported, aName); });
  return found == kReportedSettings.end() ? std::string_view{} : *found;
}

Result<void> SessionSettings::SetProxySetting(std::string_view aName, std::string_view aValue)
{
  if (aName == kClassSetting) {
    if (!IsPlainText(aValue, kMaxClassNameBytes)) {
      return InvalidValue(aName, aValue, "a class name of at most 64 bytes");
    }
    this->current.workClass = aValue;
  } else if (aName == kSessionSetting) {
    if (!IsPlainText(aValue, kMaxSessionNameBytes)) {
      return InvalidValue(aName, aValue, "a session name of at most 128 bytes");
    }
    this->current.session = aValue;
  } else if (aName == kRequestIdSetting) {
    if (!IsPlainText(aValue, kMaxRequestIdBytes)) {
      return InvalidValue(aName, aValue, "a request id of at most 200 bytes");
    }
    this->current.requestId = aValue;
  } else if (aName == kAcceptedAgeSetting) {
    const auto age = ParseAge(aValue);
    if (!age) {
      return InvalidValue(aName, aValue, "milliseconds from 0, or none");
    }
    this->current.acceptedAgeMs = *age;
  } else if (aName == kIdempotentSetting || aName == kReadOnlySetting) {
    const auto isOn = ParseBoolean(aValue);
    if (!isOn) {
      return InvalidValue(aName, aValue, "on or off");
    }
    (aName == kIdempotentSetting ? this->current.idempotent : this->current.readOnly) = *isOn;
  } else {
    return UnrecognizedSetting(aName);
  }
  return boost::outcome_v2::success();
}

Result<void> SessionSettings::ResetProxySetting(std::string_view aName)
{
  if (aName == kClassSetting) {
    this->current.workClass = this->startup.workClass;
  } else if (aName == kSessionSetting) {
    this->current.session = this->startup.session;
  } else if (aName == kRequestIdSetting) {
    this->current.requestId.clear();
  } else if (aName == kAcceptedAgeSetting) {
    this->current.acceptedAgeMs = this->startup.acceptedAgeMs;
  } else if (aName == kIdempotentSetting) {
    this->current.idempotent = this->startup.idempotent;
  } else if (aName == kReadOnlySetting) {
    this->current.readOnly = this->startup.readOnly;
  } else {
    return UnrecognizedSetting(aName);
  }
  return boost::outcome_v2::success();
}

Result<std::string> SessionSettings::ShowProxySetting(std::string_view aName) const
{
  if (aName == kClassSetting) {
    return this->current.workClass;
  }
  if (aName == kSessionSetting) {
    return this->current.session;
  }
  if (aName == kRequestIdSetting) {
    return this->current.requestId;
  }
  if (aName == kAcceptedAgeSetting) {
    return this->current.acceptedAgeMs < 0 ? std::string("none")
                                           : std::to_string(this->current.acceptedAgeMs);
  }
  if (aName == kIdempotentSetting) {
    return std::string(OnOff(this->current.idempotent));
  }
  if (aName == kReadOnlySetting) {
    return std::string(OnOff(this->current.readOnly));
  }
  return UnrecognizedSetting(aName);
}

void SessionSettings::SetBackendSetting(std::string_view aName, std::string_view aValue)
{
  this->current.backendSettings[std::string(aName)] = aValue;
}

void SessionSettings::ResetBackendSetting(std::string_view aName)
{
  const auto atStartup = this->startup.backendSettings.find(aName);
  if (atStartup != this->startup.backendSettings.end()) {
    this->current.backendSettings[std::string(aName)] = atStartup->second;
  } else if (const auto found = this->current.backendSettings.find(aName);
             found != this->current.backendSettings.end()) {
    this->current.backendSettings.erase(found);
  }
}

void SessionSettings::SaveAsStartupValues()
{
  this->startup = this->current;
}

void SessionSettings::ResetAll()
{
  this->current = this->startup;
  // A request id identifies a single unit, so a reset must not restore the start-up value.
  this->current.requestId.clear();
}

std::vector<SessionSetting> SessionSettings::BackendSettings() const
{
  std::vector<SessionSetting> settings;
  for (const auto& [name, value] : this->current.backendSettings) {
    settings.push_back({ name, value });
  }
  return settings;
}

std::vector<SessionSetting> SessionSettings::BackendSettingsWith(std::string_view aName,
                                                                 std::string_view aValue) const
{
  SessionSettings changed = *this;
  changed.SetBackendSetting(aName, aValue);
  return changed.BackendSettings();
}

std::optional<std::string> SessionSettings::FindBackendSetting(std::string_view aName) const
{
  const auto found = this->current.backendSettings.find(aName);
  return found == this->current.backendSettings.end() ? std::nullopt : std::optional(found->second);
}

void SessionSettings::FillRequest(StatementRequest& aRequest) const
{
  aRequest.workClass = this->current.workClass;
  aRequest.session = this->current.session;
  aRequest.requestId = this->current.requestId;
  aRequest.acceptedAgeMs = this->current.acceptedAgeMs;
  aRequest.idempotent = this->current.idempotent;
}

} // namespace oleanderledge
