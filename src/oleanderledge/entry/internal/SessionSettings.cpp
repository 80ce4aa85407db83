#include "oleanderledge/entry/internal/SessionSettings.hpp"

#include "oleanderledge/wire/wire.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace oleanderledge {

namespace {

constexpr std::string_view kOwnPrefix = "oleanderledge.";
constexpr std::string_view kReadOnlyName = "default_transaction_read_only";
constexpr std::string_view kClass = "oleanderledge.class";
constexpr std::string_view kSession = "oleanderledge.session";
constexpr std::string_view kRequestId = "oleanderledge.request_id";
constexpr std::string_view kAcceptedAge = "oleanderledge.accepted_age";
constexpr std::string_view kIdempotent = "oleanderledge.idempotent";

constexpr std::size_t kMaxClassBytes = 64;
constexpr std::size_t kMaxSessionBytes = 128;
constexpr std::size_t kMaxRequestIdBytes = 200;

constexpr std::array<std::string_view, 6> kReported = { "application_name",
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

auto Invalid(std::string_view aName, std::string_view aValue, std::string_view aExpected)
{
  return Fail(ResultCode::InvalidSetting,
              "invalid value for " + std::string(aName) + ": '" + std::string(aValue) +
                "', expected " + std::string(aExpected));
}

auto Unrecognized(std::string_view aName)
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

bool SessionSettings::IsOwn(std::string_view aName)
{
  return aName.starts_with(kOwnPrefix) || aName == kReadOnlyName;
}

std::string_view SessionSettings::ReportedName(std::string_view aName)
{
  const auto* found =
    std::find_if(kReported.begin(), kReported.end(), [&](std::string_view aReported) {
      return EqualsIgnoringCase(aReported, aName);
    });
  return found == kReported.end() ? std::string_view{} : *found;
}

Result<void> SessionSettings::SetOwn(std::string_view aName, std::string_view aValue)
{
  if (aName == kClass) {
    if (!IsPlainText(aValue, kMaxClassBytes)) {
      return Invalid(aName, aValue, "a class name of at most 64 bytes");
    }
    this->present.workClass = aValue;
  } else if (aName == kSession) {
    if (!IsPlainText(aValue, kMaxSessionBytes)) {
      return Invalid(aName, aValue, "a session name of at most 128 bytes");
    }
    this->present.session = aValue;
  } else if (aName == kRequestId) {
    if (!IsPlainText(aValue, kMaxRequestIdBytes)) {
      return Invalid(aName, aValue, "a request id of at most 200 bytes");
    }
    this->present.requestId = aValue;
  } else if (aName == kAcceptedAge) {
    const auto age = ParseAge(aValue);
    if (!age) {
      return Invalid(aName, aValue, "milliseconds from 0, or none");
    }
    this->present.acceptedAgeMs = *age;
  } else if (aName == kIdempotent || aName == kReadOnlyName) {
    const auto isOn = ParseBoolean(aValue);
    if (!isOn) {
      return Invalid(aName, aValue, "on or off");
    }
    (aName == kIdempotent ? this->present.idempotent : this->present.readOnly) = *isOn;
  } else {
    return Unrecognized(aName);
  }
  return boost::outcome_v2::success();
}

Result<void> SessionSettings::ResetOwn(std::string_view aName)
{
  if (aName == kClass) {
    this->present.workClass = this->startup.workClass;
  } else if (aName == kSession) {
    this->present.session = this->startup.session;
  } else if (aName == kRequestId) {
    this->present.requestId.clear();
  } else if (aName == kAcceptedAge) {
    this->present.acceptedAgeMs = this->startup.acceptedAgeMs;
  } else if (aName == kIdempotent) {
    this->present.idempotent = this->startup.idempotent;
  } else if (aName == kReadOnlyName) {
    this->present.readOnly = this->startup.readOnly;
  } else {
    return Unrecognized(aName);
  }
  return boost::outcome_v2::success();
}

Result<std::string> SessionSettings::ShowOwn(std::string_view aName) const
{
  if (aName == kClass) {
    return this->present.workClass;
  }
  if (aName == kSession) {
    return this->present.session;
  }
  if (aName == kRequestId) {
    return this->present.requestId;
  }
  if (aName == kAcceptedAge) {
    return this->present.acceptedAgeMs < 0 ? std::string("none")
                                           : std::to_string(this->present.acceptedAgeMs);
  }
  if (aName == kIdempotent) {
    return std::string(OnOff(this->present.idempotent));
  }
  if (aName == kReadOnlyName) {
    return std::string(OnOff(this->present.readOnly));
  }
  return Unrecognized(aName);
}

void SessionSettings::Remember(std::string_view aName, std::string_view aValue)
{
  this->present.remembered[std::string(aName)] = aValue;
}

void SessionSettings::Forget(std::string_view aName)
{
  const auto atStartup = this->startup.remembered.find(aName);
  if (atStartup != this->startup.remembered.end()) {
    this->present.remembered[std::string(aName)] = atStartup->second;
  } else if (const auto found = this->present.remembered.find(aName);
             found != this->present.remembered.end()) {
    this->present.remembered.erase(found);
  }
}

void SessionSettings::MarkStartup()
{
  this->startup = this->present;
}

void SessionSettings::ResetAll()
{
  this->present = this->startup;
  // A request id stands for one unit only, never for each one after a reset.
  this->present.requestId.clear();
}

std::vector<SessionSetting> SessionSettings::Remembered() const
{
  std::vector<SessionSetting> settings;
  for (const auto& [name, value] : this->present.remembered) {
    settings.push_back({ name, value });
  }
  return settings;
}

std::vector<SessionSetting> SessionSettings::RememberedWith(std::string_view aName,
                                                            std::string_view aValue) const
{
  SessionSettings changed = *this;
  changed.Remember(aName, aValue);
  return changed.Remembered();
}

std::optional<std::string> SessionSettings::RememberedValue(std::string_view aName) const
{
  const auto found = this->present.remembered.find(aName);
  return found == this->present.remembered.end() ? std::nullopt : std::optional(found->second);
}

void SessionSettings::FillRequest(StatementRequest& aRequest) const
{
  aRequest.workClass = this->present.workClass;
  aRequest.session = this->present.session;
  aRequest.requestId = this->present.requestId;
  aRequest.acceptedAgeMs = this->present.acceptedAgeMs;
  aRequest.idempotent = this->present.idempotent;
}

} // namespace oleanderledge
