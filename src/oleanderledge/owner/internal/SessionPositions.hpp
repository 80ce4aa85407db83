#pragma once

#include "oleanderledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleanderledge {

/// The log positions that a replica must have applied before it may serve reads of a session.
///
/// Sessions without an entry require the base position, which is never older than a write whose
/// entry was dropped.
class SessionPositions
{
public:
  /// Removes all entries and the base position, after another owner may have acknowledged writes
  /// that are not known here.
  void Clear();

  /// Sets the base position if it is newer, and drops entries at or before it, among them those of
  /// older terms.
  void SetBase(LogPosition aPosition);

  /// Records the last write of a session.
  void NoteWrite(const std::string& aSession, LogPosition aPosition);

  /// Raises the base position to one that every live replica has applied, which drops the entries
  /// up to it. Ignored if the base position is unknown or of another term.
  void ForgetUpTo(LogPosition aAppliedEverywhere);

  /// Position required for reads of the session; nothing while the base position is unknown.
  std::optional<LogPosition> RequiredFor(const std::string& aSession) const;

  const std::optional<LogPosition>& Base() const { return this->base; }
  std::size_t Size() const { return this->positions.size(); }

private:
  std::optional<LogPosition> base;
  std::unordered_map<std::string, LogPosition> positions;
};

/// Above this number of sessions all entries are merged into the base position. Their reads then
/// require the newest of the positions, which is stricter than necessary but correct.
constexpr std::size_t kMaxSessions = 100'000;

} // namespace oleanderledge
