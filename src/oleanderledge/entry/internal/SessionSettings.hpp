#pragma once

#include "oleanderledge/base/base.hpp"
#include "oleanderledge/link/link.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderledge {

/// The settings of one caller's session. The entry itself stores and answers the proxy settings
/// (`oleanderledge.*` and `default_transaction_read_only`). All others are backend settings, which
/// the owner applies to the connection before each unit.
class SessionSettings
{
public:
  /// True for `default_transaction_read_only` and every name with the prefix `oleanderledge.`, even
  /// if no such setting exists.
  static bool IsProxySetting(std::string_view aName);

  /// Canonical spelling of a setting that the protocol reports in ParameterStatus; empty for
  /// others. The case of `aName` is ignored.
  static std::string_view ReportedName(std::string_view aName);

  /// Sets a proxy setting. Fails with InvalidSetting if the name is unknown or the value invalid.
  Result<void> SetProxySetting(std::string_view aName, std::string_view aValue);

  /// Resets a proxy setting to its start-up value; the request id is cleared. Fails with
  /// InvalidSetting if the name is unknown.
  Result<void> ResetProxySetting(std::string_view aName);

  /// Current value of a proxy setting as text. Fails with InvalidSetting if the name is unknown.
  Result<std::string> ShowProxySetting(std::string_view aName) const;

  void SetBackendSetting(std::string_view aName, std::string_view aValue);
  /// Resets a backend setting to its start-up value, or removes it if it had none.
  void ResetBackendSetting(std::string_view aName);

  /// Makes the current values the start-up values, to which RESET returns.
  void SaveAsStartupValues();
  void ResetAll();

  /// The backend settings as they are after a SET that has not run yet.
  std::vector<SessionSetting> BackendSettingsWith(std::string_view aName,
                                                  std::string_view aValue) const;
  std::vector<SessionSetting> BackendSettings() const;
  std::optional<std::string> FindBackendSetting(std::string_view aName) const;

  /// Copies the proxy settings into a request, except `readOnly`.
  void FillRequest(StatementRequest& aRequest) const;
  void ClearRequestId() { this->current.requestId.clear(); }
  const std::string& RequestId() const { return this->current.requestId; }
  bool ReadOnly() const { return this->current.readOnly; }
  bool Idempotent() const { return this->current.idempotent; }

private:
  struct Values
  {
    std::string workClass;
    std::string session;
    std::string requestId;
    std::int64_t acceptedAgeMs = -1; ///< -1 if not set.
    bool idempotent = false;
    bool readOnly = false; ///< default_transaction_read_only.
    std::map<std::string, std::string, std::less<>> backendSettings;
  };

  Values current;
  Values startup;
};

} // namespace oleanderledge
