#pragma once

#include "oleanderledge/link/link.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace oleanderledge {

/// Tracks the session state of one backend connection: settings and prepared statements.
class BackendSession
{
public:
  /// SQL that gives the session exactly these settings; empty if it has them.
  std::string SettingsSql(std::span<const SessionSetting> aSettings, bool aReadOnly) const;
  /// Records that the session has exactly these settings.
  void NoteSettings(std::span<const SessionSetting> aSettings, bool aReadOnly);

  /// Number of settings that differ. Used to choose among idle connections.
  std::size_t CountDifferingSettings(std::span<const SessionSetting> aSettings,
                                     bool aReadOnly) const;

  /// Messages, followed by Sync, that prepare the statements that the unit needs and close those
  /// that its payload defines anew; empty if nothing is needed.
  std::string PrepareMessages(const StatementRequest& aRequest) const;
  /// Records that the statements which the unit needs were prepared.
  void NotePrepared(const StatementRequest& aRequest);
  /// Requires a reset after an error in preparing, because it is not known which statements exist.
  void ForgetPrepared(const StatementRequest& aRequest);

  /// Updates the prepared statements after the payload of the unit ran.
  void NotePayload(const StatementRequest& aRequest, bool aFailed);

  /// Requires a reset after a statement, given by its command tag, that may leave session state
  /// which is not tracked.
  void NoteCommandTag(std::string_view aTag);

  /// True if `DISCARD ALL` must run before another session uses the connection.
  bool NeedsReset() const { return this->needsReset; }
  void RequireReset() { this->needsReset = true; }
  /// Records that `DISCARD ALL` has completed.
  void NoteReset();

private:
  using Settings = std::map<std::string, std::string>;

  /// The settings of a request, with the read-only mode that it asks for.
  static Settings EffectiveSettings(std::span<const SessionSetting> aSettings, bool aReadOnly);

  Settings settings;
  std::map<std::string, std::string, std::less<>> prepared; ///< Parse messages by name.
  bool needsReset = false;
};

/// True if the command tag, seen in a read-only unit, shows that the unit may have written.
bool IsWriteTag(std::string_view aTag);

} // namespace oleanderledge
