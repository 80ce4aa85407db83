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

/// The settings of one caller's session: the proxy's own (`oleanderledge.*`), the read-only state,
/// and others that the owner applies to the connection before each unit.
class SessionSettings
{
public:
  /// True for settings that the entry keeps and answers itself.
  static bool IsProxySetting(std::string_view aName);

  /// Canonical name of a setting that the protocol reports in ParameterStatus; empty if it is not
  /// reported.
  static std::string_view ReportedName(std::string_view aName);

  /// Sets an own setting. Fails with InvalidSetting.
  Result<void> SetProxySetting(std::string_view aName, std::string_view aValue);

  /// Returns an own setting to its value at start-up. Fails with InvalidSetting if it is unknown.
  Result<void> ResetProxySetting(std::string_view aName);

  /// Present value of an own setting as text. Fails with InvalidSetting if it is unknown.
  Result<std::string> ShowProxySetting(std::string_view aName) const;

  void SetBackendSetting(std::string_view aName, std::string_view aValue);
  /// Returns a remembered setting to its value at start-up.
  void ResetBackendSetting(std::string_view aName);

  /// The current values become the ones that RESET returns to.
  void SaveAsStartupValues();
  void ResetAll();

  /// Backend settings with one of them changed, as they are after a SET that is still to be run.
  std::vector<SessionSetting> BackendSettingsWith(std::string_view aName,
                                                  std::string_view aValue) const;
  std::vector<SessionSetting> BackendSettings() const;
  std::optional<std::string> FindBackendSetting(std::string_view aName) const;

  /// Fills the fields of a request that stand for own settings, except `readOnly`.
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
    std::int64_t acceptedAgeMs = -1; ///< -1: none.
    bool idempotent = false;
    bool readOnly = false; ///< default_transaction_read_only.
    std::map<std::string, std::string, std::less<>> backendSettings;
  };

  Values current;
  Values startup;
};

} // namespace oleanderledge
