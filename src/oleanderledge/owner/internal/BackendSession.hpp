#pragma once

#include "oleanderledge/link/link.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace oleanderledge {

/// What the owner knows of the state of one backend session: settings and prepared statements.
class BackendSession
{
public:
  /// SQL that changes the session to exactly these settings; empty if nothing differs.
  std::string SettingsSql(std::span<const SessionSetting> aSettings, bool aReadOnly) const;
  void NoteSettings(std::span<const SessionSetting> aSettings, bool aReadOnly);

  /// Number of settings that differ, to choose among idle connections.
  std::size_t CountDifferingSettings(std::span<const SessionSetting> aSettings,
                                     bool aReadOnly) const;

  /// Messages that prepare the statements the unit needs, and close names that its payload defines;
  /// empty if nothing is needed. They end with Sync.
  std::string PrepareMessages(const StatementRequest& aRequest) const;
  void NotePrepared(const StatementRequest& aRequest);
  /// After an error it is not known which of the statements exist.
  void ForgetPrepared(const StatementRequest& aRequest);

  /// Updates the definitions after the unit's payload ran.
  void NotePayload(const StatementRequest& aRequest, bool aFailed);

  /// A command tag of a statement; some leave state behind that cannot be tracked.
  void NoteCommandTag(std::string_view aTag);

  bool NeedsReset() const { return this->needsReset; }
  void RequireReset() { this->needsReset = true; }
  /// `DISCARD ALL` has completed.
  void NoteReset();

private:
  using Settings = std::map<std::string, std::string>;

  static Settings EffectiveSettings(std::span<const SessionSetting> aSettings, bool aReadOnly);

  Settings settings;
  std::map<std::string, std::string, std::less<>> prepared; ///< Parse message by name.
  bool needsReset = false;
};

/// True if a command tag belongs to a statement that can change data or state.
bool IsWriteTag(std::string_view aTag);

} // namespace oleanderledge
